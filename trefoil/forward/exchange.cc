#include "trefoil/forward/exchange.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace trefoil {
namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

// Dispatches beyond a route's attempts that servers may turn away.
constexpr int kMostTurnedAway = 2;
// When a client should come again: after the time in which a full server frees a place, or in which
// an account's window moves on.
constexpr Milliseconds kRetryWhenFull{ 200 };
constexpr Milliseconds kRetryOverQuota{ 500 };
// Clients heed a time to come back up to this part of what they have left.
constexpr int kRetryAfterPart = 3;
// A repeatable request without an answer goes to another server after this many times its goal.
constexpr int kSilentGoals = 2;
constexpr Milliseconds kLeastSilence{ 200 };
// A long prompt is read for up to a second before the first event.
constexpr Milliseconds kLeastStreamSilence{ 1'200 };
// A resumable stream is silent after this many of its longest pauses.
constexpr int kSilentPauses = 4;
// Bytes of one answer kept for a client that does not take them.
constexpr std::size_t kMostUnsentBytes = std::size_t{ 4 } * 1024 * 1024;
constexpr MessageLimits kAnswerLimits{};

bool
IsSuccess(int aStatus)
{
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}

} // namespace

Exchange::Exchange(TrafficState& aState,
                   const std::shared_ptr<ClientSession>& aSession,
                   HttpRequest aRequest,
                   EndCallback aOnEnd)
  : mState(aState)
  , mSession(aSession)
  , mRequest(std::move(aRequest))
  , mOnEnd(std::move(aOnEnd))
{
}

std::shared_ptr<Exchange>
Exchange::Begin(TrafficState& aState,
                const std::shared_ptr<ClientSession>& aSession,
                HttpRequest aRequest,
                EndCallback aOnEnd)
{
  auto exchange =
    std::make_shared<Exchange>(aState, aSession, std::move(aRequest), std::move(aOnEnd));
  exchange->Start();
  return exchange;
}

void
Exchange::Start()
{
  mArrivedAt = SuspendAwareNow();
  mState.mMetrics.Add(Counter::kRequests, 1);
  mFacts = mState.mOptions.mCodec.mReadRequest(mRequest);
  mDeadline = mArrivedAt + mFacts.mPatience.value_or(Milliseconds{ 0 });
  if (!CheckRequest() || !CheckAccount()) {
    return;
  }
  mDeadlineTimer =
    mState.mLoop.CallAt(mDeadline, [self = shared_from_this()] { self->OnDeadline(); });
  CountRequest(mState.mRetries, mService, mArrivedAt);
  TryServer();
}

// Finds route, service and deadline. Returns false once the request is answered.
bool
Exchange::CheckRequest()
{
  if (!mState.mView || !mState.mView->mCatalogue) {
    Refuse(kUnavailable, RefusalReason::kNoConfiguration, RetryAfter(kRetryWhenFull));
    return false;
  }
  mCatalogue = mState.mView->mCatalogue;
  if (mFacts.mHost.empty() || mFacts.mRequestId.empty()) {
    Refuse(kBadRequest, RefusalReason::kMalformedHead, std::nullopt);
    return false;
  }
  mRoute =
    FindRoute(mCatalogue->mCatalogue, mCatalogue->mIndex, mFacts.mHost, PathOf(mRequest.mTarget));
  const RouteTarget* target = mRoute == nullptr ? nullptr : DrawTarget(*mRoute, mState.mRandom());
  if (target == nullptr) {
    Refuse(kNotFound, RefusalReason::kNoRoute, std::nullopt);
    return false;
  }
  mService = target->mService;
  if (mRoute->mTimeout > Milliseconds{ 0 }) {
    const Milliseconds patience = mFacts.mPatience.value_or(mRoute->mTimeout);
    mDeadline = mArrivedAt + std::min(patience, mRoute->mTimeout);
  }
  if (mRoute->mFollowsCache && mFacts.mPrompt.size() > 1) {
    for (std::size_t i = 0; i + 1 < mFacts.mPrompt.size(); ++i) {
      mSharedTokens += mFacts.mPrompt[i].mTokens;
    }
    mCacheKey = mFacts.mPrompt[mFacts.mPrompt.size() - 2].mId;
  }
  return true;
}

// Checks key, quota and known crashes. Returns false once the request is answered.
bool
Exchange::CheckAccount()
{
  if (!mCatalogue->mCatalogue.mAccounts.empty() && !mRoute->mAllowsAnonymous) {
    if (mArrivedAt - mState.mView->mProvenAt > mState.mOptions.mMostConfigurationAge) {
      // The demand is there, though this host may not serve it now.
      NoteDemand();
      Refuse(kUnavailable, RefusalReason::kOldConfiguration, RetryAfter(kRetryWhenFull));
      return false;
    }
    mAccount = FindAccount(mCatalogue->mCatalogue, mCatalogue->mIndex, mFacts.mKey);
    if (mAccount == nullptr) {
      Refuse(kUnauthorized, RefusalReason::kUnknownKey, std::nullopt);
      return false;
    }
  }
  if (!mState.mCrashes.mByDigest.empty() && !mRequest.mBody.empty() &&
      Judge(mState.mCrashes, Digest(), mArrivedAt) == CrashJudgement::kRefuse) {
    Refuse(kUnavailable, RefusalReason::kCrashesServers, RetryAfter(kRetryWhenFull));
    return false;
  }
  if (mAccount != nullptr) {
    mQuotaCost = QuotaCost(*mAccount, mFacts.mPromptTokens + mFacts.mOutputTokens);
    mQuotaDecision = TakeQuota(mState.mQuotas,
                               *mAccount,
                               mQuotaCost,
                               { .mShare = mState.mView->mQuotaShare,
                                 .mHostsInTouch = mState.mView->mHostsInTouch,
                                 .mOverage = mState.mOptions.mQuotaOverage,
                                 .mSlack = mState.mOptions.mQuotaSlack,
                                 .mDraw = std::generate_canonical<double, 32>(mState.mRandom) },
                               mArrivedAt);
    if (!mQuotaDecision.mAllowed) {
      Refuse(kTooManyRequests, RefusalReason::kOverQuota, RetryAfter(kRetryOverQuota));
      return false;
    }
    mQuotaTaken = true;
  }
  NoteDemand();
  return true;
}

void
Exchange::NoteDemand()
{
  if (!std::exchange(mDemandNoted, true)) {
    ServiceLoad& load = mState.mLoads[mService];
    ++load.mRequests;
    load.mPromptTokens += static_cast<double>(mFacts.mPromptTokens);
  }
}

ServerStanding&
Exchange::StandingOf(const BackendServerId& aServer)
{
  return mState.mStandings[aServer];
}

VersionId
Exchange::PickVersion()
{
  const auto steering = mState.mView->mSteering.find(mService);
  if (steering == mState.mView->mSteering.end()) {
    return {};
  }
  constexpr double kDraws = 10'000;
  const double draw = static_cast<double>(mState.mRandom() % static_cast<std::uint64_t>(kDraws));
  return draw < steering->second.mTargetShare * kDraws ? steering->second.mTarget : VersionId{};
}

std::optional<RegisteredServer>
Exchange::PickServer()
{
  const auto found = mState.mServers.find(mService);
  if (found == mState.mServers.end()) {
    return std::nullopt;
  }
  const Instant now = SuspendAwareNow();
  const auto steering = mState.mView->mSteering.find(mService);
  const bool steered = steering != mState.mView->mSteering.end();
  const VersionId wanted = PickVersion();
  std::vector<ServerCandidate> candidates;
  for (const RegisteredServer* server : found->second) {
    const bool ofTarget = steered && server->mVersion == steering->second.mTarget;
    if (server->mPhase != ServerPhase::kReady || mTried.contains(server->mId) ||
        (steered && ofTarget != !wanted.Empty())) {
      continue;
    }
    candidates.push_back(
      { .mServer = server,
        .mStanding = &StandingOf(server->mId),
        .mHoldsCache = !mCacheKey.empty() && Holds(mState.mCacheHints, mCacheKey, server->mId, now),
        .mAvoided =
          server->mDoubtful || !HasPassed(mState.mZones[server->mZone].mAvoidUntil, now) });
  }
  const auto chosen = ChooseServer(candidates,
                                   { .mZone = mState.mOptions.mZone,
                                     .mCacheKey = mCacheKey,
                                     .mSharedTokens = mSharedTokens,
                                     .mDraw = mState.mRandom() },
                                   now);
  if (!chosen.has_value()) {
    return std::nullopt;
  }
  return *candidates[*chosen].mServer;
}

void
Exchange::TryServer()
{
  const auto server = PickServer();
  if (!server.has_value()) {
    if (mStreaming) {
      mState.mLog.Write(LogWeight::kNotable,
                        LogEvent::kRequestFailed,
                        "id={} route={} reason={} dispatches={}",
                        mFacts.mRequestId,
                        mRoute->mName,
                        NameOf(kRefusalReasonNames, RefusalReason::kNoServer),
                        mDispatches);
      CutOff();
      return;
    }
    if (mServerError.has_value()) {
      DeliverAnswer(std::move(*mServerError));
      return;
    }
    if (mRuns > 0) {
      Refuse(kBadGateway, RefusalReason::kBrokenAnswer, std::nullopt);
      return;
    }
    Refuse(kUnavailable,
           mTried.empty() ? RefusalReason::kNoServer : RefusalReason::kServersFull,
           RetryAfter(kRetryWhenFull));
    return;
  }
  SendTo(*server);
}

std::string
Exchange::RequestBytes(const RegisteredServer& aServer, Milliseconds aLeft) const
{
  DispatchFacts dispatch{ .mServer = aServer.mId,
                          .mAccount = mAccount == nullptr ? ClientAccountId{} : mAccount->mName,
                          .mTimeLeft = aLeft,
                          .mAfterEventId =
                            mEvents.mLastId.empty() ? mFacts.mLastEventId : mEvents.mLastId };
  if (mRoute->mFollowsCache) {
    dispatch.mUrgency = mAccount != nullptr && mAccount->mPriority.has_value()
                          ? *mAccount->mPriority
                          : mRoute->mPriority;
  }
  std::string bytes = fmt::format("{} {} HTTP/1.1\r\n", mRequest.mMethod, mRequest.mTarget);
  for (const HttpHeader& header :
       mState.mOptions.mCodec.mServerHeaders(mRequest.mHeaders, dispatch)) {
    fmt::format_to(std::back_inserter(bytes), "{}: {}\r\n", header.mName, header.mValue);
  }
  const bool hasLength = !HeaderValue(mRequest.mHeaders, "Content-Length").empty() ||
                         !HeaderValue(mRequest.mHeaders, "Transfer-Encoding").empty();
  if (hasLength) {
    fmt::format_to(std::back_inserter(bytes), "Content-Length: {}\r\n", mRequest.mBody.size());
  }
  bytes += "\r\n";
  bytes += mRequest.mBody;
  return bytes;
}

void
Exchange::SendTo(const RegisteredServer& aServer)
{
  const ReuseRule rule = MayRepeat() ? ReuseRule::kAny : ReuseRule::kFresh;
  const Instant now = SuspendAwareNow();
  const double hinted = !mCacheKey.empty() && Holds(mState.mCacheHints, mCacheKey, aServer.mId, now)
                          ? static_cast<double>(mSharedTokens)
                          : 0.0;
  mAttempt =
    Attempt{ .mServer = aServer,
             .mConnection = mState.mPool.Take(aServer, rule),
             .mReader = MessageReader::ForAnswer(kAnswerLimits, mRequest.mMethod != "HEAD"),
             .mSentAt = now,
             .mPendingTokens = static_cast<double>(mFacts.mPromptTokens) - hinted };
  ++mDispatches;
  mTried.insert(aServer.mId);
  ServerStanding& standing = StandingOf(aServer.mId);
  ++standing.mInFlight;
  standing.mPendingTokens += mAttempt->mPendingTokens;
  ++mState.mLoads[mService].mInFlight;
  mState.mMetrics.Add(Counter::kAttempts, 1);
  if (!mCacheKey.empty()) {
    NoteRead(mState.mCacheHints, mCacheKey, aServer.mId, now);
  }
  mAttempt->mConnection->mStream->SetCallbacks(
    { .mOnBytes = [self = shared_from_this()] { self->OnServerBytes(); },
      .mOnEnd = [self = shared_from_this()](StreamEnd aEnd) { self->OnServerEnd(aEnd); } });
  mAttempt->mConnection->mStream->Send(RequestBytes(aServer, TimeLeft()));
  ArmSilenceTimer();
}

void
Exchange::ArmSilenceTimer()
{
  mState.mLoop.Cancel(mSilenceTimer);
  mSilenceTimer = 0;
  if (!MayRepeat() || mRuns + 1 >= mRoute->mAttempts) {
    return;
  }
  const Milliseconds limit =
    mRoute->mKind == RouteKind::kStream
      ? std::max(
          { mRoute->mPauseGoal * kSilentPauses, mRoute->mGoal * kSilentGoals, kLeastStreamSilence })
      : std::max(mRoute->mGoal * kSilentGoals, kLeastSilence);
  mSilenceTimer = mState.mLoop.CallAt(SuspendAwareNow() + limit, [self = shared_from_this()] {
    self->mSilenceTimer = 0;
    if (self->mAttempt.has_value()) {
      self->AttemptFailed(AttemptEnd::kSilent);
    }
  });
}

void
Exchange::OnServerBytes()
{
  const auto keep = shared_from_this();
  while (mAttempt.has_value()) {
    std::string& received = mAttempt->mConnection->mStream->Received();
    const ReadState state = mAttempt->mReader->Consume(received);
    if (state != ReadState::kHead && state != ReadState::kBody && state != ReadState::kComplete) {
      AttemptFailed(AttemptEnd::kBroken);
      return;
    }
    if (mAttempt->mReader->HeadDone() && !mAttempt->mHeadChecked && !CheckHead()) {
      return;
    }
    if (mAttempt->mSkipping && state == ReadState::kComplete) {
      mAttempt->mReader = MessageReader::ForAnswer(kAnswerLimits, mRequest.mMethod != "HEAD");
      mAttempt->mHeadChecked = false;
      mAttempt->mSkipping = false;
      continue;
    }
    if (mAttempt->mHeadChecked && !mAttempt->mSkipping) {
      NoteBegun();
      Relay();
      if (mAttempt.has_value() && state == ReadState::kComplete) {
        OnWholeAnswer();
      }
    }
    return;
  }
}

// Returns false once the attempt is over.
bool
Exchange::CheckHead()
{
  Attempt& attempt = *mAttempt;
  attempt.mHeadChecked = true;
  const HttpAnswer& head = attempt.mReader->Answer();
  attempt.mFacts = mState.mOptions.mCodec.mReadAnswer(head);
  const bool own = attempt.mFacts.mRequestId == mFacts.mRequestId;
  const bool unnamed = attempt.mFacts.mRequestId.empty();
  if (!own && !unnamed) {
    // An answer to an earlier request of the connection; the right one may still follow.
    attempt.mSkipping = true;
    attempt.mSpoiled = true;
    return true;
  }
  if (attempt.mFacts.mOtherServer) {
    AttemptFailed(AttemptEnd::kOtherServer);
    return false;
  }
  if (attempt.mFacts.mNotRun) {
    AttemptFailed(AttemptEnd::kTurnedAway);
    return false;
  }
  if (unnamed || (IsSuccess(head.mStatus) && !attempt.mFacts.mSealed)) {
    AttemptFailed(AttemptEnd::kBroken);
    return false;
  }
  return true;
}

// Counts the request for usage once its server has begun to answer it.
void
Exchange::NoteBegun()
{
  if (mAttempt->mBegun) {
    return;
  }
  const bool stream =
    mRoute->mKind == RouteKind::kStream && IsSuccess(mAttempt->mReader->Answer().mStatus);
  if (stream && mAttempt->mReader->Body().empty()) {
    return;
  }
  mAttempt->mBegun = true;
  ServerStanding& standing = StandingOf(mAttempt->mServer.mId);
  standing.mPendingTokens -= std::exchange(mAttempt->mPendingTokens, 0.0);
  const auto latency = SuspendAwareNow() - mArrivedAt;
  if (mRoute->mGoal > Milliseconds{ 0 } && latency > mRoute->mGoal) {
    ++mState.mLoads[mService].mSlow;
  }
  mState.mMetrics.Observe(stream ? Summary::kFirstToken : Summary::kPlainAnswer, latency);
  CountUsage();
}

// Counts the request for the usage of its account, once.
void
Exchange::CountUsage()
{
  if (mAccount != nullptr && !std::exchange(mUsageCounted, true)) {
    const std::int64_t window = UnixMilliseconds(WallNow() + mState.mView->mClockCorrection) /
                                mState.mOptions.mUsageWindow.count();
    ++mState.mUsage[window][mAccount->mName];
  }
}

// Passes on the events of a stream that have arrived whole.
void
Exchange::Relay()
{
  const HttpAnswer& head = mAttempt->mReader->Answer();
  if (mRoute->mKind != RouteKind::kStream || !IsSuccess(head.mStatus)) {
    return;
  }
  std::string& body = mAttempt->mReader->Body();
  if (body.empty()) {
    return;
  }
  const std::string events = TakeWholeEvents(mEvents, body);
  body.clear();
  if (events.empty()) {
    return;
  }
  if (!mStreaming) {
    mStreaming = true;
    mSession->StartAnswer({ .mStatus = head.mStatus,
                            .mHeaders = mState.mOptions.mCodec.mClientHeaders(head.mHeaders) });
  }
  mSession->SendBody(events);
  if (mSession->Unsent() > kMostUnsentBytes) {
    // The client takes nothing: it counts as gone.
    mSession->Abort();
    return;
  }
  ArmSilenceTimer();
}

void
Exchange::OnWholeAnswer()
{
  HttpAnswer answer = mAttempt->mReader->Answer();
  if (mRoute->mKind == RouteKind::kStream && IsSuccess(answer.mStatus)) {
    if (!mEvents.mRest.empty() || !mStreaming) {
      // The stream ended inside an event, or before its first one.
      AttemptFailed(AttemptEnd::kBroken);
      return;
    }
    FinishAttempt(DispatchOutcome::kServed, true);
    mSession->FinishAnswer();
    mState.mLog.Write(LogWeight::kRoutine,
                      LogEvent::kRequestDone,
                      "id={} route={} service={} status={} dispatches={} ms={}",
                      mFacts.mRequestId,
                      mRoute->mName,
                      mService.Value(),
                      answer.mStatus,
                      mDispatches,
                      (SuspendAwareNow() - mArrivedAt) / Milliseconds{ 1 });
    End();
    return;
  }
  answer.mBody = std::move(mAttempt->mReader->Body());
  if (answer.mStatus >= kFirstServerError) {
    mServerError = std::move(answer);
    AttemptFailed(AttemptEnd::kServerError);
    return;
  }
  FinishAttempt(DispatchOutcome::kServed, true);
  DeliverAnswer(std::move(answer));
}

void
Exchange::DeliverAnswer(HttpAnswer aAnswer)
{
  if (mStreaming) {
    // A resumed stream cannot end with another status.
    CutOff();
    return;
  }
  aAnswer.mHeaders = mState.mOptions.mCodec.mClientHeaders(aAnswer.mHeaders);
  mSession->SendWhole(aAnswer);
  mState.mLog.Write(LogWeight::kRoutine,
                    LogEvent::kRequestDone,
                    "id={} route={} service={} status={} dispatches={} ms={}",
                    mFacts.mRequestId,
                    mRoute->mName,
                    mService.Value(),
                    aAnswer.mStatus,
                    mDispatches,
                    (SuspendAwareNow() - mArrivedAt) / Milliseconds{ 1 });
  End();
}

void
Exchange::FinishAttempt(DispatchOutcome aOutcome, bool aKeepConnection)
{
  Attempt attempt = std::move(*mAttempt);
  mAttempt.reset();
  mState.mLoop.Cancel(std::exchange(mSilenceTimer, 0));
  ServerStanding& standing = StandingOf(attempt.mServer.mId);
  --standing.mInFlight;
  standing.mPendingTokens -= attempt.mPendingTokens;
  --mState.mLoads[mService].mInFlight;
  const Instant now = SuspendAwareNow();
  if (NoteOutcome(standing, aOutcome, now)) {
    mState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kServerAvoided,
                      "server={} service={} failures={} share={:.2f} ms={}",
                      attempt.mServer.mId.Value(),
                      mService.Value(),
                      standing.mFailuresInRow,
                      standing.mFailureShare,
                      Remaining(standing.mAvoidUntil, now).count());
  }
  if (NoteZoneOutcome(mState.mZones[attempt.mServer.mZone], attempt.mServer.mId, aOutcome, now)) {
    mState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kServerAvoided,
                      "zone={} service={}",
                      attempt.mServer.mZone.Value(),
                      mService.Value());
  }
  VersionOutcomes& outcomes = mState.mOutcomes[mService][attempt.mServer.mVersion];
  if (aOutcome == DispatchOutcome::kServed) {
    ++outcomes.mServed;
    outcomes.mLatencyMs += std::chrono::duration<double, std::milli>(now - attempt.mSentAt).count();
  } else if (aOutcome != DispatchOutcome::kTurnedAway) {
    ++outcomes.mFailed;
  }
  ByteStream& stream = *attempt.mConnection->mStream;
  if (aKeepConnection && !attempt.mSpoiled && attempt.mReader->State() == ReadState::kComplete &&
      attempt.mReader->KeepsAlive() && stream.Received().empty() && stream.Unsent() == 0) {
    mState.mPool.Give(attempt.mConnection, attempt.mFacts.mKeepsIdle);
    return;
  }
  stream.Close();
}

void
Exchange::OnServerEnd(StreamEnd aEnd)
{
  const auto keep = shared_from_this();
  if (!mAttempt.has_value()) {
    return;
  }
  if (aEnd == StreamEnd::kConnectFailed) {
    AttemptFailed(AttemptEnd::kConnectFailed);
    return;
  }
  if (aEnd == StreamEnd::kClosedByPeer && mAttempt->mHeadChecked && !mAttempt->mSkipping &&
      mAttempt->mReader->ConsumeEnd() == ReadState::kComplete) {
    OnWholeAnswer();
    return;
  }
  AttemptFailed(AttemptEnd::kBroken);
}

bool
Exchange::MayRepeat() const
{
  return mRoute->mKind == RouteKind::kIdempotent ||
         (mRoute->mKind == RouteKind::kStream && mRoute->mResumable);
}

bool
Exchange::MayTryAgain(AttemptEnd aEnd)
{
  const Instant now = SuspendAwareNow();
  if (HasPassed(mDeadline, now) || mDispatches >= mRoute->mAttempts + kMostTurnedAway) {
    return false;
  }
  const bool notRun = aEnd == AttemptEnd::kConnectFailed || aEnd == AttemptEnd::kTurnedAway ||
                      aEnd == AttemptEnd::kOtherServer;
  if (!notRun && (!MayRepeat() || mRuns >= mRoute->mAttempts)) {
    return false;
  }
  // A connection that never stood brought no arrival.
  return aEnd == AttemptEnd::kConnectFailed ||
         TakeRepeat(mState.mRetries, mService, mState.mView->mHosts, now);
}

void
Exchange::AttemptFailed(AttemptEnd aEnd)
{
  mState.mMetrics.Add(Counter::kAttemptsFailed, 1);
  const bool mayHaveRun =
    aEnd == AttemptEnd::kBroken || aEnd == AttemptEnd::kSilent || aEnd == AttemptEnd::kServerError;
  mState.mLog.Write(LogWeight::kNotable,
                    LogEvent::kAttemptFailed,
                    "id={} route={} server={} end={} reused={} ms={} last_event={}",
                    mFacts.mRequestId,
                    mRoute->mName,
                    mAttempt->mServer.mId.Value(),
                    NameOf(kAttemptEndNames, aEnd),
                    mAttempt->mConnection->mReused,
                    (SuspendAwareNow() - mAttempt->mSentAt) / Milliseconds{ 1 },
                    mEvents.mLastId);
  DispatchOutcome outcome = DispatchOutcome::kBroken;
  if (aEnd == AttemptEnd::kTurnedAway) {
    outcome = DispatchOutcome::kTurnedAway;
  } else if (aEnd == AttemptEnd::kServerError) {
    outcome = DispatchOutcome::kFailed;
  }
  if (aEnd == AttemptEnd::kBroken && !mRequest.mBody.empty()) {
    NoteCrash();
  }
  const bool plain = mRoute->mKind != RouteKind::kStream;
  if (aEnd == AttemptEnd::kBroken || (aEnd == AttemptEnd::kSilent && plain)) {
    // The server most likely ran it and lost the answer.
    CountUsage();
  }
  FinishAttempt(outcome, aEnd == AttemptEnd::kServerError);
  if (mayHaveRun) {
    ++mRuns;
  }
  // What came of an unfinished event comes again with the next run.
  mEvents.mRest.clear();
  if (MayTryAgain(aEnd)) {
    if (mStreaming) {
      mState.mMetrics.Add(Counter::kStreamsResumed, 1);
    }
    TryServer();
    return;
  }
  GiveUp(aEnd);
}

void
Exchange::GiveUp(AttemptEnd aEnd)
{
  if (mStreaming) {
    mState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kRequestFailed,
                      "id={} route={} end={} dispatches={} last_event={}",
                      mFacts.mRequestId,
                      mRoute->mName,
                      NameOf(kAttemptEndNames, aEnd),
                      mDispatches,
                      mEvents.mLastId);
    CutOff();
    return;
  }
  if (mServerError.has_value()) {
    DeliverAnswer(std::move(*mServerError));
    return;
  }
  if (mRuns > 0) {
    Refuse(kBadGateway, RefusalReason::kBrokenAnswer, std::nullopt);
    return;
  }
  Refuse(kUnavailable,
         aEnd == AttemptEnd::kConnectFailed ? RefusalReason::kServerUnreachable
                                            : RefusalReason::kServersFull,
         RetryAfter(kRetryWhenFull));
}

RequestDigest
Exchange::Digest() const
{
  return DigestOf(mAccount == nullptr ? ClientAccountId{} : mAccount->mName,
                  mService,
                  fmt::format("{}\n{}", mRequest.mTarget, mRequest.mBody));
}

void
Exchange::NoteCrash()
{
  mState.mCrashNews.push_back(RecordCrash(
    mState.mCrashes, mState.mOptions.mHost, Digest(), mAttempt->mServer.mId, SuspendAwareNow()));
}

void
Exchange::OnDeadline()
{
  mDeadlineTimer = 0;
  if (mOver) {
    return;
  }
  if (mAttempt.has_value()) {
    ++mRuns;
    if (mRoute->mKind != RouteKind::kStream) {
      CountUsage();
    }
    FinishAttempt(DispatchOutcome::kFailed, false);
  }
  if (mStreaming) {
    mState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kRequestFailed,
                      "id={} route={} reason={} last_event={}",
                      mFacts.mRequestId,
                      mRoute->mName,
                      NameOf(kRefusalReasonNames, RefusalReason::kOutOfTime),
                      mEvents.mLastId);
    CutOff();
    return;
  }
  Refuse(mRuns > 0 ? kGatewayTimeout : kUnavailable, RefusalReason::kOutOfTime, std::nullopt);
}

void
Exchange::OnClientGone()
{
  if (mOver) {
    return;
  }
  if (mAttempt.has_value()) {
    // Closing the connection ends the work at the server. Its outcome says nothing of the server.
    const BackendServerId server = mAttempt->mServer.mId;
    ServerStanding& standing = StandingOf(server);
    --standing.mInFlight;
    standing.mPendingTokens -= mAttempt->mPendingTokens;
    --mState.mLoads[mService].mInFlight;
    mAttempt->mConnection->mStream->Close();
    mAttempt.reset();
  }
  mState.mLog.Write(LogWeight::kRoutine,
                    LogEvent::kRequestCancelled,
                    "id={} route={} dispatches={} ms={}",
                    mFacts.mRequestId,
                    mRoute == nullptr ? "" : mRoute->mName,
                    mDispatches,
                    (SuspendAwareNow() - mArrivedAt) / Milliseconds{ 1 });
  End();
}

void
Exchange::Refuse(int aStatus, RefusalReason aReason, std::optional<Milliseconds> aRetryAfter)
{
  const bool notRun = aStatus == kUnavailable || aStatus == kTooManyRequests;
  mState.mMetrics.Add(notRun ? Counter::kRequestsNotRun : Counter::kRequestsMayHaveRun, 1);
  mState.mLog.Write(
    LogWeight::kNotable,
    LogEvent::kRequestRefused,
    "id={} route={} account={} service={} status={} reason={} dispatches={} version={} "
    "proof_age_ms={} quota_cost={:.0f} quota_level={:.0f} quota_most={:.0f} "
    "quota_share={:.2f} ms={}",
    mFacts.mRequestId,
    mRoute == nullptr ? "" : mRoute->mName,
    mAccount == nullptr ? "" : mAccount->mName.Value(),
    mService.Value(),
    aStatus,
    NameOf(kRefusalReasonNames, aReason),
    mDispatches,
    mCatalogue ? mCatalogue->mCatalogue.mVersion : 0,
    mState.mView ? (SuspendAwareNow() - mState.mView->mProvenAt) / Milliseconds{ 1 } : 0,
    mQuotaCost,
    mQuotaDecision.mLevel,
    mQuotaDecision.mMost,
    mState.mView ? mState.mView->mQuotaShare : 0,
    (SuspendAwareNow() - mArrivedAt) / Milliseconds{ 1 });
  if (mQuotaTaken && mDispatches == 0) {
    ReturnQuota(mState.mQuotas, mAccount->mName, mQuotaCost);
  }
  mSession->SendWhole(
    { .mStatus = aStatus,
      .mHeaders = mState.mOptions.mCodec.mOwnHeaders(mFacts.mRequestId, aRetryAfter),
      .mBody = fmt::format("{}\n", NameOf(kRefusalReasonNames, aReason)) });
  End();
}

// Closes the client's connection in the middle of the answer.
void
Exchange::CutOff()
{
  const auto session = mSession;
  End();
  session->Abort();
}

void
Exchange::End()
{
  if (mOver) {
    return;
  }
  mOver = true;
  mState.mLoop.Cancel(std::exchange(mDeadlineTimer, 0));
  mState.mLoop.Cancel(std::exchange(mSilenceTimer, 0));
  const ClientSession* session = mSession.get();
  mSession.reset();
  if (mOnEnd) {
    std::exchange(mOnEnd, nullptr)(session);
  }
}

Milliseconds
Exchange::TimeLeft() const
{
  return Remaining(mDeadline, SuspendAwareNow());
}

Milliseconds
Exchange::RetryAfter(Milliseconds aWanted) const
{
  const Milliseconds patience =
    mFacts.mPatience.value_or(aWanted * kRetryAfterPart) -
    std::chrono::duration_cast<Milliseconds>(SuspendAwareNow() - mArrivedAt);
  return std::clamp(
    aWanted, Milliseconds{ 0 }, std::max(Milliseconds{ 0 }, patience / kRetryAfterPart));
}

} // namespace trefoil
