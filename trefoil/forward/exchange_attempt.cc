#include "trefoil/forward/exchange.h"
#include "trefoil/forward/server_connector.h"
#include "trefoil/forward/warm_up_limits.h"
#include "trefoil/http/framing.h"
#include "trefoil/http/status_code.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <limits>
#include <string_view>
#include <utility>
#include <vector>

namespace trefoil {
namespace {

// Dispatches allowed beyond a route's attempts, since servers may reject requests without running
// them.
constexpr int kMaxExtraDispatches = 2;
// Connections that a request may fail to open, of its own or by way of other hosts.
constexpr int kMaxFailedConnects = 8;
// A repeatable request is sent to another server if it is unanswered after this multiple of the
// latency goal.
constexpr int kSilenceGoalFactor = 2;
constexpr Milliseconds kMinSilence{ 200 };
// A server is considered lost if a non-stream request that must not be repeated is unanswered after
// this multiple of the latency goal. The slowest answers of a loaded service take about 3 times
// the goal.
constexpr int kLostServerGoalFactor = 4;
// Dispatches are reported to other hosts only from this number of tokens on, whose prefill takes
// about 50 ms. Smaller ones hardly delay later requests.
constexpr double kMinReportedTokens = 3'000;
// Dispatches within this time are reported in one message.
constexpr Milliseconds kDispatchBatchDelay{ 10 };
// The prefill of a long prompt delays the first event by up to 1 s.
constexpr Milliseconds kMinStreamSilence{ 1'200 };
// Limits the length of a log line.
constexpr std::size_t kMaxLoggedParts = 8;
// A stream is considered silent after this multiple of the event gap goal.
constexpr int kSilenceGapFactor = 4;
// Retry-After value if only servers in evacuated zones are left. An evacuation lasts for seconds at
// least, unless servers register in another zone.
constexpr Milliseconds kRetryAfterEvacuated{ 1'000 };

// Returns whether the attempt ended before anything was sent, although its connection was open.
bool
IsUnsent(AttemptFailure aFailure)
{
  return aFailure == AttemptFailure::kHeldBack || aFailure == AttemptFailure::kZoneEvacuated;
}

// Returns why a request is refused after a failure of its last attempt, if it has not run.
RefusalReason
ReasonAfter(AttemptFailure aFailure)
{
  switch (aFailure) {
    case AttemptFailure::kConnectFailed:
      return RefusalReason::kServerUnreachable;
    case AttemptFailure::kHeldBack:
      return RefusalReason::kServersLimited;
    case AttemptFailure::kZoneEvacuated:
      return RefusalReason::kZonesEvacuated;
    case AttemptFailure::kTurnedAway:
    case AttemptFailure::kWrongServer:
    case AttemptFailure::kBroken:
    case AttemptFailure::kSilent:
    case AttemptFailure::kServerError:
      break;
  }
  return RefusalReason::kServersFull;
}

} // namespace

// Returns a reader for an answer to this request. Bodies are not limited there, since the events of
// a long stream do not stay in memory.
MessageReader
Exchange::ResponseReader() const
{
  return MessageReader::ForResponse({ .mMaxBodyBytes = std::numeric_limits<std::size_t>::max() },
                                    mRequest.mMethod != "HEAD");
}

std::string
Exchange::BuildRequest(const RegisteredServer& aServer, Milliseconds aTimeLeft) const
{
  DispatchMetadata dispatch{ .mServer = aServer.mId,
                             .mAccount = mAccount == nullptr ? ClientAccountId{} : mAccount->mName,
                             .mTimeLeft = aTimeLeft,
                             .mAfterEventId =
                               mEvents.mLastId.empty() ? mMetadata.mLastEventId : mEvents.mLastId };
  if (mRoute->mUsesCacheAffinity) {
    dispatch.mUrgency = Priority();
  }
  return RequestBytes(
    { .mMethod = mRequest.mMethod,
      .mTarget = mRequest.mTarget,
      .mHeaders = mState.mOptions.mCodec.mServerHeaders(mRequest.mHeaders, dispatch) },
    mRequest.mBody);
}

void
Exchange::SendTo(const RegisteredServer& aServer)
{
  const Instant now = SuspendAwareNow();
  RecordBasis(aServer, now);
  mAttempt = Attempt{ .mServer = aServer,
                      .mReader = ResponseReader(),
                      .mSentAt = now,
                      .mPendingTokens = mBasis.mUncachedTokens };
  const bool isOpen = AcquireConnection(aServer);
  mBasis.mVia = mAttempt->mConnection->mVia;
  ++mDispatches;
  mTriedServers.insert(aServer.mId);
  ServerStatus& status = StatusOfServer(aServer.mId);
  UsePermit(status.mLimit);
  mAttempt->mHasWarmUpPermit =
    IsLimitedByWarmUp(mState, aServer, now) && TakeWarmUpPermit(mState, aServer, now);
  ++status.mInFlight;
  status.mPendingTokens += mAttempt->mPendingTokens;
  mState.mMetrics.Add(Counter::kAttempts, 1);
  mState.mMetrics.IncrementLabelled(
    LabelledCounter::kDispatchesByZone,
    NameOf(kZoneSideNames,
           aServer.mZone == mState.mOptions.mZone ? ZoneSide::kOwn : ZoneSide::kOther));
  if (mStreaming) {
    mState.mMetrics.Add(Counter::kStreamsResumed, 1);
  }
  if (!mCacheKey.empty()) {
    RecordCacheHint(mState.mCacheHints, mCacheKey, aServer.mId, now);
  }
  RecordDispatch();
  if (isOpen) {
    SendRequest();
  }
}

void
Exchange::SendRequest()
{
  // The zone may have been closed while the connection was being opened.
  if (IsEvacuated(mState, mAttempt->mServer)) {
    ++mFailedConnects;
    mTriedServers.erase(mAttempt->mServer.mId);
    mAttempt->mIsServerBlamed = false;
    OnAttemptFailed(AttemptFailure::kZoneEvacuated);
    return;
  }
  mAttempt->mSent = true;
  mAttempt->mSentAt = SuspendAwareNow();
  mAttempt->mConnection->mStream->SetCallbacks(
    { .mOnBytes = [self = shared_from_this()] { self->OnServerBytes(); },
      .mOnSent = [self = shared_from_this()] { self->CountCopy(); },
      .mOnEnd = [self = shared_from_this()](StreamEnd aEnd) { self->OnServerEnd(aEnd); } });
  mAttempt->mConnection->mStream->SendString(BuildRequest(mAttempt->mServer, TimeLeft()));
  CountCopy();
  ArmSilenceTimer();
}

// Counts the copy of the request that has not been passed to the kernel yet.
void
Exchange::CountCopy()
{
  if (mAttempt.has_value()) {
    const std::size_t bytes = mAttempt->mConnection->mStream->UnsentCapacity();
    ChangeHeld(
      mState.mMemory, MemoryKind::kRequests, std::exchange(mAttempt->mCopyBytes, bytes), bytes);
  }
}

// Adds the request's prefill work to the server's backlog and reports the dispatch to other hosts
// if it is large enough.
void
Exchange::RecordDispatch()
{
  if (mCacheKey.empty()) {
    return;
  }
  const DispatchReport report{ .mServer = mBasis.mServer,
                               .mCacheKey = mCacheKey,
                               .mTokens = mBasis.mUncachedTokens };
  AddToBacklog(StatusOfServer(report.mServer).mBacklog,
               report.mTokens,
               mBasis.mPrefillRate,
               SuspendAwareNow());
  if (report.mTokens < kMinReportedTokens || !mState.mOnDispatchReports) {
    return;
  }
  if (mState.mUnsentReports.empty()) {
    mState.mLoop.CallAt(SuspendAwareNow() + kDispatchBatchDelay, [&state = mState] {
      state.mOnDispatchReports(std::exchange(state.mUnsentReports, {}));
    });
  }
  mState.mUnsentReports.push_back(report);
}

// Returns the ids of the parts of the prompt that other requests may share, separated by commas.
std::string
Exchange::SharedPartsText() const
{
  std::vector<std::string_view> ids;
  for (std::size_t i = 0; i + 1 < std::min(mMetadata.mPrompt.size(), kMaxLoggedParts); ++i) {
    ids.push_back(mMetadata.mPrompt[i].mId);
  }
  return fmt::format("{}", fmt::join(ids, ","));
}

void
Exchange::ArmSilenceTimer()
{
  mState.mLoop.Cancel(mSilenceTimer);
  mSilenceTimer = 0;
  const bool mayRepeat = MayRepeat() && CountedRuns() + 1 < mRoute->mAttempts;
  if (!mayRepeat && mAttempt->mAnswerBegun) {
    return;
  }
  const Milliseconds silenceTimeout =
    mRoute->mKind == RouteKind::kStream
      ? std::max({ mRoute->mEventGapGoal * kSilenceGapFactor,
                   mRoute->mLatencyGoal * kSilenceGoalFactor,
                   kMinStreamSilence })
      : std::max(mRoute->mLatencyGoal * (mayRepeat ? kSilenceGoalFactor : kLostServerGoalFactor),
                 kMinSilence);
  mSilenceTimer =
    mState.mLoop.CallAt(SuspendAwareNow() + silenceTimeout, [self = shared_from_this(), mayRepeat] {
      self->mSilenceTimer = 0;
      if (!self->mAttempt.has_value()) {
        return;
      }
      self->CheckPathOfSilentServer();
      if (mayRepeat) {
        self->OnServerSilent();
      } else if (!self->mAttempt->mAnswerBegun) {
        self->RecordSilentServer();
        self->MoveWhenCutOff();
      }
    });
}

// Moves the request to another server if one may take it. Otherwise it waits on, since a sound
// server can be silent for some time.
void
Exchange::OnServerSilent()
{
  // A direct connection was tried; the request goes on by a way that is known to work.
  mIsDirectTrial = false;
  const auto server = SelectServer();
  if (server.has_value() && MayRetry(AttemptFailure::kSilent)) {
    EndFailedAttempt(AttemptFailure::kSilent);
    // The end of the attempt can show that a whole zone is to be avoided.
    SendTo(SelectServer().value_or(*server));
    return;
  }
  RecordSilentServer();
  ArmSilenceTimer();
}

// Records that the server does not answer, so that other requests avoid it. This request is not
// moved.
void
Exchange::RecordSilentServer()
{
  if (!mAttempt->mIsServerBlamed) {
    return;
  }
  RecordSilence(StatusOfServer(mAttempt->mServer.mId), SuspendAwareNow());
  RecordLostServer(AttemptFailure::kSilent);
  if (std::exchange(mAttempt->mFoundSilent, true)) {
    return;
  }
  mState.mLog.Write(LogSeverity::kNotable,
                    LogEvent::kServerAvoided,
                    "server={} service={} reason=silent id={} ms={}",
                    mAttempt->mServer.mId.Value(),
                    mService.Value(),
                    mMetadata.mRequestId,
                    (SuspendAwareNow() - mAttempt->mSentAt) / Milliseconds{ 1 });
}

// Returns the current attempt and subtracts it from the load of its server. The caller must close
// or release the connection.
Exchange::Attempt
Exchange::ReleaseAttempt()
{
  Attempt attempt = std::move(*mAttempt);
  mAttempt.reset();
  ChangeHeld(mState.mMemory, MemoryKind::kServerAnswers, attempt.mBufferedBytes, 0);
  ChangeHeld(mState.mMemory, MemoryKind::kRequests, attempt.mCopyBytes, 0);
  mState.mLoop.Cancel(std::exchange(mSilenceTimer, 0));
  ServerStatus& status = StatusOfServer(attempt.mServer.mId);
  --status.mInFlight;
  status.mPendingTokens -= attempt.mPendingTokens;
  return attempt;
}

// Adds the time of an attempt that has ended to that of its route and version, if a move of the
// service was ordered. `aServed` is 1 if the request was served, otherwise 0.
void
Exchange::CountForRoute(const Attempt& aAttempt, int aServed)
{
  if (!mState.mView->mSteering.contains(mService)) {
    return;
  }
  const std::ptrdiff_t position = mRoute - mCatalogue->mCatalogue.mRoutes.data();
  RouteOutcomes& outcomes =
    mState.mOutcomes[mService][aAttempt.mServer.mVersion]
      .mRoutes[position < kMaxRoutesCounted ? mRoute->mName : std::string{}];
  outcomes.mServed += aServed;
  outcomes.mSpentMs +=
    std::chrono::duration<double, std::milli>(SuspendAwareNow() - aAttempt.mSentAt).count();
}

// Ends the attempt without an outcome, since its end is not caused by the server.
void
Exchange::AbandonAttempt()
{
  const Attempt attempt = ReleaseAttempt();
  Discard(*attempt.mConnection);
}

void
Exchange::FinishAttempt(DispatchOutcome aOutcome, bool aKeepConnection)
{
  const Attempt attempt = ReleaseAttempt();
  ServerStatus& status = StatusOfServer(attempt.mServer.mId);
  const Instant now = SuspendAwareNow();
  if (RecordServerOutcome(status, aOutcome, now)) {
    mState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kServerAvoided,
                      "server={} service={} failures={} share={:.2f} ms={}",
                      attempt.mServer.mId.Value(),
                      mService.Value(),
                      status.mConsecutiveFailures,
                      status.mFailureShare,
                      Remaining(status.mAvoidUntil, now).count());
  }
  if (RecordZoneOutcome(mState.mZones[attempt.mServer.mZone], attempt.mServer.mId, aOutcome, now)) {
    mState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kServerAvoided,
                      "zone={} service={}",
                      attempt.mServer.mZone.Value(),
                      mService.Value());
  }
  VersionOutcomes& outcomes = mState.mOutcomes[mService][attempt.mServer.mVersion];
  if (aOutcome == DispatchOutcome::kServed) {
    ++outcomes.mServed;
    outcomes.mLatencyMs += std::chrono::duration<double, std::milli>(now - attempt.mSentAt).count();
    CountForRoute(attempt, 1);
  } else if (aOutcome == DispatchOutcome::kBroken && attempt.mConnection->mVia.Empty()) {
    // The carrier of another connection may have lost its own path to the server.
    BlameVersion(mState, mService, attempt.mServer.mVersion);
  } else if (aOutcome == DispatchOutcome::kFailed) {
    ++outcomes.mFailed;
  }
  ByteStream& stream = *attempt.mConnection->mStream;
  if (aKeepConnection && attempt.mStrayAnswers == 0 &&
      attempt.mReader->State() == MessageReadState::kComplete && attempt.mReader->KeepsAlive() &&
      stream.Received().empty() && stream.Unsent() == 0) {
    mState.mConnectionPool.Release(attempt.mConnection, attempt.mAnswerMetadata.mKeepAliveTimeout);
    return;
  }
  Discard(*attempt.mConnection);
}

bool
Exchange::MayRepeat() const
{
  return mRoute->mKind == RouteKind::kIdempotent ||
         (mRoute->mKind == RouteKind::kStream && mRoute->mResumable);
}

bool
Exchange::MayRetry(AttemptFailure aFailure)
{
  const Instant now = SuspendAwareNow();
  if (HasPassed(mDeadline, now) || mFailedConnects >= kMaxFailedConnects ||
      mDispatches - mFailedConnects >= mRoute->mAttempts + kMaxExtraDispatches) {
    return false;
  }
  const bool notRun = aFailure == AttemptFailure::kConnectFailed ||
                      aFailure == AttemptFailure::kTurnedAway ||
                      aFailure == AttemptFailure::kWrongServer || IsUnsent(aFailure);
  if (IsRefused(now)) {
    return false;
  }
  if (!notRun && (!MayRepeat() || CountedRuns() >= mRoute->mAttempts)) {
    return false;
  }
  // An attempt that sent nothing put no load on a server, so its retry consumes no budget.
  return aFailure == AttemptFailure::kConnectFailed || IsUnsent(aFailure) ||
         std::exchange(mHasPaidForRetry, false) ||
         ConsumeServiceRetry(mState.mRetries, mService, mState.mView->mHosts, now);
}

void
Exchange::EndFailedAttempt(AttemptFailure aFailure)
{
  mFoundUnreachable = mFoundUnreachable || aFailure == AttemptFailure::kConnectFailed;
  mState.mMetrics.Add(Counter::kAttemptsFailed, 1);
  mState.mMetrics.IncrementLabelled(LabelledCounter::kAttemptEnds,
                                    NameOf(kAttemptFailureNames, aFailure));
  const bool mayHaveRun = aFailure == AttemptFailure::kBroken ||
                          aFailure == AttemptFailure::kSilent ||
                          aFailure == AttemptFailure::kServerError;
  mState.mLog.Write(
    LogSeverity::kNotable,
    LogEvent::kAttemptFailed,
    "id={} route={} {} end={} answer={} begun={} reused={} ms={} last_event={} parts={}",
    mMetadata.mRequestId,
    mRoute->mName,
    BasisText(),
    NameOf(kAttemptFailureNames, aFailure),
    NameOf(kMessageReadStateNames, mAttempt->mReader->State()),
    mAttempt->mAnswerBegun,
    mAttempt->mConnection->mReused,
    (SuspendAwareNow() - mAttempt->mSentAt) / Milliseconds{ 1 },
    mEvents.mLastId,
    SharedPartsText());
  DispatchOutcome outcome = DispatchOutcome::kBroken;
  if (aFailure == AttemptFailure::kTurnedAway) {
    outcome = DispatchOutcome::kTurnedAway;
  } else if (aFailure == AttemptFailure::kServerError) {
    outcome = DispatchOutcome::kFailed;
  }
  if (aFailure == AttemptFailure::kConnectFailed || aFailure == AttemptFailure::kSilent) {
    RecordLostServer(aFailure);
  }
  const bool isPlain = mRoute->mKind != RouteKind::kStream;
  if (aFailure == AttemptFailure::kBroken || (aFailure == AttemptFailure::kSilent && isPlain)) {
    // The server has probably run the request, and its answer was lost.
    CountUsage();
  }
  if (aFailure == AttemptFailure::kSilent && mAttempt->mConnection->mVia.Empty()) {
    mSilentServers.push_back(mAttempt->mServer);
  }
  if (mAttempt->mIsServerBlamed) {
    FinishAttempt(outcome, aFailure == AttemptFailure::kServerError);
  } else {
    AbandonAttempt();
  }
  if (mayHaveRun) {
    ++mPossibleRuns;
  }
  // The next attempt sends the incomplete event again.
  mEvents.mPartialEvent.clear();
}

void
Exchange::OnAttemptFailed(AttemptFailure aFailure)
{
  EndFailedAttempt(aFailure);
  if (MayRetry(aFailure)) {
    TryNextServer();
    return;
  }
  FailRequest(ReasonAfter(aFailure));
}

// Ends the request without a further attempt. Aborts a stream that has begun; otherwise relays an
// error answer of a server if there is a suitable one, or refuses the request. `aReasonIfNotRun` is
// the reason if no server can have run the request.
void
Exchange::FailRequest(RefusalReason aReasonIfNotRun)
{
  if (mStreaming) {
    AbortAnswer(RefusalReason::kBrokenAnswer);
    return;
  }
  // mPossibleRuns includes the attempt that received mServerError. A status that guarantees "not
  // run" is relayed only if no other attempt may have run the request.
  if (mServerError.has_value() && (mPossibleRuns <= 1 || !PromisesNotRun(mServerError->mStatus))) {
    DeliverAnswer(*mServerError);
    return;
  }
  if (mPossibleRuns > 0) {
    Refuse(kBadGateway, RefusalReason::kBrokenAnswer, std::nullopt);
    return;
  }
  Refuse(kServiceUnavailable,
         aReasonIfNotRun,
         RetryAfter(aReasonIfNotRun == RefusalReason::kZonesEvacuated ? kRetryAfterEvacuated
                                                                      : DelayOfRetry()));
}

// Returns after which time the client may send the request again. Clients that are refused because
// of limits return at different times, since their servers accept few requests at once.
Milliseconds
Exchange::DelayOfRetry()
{
  if (!mLimitedUntil.has_value()) {
    return kRetryAfterFull;
  }
  const Milliseconds untilPermit = Remaining(*mLimitedUntil, SuspendAwareNow());
  const double spread = 1 + std::generate_canonical<double, 32>(mState.mRandom);
  return std::max(
    kRetryAfterFull,
    Milliseconds{ static_cast<std::int64_t>(spread * static_cast<double>(untilPermit.count())) });
}

bool
Exchange::IsRefused(Instant aNow) const
{
  return RefusedUntil(mState.mCrashes, { mRequestKey }, aNow).has_value() ||
         RefusedUntil(mState.mCrashes, mSharedParts, aNow).has_value();
}

// Records that the server of the attempt was lost for this host. Failures of a connection by way of
// another host show nothing of the links of this one.
void
Exchange::RecordLostServer(AttemptFailure aFailure)
{
  if (!mAttempt->mConnection->mVia.Empty()) {
    return;
  }
  const bool mayHaveRun = aFailure != AttemptFailure::kConnectFailed;
  RecordLoss(mState.mLinks,
             { .mServer = mAttempt->mServer.mId,
               .mService = mService,
               .mVersion = mAttempt->mServer.mVersion,
               .mRequest = mayHaveRun ? std::optional{ mRequestKey } : std::nullopt },
             SuspendAwareNow());
}

// Blames the request for the end of its connection to a server that was not about to leave, and the
// shared parts of its prompt if its answer had not begun.
void
Exchange::ReportCrash()
{
  const auto& servers = mState.mView->mServers->mServers;
  const auto server = servers.find(mAttempt->mServer.mId);
  if (server == servers.end() ||
      !AcceptsRequests(server->second, StatusOfServer(mAttempt->mServer.mId))) {
    return;
  }
  const Instant now = SuspendAwareNow();
  const auto logIfRefused = [&](const std::vector<SuspectKey>& aSuspects,
                                const std::optional<Instant>& aRefusedBefore,
                                LogEvent aEvent) {
    const auto refused = RefusedUntil(mState.mCrashes, aSuspects, now);
    if (refused != aRefusedBefore) {
      mState.mLog.Write(LogSeverity::kNotable,
                        aEvent,
                        "id={} service={} request={:016x} parts={} ms={}",
                        mMetadata.mRequestId,
                        mService.Value(),
                        mRequestKey,
                        SharedPartsText(),
                        Remaining(refused.value_or(now), now).count());
    }
  };
  const auto requestBefore = RefusedUntil(mState.mCrashes, { mRequestKey }, now);
  const auto partsBefore = RefusedUntil(mState.mCrashes, mSharedParts, now);
  BlameForCrash(mState,
                mAttempt->mServer,
                { .mRequest = mRequestKey,
                  .mParts = mAttempt->mIsSound ? std::vector<PromptPartKey>{} : mSharedParts },
                mAttempt->mConnection->mVia.Empty());
  logIfRefused({ mRequestKey }, requestBefore, LogEvent::kCrashingRequestRefused);
  logIfRefused(mSharedParts, partsBefore, LogEvent::kPromptPartRefused);
}

// Clears the shared parts of the prompt when the answer of an attempt begins.
void
Exchange::ReportPromptAnswer()
{
  if (!std::exchange(mAttempt->mIsSound, true) &&
      RecordPromptAnswer(mState.mCrashes, mSharedParts, SuspendAwareNow())) {
    ReportCrashEvidence(mState, true);
  }
}

// Clears the request when the answer of an attempt is complete.
void
Exchange::ReportCompletion()
{
  if (RecordCompletion(mState.mCrashes, mRequestKey, SuspendAwareNow()) >= kMinCrashesToRunAlone) {
    ReportCrashEvidence(mState, true);
  }
}

} // namespace trefoil
