#include "trefoil/forward/exchange.h"
#include "trefoil/http/status_code.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace trefoil {
namespace {

// Dispatches beyond a route's attempts that servers may turn away.
constexpr int kMaxTurnedAway = 2;
// A repeatable request without an answer goes to another server after this many times its goal.
constexpr int kSilentGoals = 2;
constexpr Milliseconds kMinSilence{ 200 };
// A plain request that may not be repeated shows that its server is lost after this many times its
// goal: the slowest answers of a loaded service take about three.
constexpr int kLostGoals = 4;
// Other hosts are told of requests for which a server reads for some 50 ms and more: the others
// hardly delay what comes behind them.
constexpr double kMinTokensTold = 3'000;
// Dispatches within this are told in one message.
constexpr Milliseconds kGatherDispatches{ 10 };
// A long prompt is read for up to a second before the first event.
constexpr Milliseconds kMinStreamSilence{ 1'200 };
// A resumable stream is silent after this many of its longest pauses.
constexpr int kSilentPauses = 4;

} // namespace

ServerStatus&
Exchange::StandingOf(const BackendServerId& aServer)
{
  return mState.mStandings[aServer];
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
  const bool wantsTarget =
    steered && std::generate_canonical<double, 32>(mState.mRandom) < steering->second.mTargetShare;
  const CacheReaders* readers = ReadersOf(mState.mCacheHints, mCacheKey);
  std::vector<ServerCandidate> candidates;
  for (const RegisteredServer* server : found->second) {
    const bool ofTarget = steered && server->mVersion == steering->second.mTarget;
    if (server->mPhase != ServerPhase::kReady || mTried.contains(server->mId) ||
        ofTarget != wantsTarget) {
      continue;
    }
    candidates.push_back({ .mServer = server,
                           .mServerStatus = &StandingOf(server->mId),
                           .mHoldsCache = Holds(readers, server->mId, now),
                           .mAvoided = server->mRemovalUnconfirmed ||
                                       !HasPassed(mState.mZones[server->mZone].mAvoidUntil, now) });
  }
  AvoidReportedBroken(candidates, now);
  const auto chosen = ChooseServer(candidates,
                                   { .mZone = mState.mOptions.mZone,
                                     .mCacheKey = mCacheKey,
                                     .mSharedTokens = mSharedTokens,
                                     .mPrefillRate = TokensPerSecond(mState.mReadRates[mService]),
                                     .mRandomValue = mState.mRandom() },
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
    GiveUp(mTried.empty() ? RefusalReason::kNoServer : RefusalReason::kServersFull);
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
  if (mRoute->mUsesCacheAffinity) {
    dispatch.mUrgency = mAccount != nullptr && mAccount->mPriority.has_value()
                          ? *mAccount->mPriority
                          : mRoute->mPriority;
  }
  std::string bytes = fmt::format("{} {} HTTP/1.1\r\n", mRequest.mMethod, mRequest.mTarget);
  AppendHeaders(bytes, mState.mOptions.mCodec.mServerHeaders(mRequest.mHeaders, dispatch));
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
  NoteBasis(aServer, now);
  mAttempt = Attempt{ .mServer = aServer,
                      .mConnection = mState.mPool.Take(aServer, rule),
                      .mReader = MessageReader::ForAnswer({}, mRequest.mMethod != "HEAD"),
                      .mSentAt = now,
                      .mPendingTokens = mBasis.mOwnTokens };
  ++mDispatches;
  mTried.insert(aServer.mId);
  ServerStatus& standing = StandingOf(aServer.mId);
  ++standing.mInFlight;
  standing.mPendingTokens += mAttempt->mPendingTokens;
  mState.mMetrics.Add(Counter::kAttempts, 1);
  if (!mCacheKey.empty()) {
    NoteRead(mState.mCacheHints, mCacheKey, aServer.mId, now);
  }
  NoteDispatch();
  mAttempt->mConnection->mStream->SetCallbacks(
    { .mOnBytes = [self = shared_from_this()] { self->OnServerBytes(); },
      .mOnEnd = [self = shared_from_this()](StreamEnd aEnd) { self->OnServerEnd(aEnd); } });
  mAttempt->mConnection->mStream->Send(RequestBytes(aServer, TimeLeft()));
  ArmSilenceTimer();
}

void
Exchange::NoteBasis(const RegisteredServer& aServer, Instant aNow)
{
  const ServerStatus& standing = StandingOf(aServer.mId);
  const double rate = TokensPerSecond(mState.mReadRates[mService]);
  const bool holdsCache = Holds(ReadersOf(mState.mCacheHints, mCacheKey), aServer.mId, aNow);
  mBasis = { .mServer = aServer.mId,
             .mZone = aServer.mZone,
             .mInFlight = standing.mInFlight,
             .mWaiting = WaitingTokens(standing, rate, aNow),
             .mWaitingAge =
               std::chrono::duration_cast<Milliseconds>(aNow - standing.mBacklog.mMeasuredAt),
             .mPrefillRate = rate,
             .mOwnTokens = static_cast<double>(mFacts.mPromptTokens) -
                           (holdsCache ? static_cast<double>(mSharedTokens) : 0.0),
             .mHoldsCache = holdsCache };
}

// Takes what the server has to read into its backlog, and has the other hosts told.
void
Exchange::NoteDispatch()
{
  if (mCacheKey.empty()) {
    return;
  }
  const DispatchReport note{ .mServer = mBasis.mServer,
                             .mCacheKey = mCacheKey,
                             .mTokens = mBasis.mOwnTokens };
  AddToBacklog(
    StandingOf(note.mServer).mBacklog, note.mTokens, mBasis.mPrefillRate, SuspendAwareNow());
  if (note.mTokens < kMinTokensTold || !mState.mOnDispatches) {
    return;
  }
  if (mState.mDispatches.empty()) {
    mState.mLoop.CallAt(SuspendAwareNow() + kGatherDispatches, [&state = mState] {
      state.mOnDispatches(std::exchange(state.mDispatches, {}));
    });
  }
  mState.mDispatches.push_back(note);
}

std::string
Exchange::BasisText() const
{
  return fmt::format("server={} server_zone={} in_flight={} waiting={:.0f} waiting_ms={} cached={}",
                     mBasis.mServer.Value(),
                     mBasis.mZone.Value(),
                     mBasis.mInFlight,
                     mBasis.mWaiting,
                     mBasis.mWaitingAge.count(),
                     mBasis.mHoldsCache);
}

void
Exchange::ArmSilenceTimer()
{
  mState.mLoop.Cancel(mSilenceTimer);
  mSilenceTimer = 0;
  const bool repeats = MayRepeat() && mRuns + 1 < mRoute->mAttempts;
  if (!repeats && mAttempt->mBegun) {
    return;
  }
  const Milliseconds limit =
    mRoute->mKind == RouteKind::kStream
      ? std::max({ mRoute->mEventGapGoal * kSilentPauses,
                   mRoute->mLatencyGoal * kSilentGoals,
                   kMinStreamSilence })
      : std::max(mRoute->mLatencyGoal * (repeats ? kSilentGoals : kLostGoals), kMinSilence);
  mSilenceTimer =
    mState.mLoop.CallAt(SuspendAwareNow() + limit, [self = shared_from_this(), repeats] {
      self->mSilenceTimer = 0;
      if (!self->mAttempt.has_value()) {
        return;
      }
      if (repeats) {
        self->AttemptFailed(AttemptEnd::kSilent);
      } else if (!self->mAttempt->mBegun) {
        self->NoteSilentServer();
      }
    });
}

// The request stays where it is, since it may run there, but others need not follow it.
void
Exchange::NoteSilentServer()
{
  RecordSilence(StandingOf(mAttempt->mServer.mId), SuspendAwareNow());
  mState.mLog.Write(LogWeight::kNotable,
                    LogEvent::kServerAvoided,
                    "server={} service={} reason=silent id={} ms={}",
                    mAttempt->mServer.mId.Value(),
                    mService.Value(),
                    mFacts.mRequestId,
                    (SuspendAwareNow() - mAttempt->mSentAt) / Milliseconds{ 1 });
}

// Takes the attempt out and off the load of its server. The connection is the caller's to close.
Exchange::Attempt
Exchange::ReleaseAttempt()
{
  Attempt attempt = std::move(*mAttempt);
  mAttempt.reset();
  mState.mLoop.Cancel(std::exchange(mSilenceTimer, 0));
  ServerStatus& standing = StandingOf(attempt.mServer.mId);
  --standing.mInFlight;
  standing.mPendingTokens -= attempt.mPendingTokens;
  return attempt;
}

void
Exchange::FinishAttempt(DispatchOutcome aOutcome, bool aKeepConnection)
{
  const Attempt attempt = ReleaseAttempt();
  ServerStatus& standing = StandingOf(attempt.mServer.mId);
  const Instant now = SuspendAwareNow();
  if (RecordServerOutcome(standing, aOutcome, now)) {
    mState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kServerAvoided,
                      "server={} service={} failures={} share={:.2f} ms={}",
                      attempt.mServer.mId.Value(),
                      mService.Value(),
                      standing.mConsecutiveFailures,
                      standing.mFailureShare,
                      Remaining(standing.mAvoidUntil, now).count());
  }
  if (RecordZoneOutcome(mState.mZones[attempt.mServer.mZone], attempt.mServer.mId, aOutcome, now)) {
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
  if (HasPassed(mDeadline, now) || mDispatches >= mRoute->mAttempts + kMaxTurnedAway) {
    return false;
  }
  const bool notRun = aEnd == AttemptEnd::kConnectFailed || aEnd == AttemptEnd::kTurnedAway ||
                      aEnd == AttemptEnd::kOtherServer;
  if (!notRun && (!MayRepeat() || mRuns >= mRoute->mAttempts)) {
    return false;
  }
  // A connection that never stood brought no arrival.
  return aEnd == AttemptEnd::kConnectFailed ||
         ConsumeServiceRetry(mState.mRetries, mService, mState.mView->mHosts, now);
}

void
Exchange::AttemptFailed(AttemptEnd aEnd)
{
  mState.mMetrics.Add(Counter::kAttemptsFailed, 1);
  mState.mMetrics.AddLabelled(LabelledCounter::kAttemptEnds, NameOf(kAttemptEndNames, aEnd));
  const bool mayHaveRun =
    aEnd == AttemptEnd::kBroken || aEnd == AttemptEnd::kSilent || aEnd == AttemptEnd::kServerError;
  mState.mLog.Write(LogWeight::kNotable,
                    LogEvent::kAttemptFailed,
                    "id={} route={} {} end={} reused={} ms={} last_event={}",
                    mFacts.mRequestId,
                    mRoute->mName,
                    BasisText(),
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
  GiveUp(aEnd == AttemptEnd::kConnectFailed ? RefusalReason::kServerUnreachable
                                            : RefusalReason::kServersFull);
}

// Ends the request with the best answer there is. `aNotRun` is the reason if no server can have run
// it.
void
Exchange::GiveUp(RefusalReason aNotRun)
{
  if (mStreaming) {
    CutOff(RefusalReason::kBrokenAnswer);
    return;
  }
  // The attempt that brought the server's answer is one of the runs.
  if (mServerError.has_value() && (mRuns <= 1 || !PromisesNotRun(mServerError->mStatus))) {
    DeliverAnswer(std::move(*mServerError));
    return;
  }
  if (mRuns > 0) {
    Refuse(kBadGateway, RefusalReason::kBrokenAnswer, std::nullopt);
    return;
  }
  Refuse(kUnavailable, aNotRun, RetryAfter(kRetryWhenFull));
}

void
Exchange::NoteCrash()
{
  mState.mCrashNews.push_back(RecordCrash(
    mState.mCrashes, mState.mOptions.mHost, Digest(), mAttempt->mServer.mId, SuspendAwareNow()));
}

} // namespace trefoil
