#include "trefoil/node/internal/generation.h"

#include "trefoil/base/digest.h"
#include "trefoil/node/internal/pick_server.h"
#include "trefoil/node/internal/server_connector.h"
#include "trefoil/node/internal/shared_request_state.h"
#include "trefoil/request/reclaim.h"

#include "absl/time/clock.h"
#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace trefoil {
namespace {

// An engine that sends no event for this time during a stream is considered lost if another one can
// continue the stream.
constexpr Milliseconds kStallTimeout{ 2000 };
// An engine that has not sent its first event after this time is considered lost.
constexpr Milliseconds kFirstTokenTimeout{ 10'000 };
// How long this host sends no new work to a server on which an attempt failed.
constexpr Milliseconds kFailedServerAvoidance{ 1000 };
// The same for a server whose stream stalled. It is longer because each attempt on such a server
// loses up to kFirstTokenTimeout.
constexpr Milliseconds kStalledServerAvoidance{ 10'000 };
// Rate at which engines export a KV cache, in tokens of context.
constexpr double kTransferTokensPerSecond = 50'000;

enum class AttemptResult
{
  kComplete,
  // The engine did not run the request.
  kNotStarted,
  // The connection was lost: the request may have crashed the engine.
  kConnectionLost,
  // The engine sent no event in time or malformed events.
  kStalled,
  // The engine is leaving: another engine continues the stream.
  kEngineLeaving,
  // The stream has ended on this host: it failed, was handed over or has no reader.
  kStreamEnded,
};

// An attempt while it runs.
struct Attempt
{
  const BackendServerSpec& mServer;
  const AnswerWatch& mWatch;
  EngineStream mStream;
  // When the engine ends. std::nullopt unless it has announced that it is leaving.
  std::optional<Instant> mServerEndsAt;
};

CrashRegistry&
CrashRegistryOf(const Generation& aGeneration)
{
  return aGeneration.mContext.mRequestState->mCrashes;
}

std::int64_t
LiveStreams(const Generation& aGeneration)
{
  return aGeneration.mContext.mActiveRequests->load();
}

void
ReleaseResumeTicket(Generation& aGeneration)
{
  if (aGeneration.mResumeTicket.has_value()) {
    aGeneration.mContext.mRequestState->mResumeLimiter.Release(*aGeneration.mResumeTicket,
                                                               LiveStreams(aGeneration));
    aGeneration.mResumeTicket.reset();
  }
}

void
Fail(Generation& aGeneration, absl::Status aStatus)
{
  const bool ran = aGeneration.mMayHaveRunBefore || aGeneration.mProgress.mAttempts > 0 ||
                   aGeneration.mProgress.mTokens > 0;
  aGeneration.mRecord.Fail(
    { .mVerdict = ran ? Verdict::kMayHaveRun : Verdict::kNotRun, .mStatus = std::move(aStatus) });
}

void
CountToken(Generation& aGeneration)
{
  const Instant now = Now();
  Metrics& metrics = *aGeneration.mContext.mMetrics;
  metrics.Add(Counter::kTokens, 1);
  aGeneration.mMeter->RecordToken();
  if (aGeneration.mProgress.mTokens == 1) {
    metrics.Observe(Latency::kFirstToken, now - aGeneration.mStartedAt);
  } else {
    metrics.Observe(Latency::kTokenGap, now - aGeneration.mLastTokenAt);
  }
  aGeneration.mLastTokenAt = now;
}

// Appends a token to the record and sends it to the caller. Returns false if the stream has ended
// on this host.
bool
DeliverToken(Generation& aGeneration, const EngineEvent& aEvent)
{
  if (!aGeneration.mRecord.Append({ .mIndex = aEvent.mIndex,
                                    .mText = aEvent.mText,
                                    .mFinishReason = aEvent.mFinishReason })) {
    return false;
  }
  const Instant now = Now();
  if (aGeneration.mOnToken) {
    if (aGeneration.mOnToken({ .mIndex = aEvent.mIndex,
                               .mText = aEvent.mText,
                               .mFinishReason = aEvent.mFinishReason })) {
      return true;
    }
    aGeneration.mOnToken = nullptr;
    aGeneration.mRecord.RecordReader(now);
  }
  if (HasPassed(aGeneration.mRecord.AbandonAt(), now)) {
    Fail(aGeneration, absl::CancelledError("no caller followed the stream"));
    return false;
  }
  return true;
}

// Returns the plan for the stream on an engine that is leaving: to finish there, or to move with
// or without its KV cache.
ReclaimPlan
MakeReclaimPlan(const Generation& aGeneration, const Attempt& aAttempt, Instant aNow)
{
  const StreamProgress& progress = aGeneration.mProgress;
  const StreamIdentity& identity = aGeneration.mRecord.Identity();
  const auto ownTokens =
    static_cast<double>(progress.mTokens - aGeneration.mTokensBeforeAttempt - 1);
  const double seconds = std::chrono::duration<double>(aNow - aGeneration.mFirstTokenAt).count();
  return PlanReclaim({ .mPromptTokens = identity.mPromptTokens,
                       .mTokensSoFar = progress.mTokens,
                       .mMaxTokens = identity.mMaxTokens,
                       .mTokensPerSecond = ownTokens > 0 && seconds > 0 ? ownTokens / seconds : 0,
                       .mTransferTokensPerSecond =
                         aGeneration.mContext.mTransfersCaches ? kTransferTokensPerSecond : 0,
                       .mEndsAt = *aAttempt.mServerEndsAt },
                     aNow);
}

// Decides whether the stream moves away from an engine that is leaving, and exports its KV cache
// if the plan says so. Returns whether the attempt ends.
bool
TryLeaveEngine(Generation& aGeneration, const Attempt& aAttempt)
{
  const Instant now = Now();
  const ReclaimPlan plan = MakeReclaimPlan(aGeneration, aAttempt, now);
  if (plan.mChoice == ReclaimChoice::kFinish) {
    return false;
  }
  if (plan.mChoice == ReclaimChoice::kTransfer) {
    TakenPath path;
    const auto cache =
      ExportCache({ .mServer = aAttempt.mServer.mEndpoint,
                    .mConnector = aGeneration.mContext.mConnector->For(aAttempt.mServer, path) },
                  aGeneration.mProgress.mAttempt,
                  *aAttempt.mServerEndsAt);
    aGeneration.mCache = cache.ok() ? cache->mCache : "";
  }
  spdlog::info("attempt {} leaves {} after {} tokens: {}",
               aGeneration.mProgress.mAttempt.Value(),
               aAttempt.mServer.mServer.Value(),
               aGeneration.mProgress.mTokens,
               NameOf(kReclaimChoiceNames, plan.mChoice));
  return true;
}

// Applies a token event. Returns std::nullopt if the attempt continues.
std::optional<AttemptResult>
HandleToken(Generation& aGeneration, Attempt& aAttempt, const EngineEvent& aEvent)
{
  const TokenResult result =
    AcceptToken(aGeneration.mProgress,
                { .mAttempt = aEvent.mAttempt, .mIndex = aEvent.mIndex, .mText = aEvent.mText });
  if (result == TokenResult::kDrop) {
    return std::nullopt;
  }
  if (result == TokenResult::kGap) {
    return AttemptResult::kStalled;
  }
  if (aGeneration.mProgress.mTokens == aGeneration.mTokensBeforeAttempt + 1) {
    aGeneration.mFirstTokenAt = Now();
    ReleaseResumeTicket(aGeneration);
  }
  CountToken(aGeneration);
  if (!DeliverToken(aGeneration, aEvent)) {
    return AttemptResult::kStreamEnded;
  }
  const bool last = !aEvent.mFinishReason.empty();
  if (!last && aAttempt.mServerEndsAt.has_value() && TryLeaveEngine(aGeneration, aAttempt)) {
    return AttemptResult::kEngineLeaving;
  }
  return std::nullopt;
}

void
HandleLeavingNotice(Generation& aGeneration, Attempt& aAttempt, const EngineEvent& aEvent)
{
  aAttempt.mServerEndsAt = Now() + Milliseconds{ aEvent.mNoticeMilliseconds };
  CrashRegistryOf(aGeneration)
    .AvoidServer(aAttempt.mServer.mServer,
                 AvoidReason::kLeaving,
                 *aAttempt.mServerEndsAt + kFirstTokenTimeout);
}

AttemptResult
HandleStreamFailure(Generation& aGeneration, const Attempt& aAttempt, const absl::Status& aStatus)
{
  spdlog::info("attempt {} on {} failed after {} tokens: {}",
               aGeneration.mProgress.mAttempt.Value(),
               aAttempt.mServer.mServer.Value(),
               aGeneration.mProgress.mTokens,
               aStatus.ToString());
  aGeneration.mFailureOutcome = aAttempt.mServerEndsAt.has_value()
                                  ? OutcomeKind::kNotCounted
                                  : OutcomeOfBrokenStream(aStatus, aGeneration.mProgress.mDeadline);
  // A server that had announced its end was not crashed by the request.
  const bool crashed = absl::IsUnavailable(aStatus) && !aAttempt.mServerEndsAt.has_value();
  return crashed ? AttemptResult::kConnectionLost : AttemptResult::kStalled;
}

// Returns whether a stream whose engine sent no event in time stays there, since no other engine
// can continue it. The engine may only be silent for a while.
bool
WaitsForSilentEngine(const Generation& aGeneration,
                     const Attempt& aAttempt,
                     const absl::Status& aStatus)
{
  if (!absl::IsDeadlineExceeded(aStatus) || aGeneration.mRecord.Ended() ||
      aAttempt.mWatch.GivenUpAt().IsSet() || HasPassed(aGeneration.mProgress.mDeadline, Now())) {
    return false;
  }
  std::set<BackendServerId> excluded = CrashRegistryOf(aGeneration).AvoidedServers();
  excluded.insert(aAttempt.mServer.mServer);
  return !HasServerUp(aGeneration.mContext, *aGeneration.mDocument, excluded);
}

// Reads an engine's stream until it ends or fails or the attempt is given up.
AttemptResult
ReadEngineStream(Generation& aGeneration, Attempt& aAttempt)
{
  Milliseconds timeout = kFirstTokenTimeout;
  std::string finishReason;
  while (true) {
    const Instant waitUntil = std::min(Now() + timeout, aGeneration.mProgress.mDeadline);
    const auto event = aAttempt.mStream.Next(waitUntil);
    if (WaitsForSilentEngine(aGeneration, aAttempt, event.status())) {
      continue;
    }
    if (!event.ok()) {
      return finishReason.empty() ? HandleStreamFailure(aGeneration, aAttempt, event.status())
                                  : AttemptResult::kComplete;
    }
    if (timeout == kFirstTokenTimeout && !aGeneration.mPath.mIsRelayed) {
      CrashRegistryOf(aGeneration).RecordServerAnswer(aAttempt.mServer.mServer);
    }
    timeout = kStallTimeout;
    if (event->mKind == EngineEventKind::kEnd) {
      return finishReason.empty() ? AttemptResult::kStalled : AttemptResult::kComplete;
    }
    if (event->mKind == EngineEventKind::kLeaving) {
      HandleLeavingNotice(aGeneration, aAttempt, *event);
      continue;
    }
    finishReason = event->mFinishReason;
    if (const auto result = HandleToken(aGeneration, aAttempt, *event)) {
      return *result;
    }
  }
}

AttemptResult
RunAttempt(Generation& aGeneration, const BackendServerSpec& aServer, AnswerWatch& aWatch)
{
  StreamProgress& progress = aGeneration.mProgress;
  const InFlightGuard inFlight{ *aGeneration.mContext.mRouting, aServer.mServer };
  aGeneration.mContext.mMetrics->Add(Counter::kAttempts, 1);
  if (progress.mTokens > 0) {
    aGeneration.mContext.mMetrics->Add(Counter::kStreamsResumed, 1);
  }
  BeginAttempt(progress,
               AttemptId{ fmt::format("{}-{}{}",
                                      progress.mRequest.Value(),
                                      aGeneration.mContext.mHost.Value(),
                                      progress.mAttemptNumber + 1) });
  aGeneration.mTokensBeforeAttempt = progress.mTokens;
  auto opened =
    EngineStream::Open({ .mServer = aServer.mEndpoint,
                         .mConnector = aWatch.MakeConnector(),
                         .mAttempt = progress.mAttempt,
                         .mApi = aGeneration.mRecord.Identity().mApi,
                         .mBody = aGeneration.mRecord.Identity().mBody,
                         .mGenerated = progress.mGenerated,
                         .mFirstTokenIndex = progress.mTokens,
                         .mCache = std::exchange(aGeneration.mCache, {}),
                         .mDeadline = std::min(progress.mDeadline, Now() + kFirstTokenTimeout),
                         .mEarlierDeadlines = { &aWatch.GivenUpAt() } });
  const auto* failure = std::get_if<Failure>(&opened);
  if (failure == nullptr || failure->mVerdict != Verdict::kMayHaveRun) {
    aWatch.RecordAnswer();
  }
  if (failure != nullptr) {
    aGeneration.mFailureOutcome = OutcomeOf(*failure);
    spdlog::info("attempt {} on {} did not start: {}",
                 progress.mAttempt.Value(),
                 aServer.mServer.Value(),
                 failure->mStatus.ToString());
    if (absl::IsInvalidArgument(failure->mStatus)) {
      aGeneration.mRecord.Fail(*failure);
      return AttemptResult::kStreamEnded;
    }
    if (failure->mVerdict == Verdict::kNotRun) {
      return AttemptResult::kNotStarted;
    }
    return failure->mVerdict == Verdict::kMayHaveRun && absl::IsUnavailable(failure->mStatus)
             ? AttemptResult::kConnectionLost
             : AttemptResult::kStalled;
  }
  Attempt attempt{ .mServer = aServer,
                   .mWatch = aWatch,
                   .mStream = std::move(std::get<EngineStream>(opened)) };
  return ReadEngineStream(aGeneration, attempt);
}

std::optional<BackendServerSpec>
ServerForNextAttempt(const Generation& aGeneration, CrashDecision aDecision)
{
  std::set<BackendServerId> excluded = CrashRegistryOf(aGeneration).AvoidedServers();
  excluded.insert(aGeneration.mFailedServers.begin(), aGeneration.mFailedServers.end());
  if (aDecision == CrashDecision::kRunAlone) {
    if (auto server =
          PickServerForSuspect(*aGeneration.mDocument, excluded, aGeneration.mRequestKey)) {
      return server;
    }
  }
  const StreamIdentity& identity = aGeneration.mRecord.Identity();
  return PickServer(aGeneration.mContext,
                    *aGeneration.mDocument,
                    excluded,
                    { .mPrompt = identity.mPrompt,
                      .mExpectedTokens = identity.mMaxTokens - aGeneration.mProgress.mTokens });
}

// Records the result of an attempt for its server and its request.
void
RecordAttemptResult(Generation& aGeneration,
                    const BackendServerSpec& aServer,
                    AttemptResult aResult,
                    AnswerWatch& aWatch)
{
  CrashRegistry& registry = CrashRegistryOf(aGeneration);
  if (aResult == AttemptResult::kComplete) {
    registry.RecordRequestCompletion(aGeneration.mRequestKey);
    return;
  }
  if (aResult == AttemptResult::kStreamEnded || HasPassed(aGeneration.mProgress.mDeadline, Now())) {
    return;
  }
  aGeneration.mContext.mMetrics->Add(Counter::kAttemptsFailed, 1);
  if (aResult == AttemptResult::kNotStarted) {
    RecordAttemptNotStarted(aGeneration.mProgress);
  }
  if (aResult == AttemptResult::kConnectionLost && !aGeneration.mPath.mIsRelayed &&
      registry.RecordServerLoss({ .mServer = aServer.mServer,
                                  .mService = aGeneration.mRecord.Identity().mService,
                                  .mVersion = aServer.mVersion,
                                  .mRequest = aGeneration.mRequestKey })) {
    aWatch.RecordLoss();
  }
  if (aWatch.IsCutOff()) {
    aGeneration.mFailureOutcome = OutcomeKind::kNotCounted;
    return;
  }
  aGeneration.mFailedServers.insert(aServer.mServer);
  if (aResult != AttemptResult::kEngineLeaving) {
    const bool stalled = aResult == AttemptResult::kStalled;
    registry.AvoidServer(aServer.mServer,
                         AvoidReason::kFailed,
                         Now() + (stalled ? kStalledServerAvoidance : kFailedServerAvoidance));
  }
}

void
StartMeter(Generation& aGeneration, const BackendServerSpec& aServer)
{
  const StreamIdentity& identity = aGeneration.mRecord.Identity();
  aGeneration.mFailureOutcome = OutcomeKind::kError;
  aGeneration.mMeter.emplace(
    aGeneration.mContext,
    AttemptMeterOptions{ .mService = identity.mService,
                         .mServer = &aServer,
                         .mRoute = std::string{ NameOf(kCompletionPaths, identity.mApi) },
                         .mIdentity = identity.mAccount.Value() + identity.mBody });
}

// Reports the outcome of the attempt for the server's version, after its result was recorded.
void
ReportToMeter(Generation& aGeneration, const BackendServerSpec& aServer, AttemptResult aResult)
{
  if (aGeneration.mFailureOutcome == OutcomeKind::kLost &&
      !CrashRegistryOf(aGeneration)
         .MayBlame(aGeneration.mRecord.Identity().mService, aServer.mVersion)) {
    aGeneration.mFailureOutcome = OutcomeKind::kNotCounted;
  }
  switch (aResult) {
    case AttemptResult::kComplete:
      aGeneration.mMeter->ReportOutcome(OutcomeKind::kGood);
      break;
    case AttemptResult::kNotStarted:
    case AttemptResult::kConnectionLost:
    case AttemptResult::kStalled:
      aGeneration.mMeter->ReportOutcome(aGeneration.mFailureOutcome);
      break;
    case AttemptResult::kEngineLeaving:
    case AttemptResult::kStreamEnded:
      aGeneration.mMeter->ReportOutcome(OutcomeKind::kNotCounted);
      break;
  }
}

// Runs one attempt and records its result. Reserves the server if the request must run alone.
AttemptResult
RunRecordedAttempt(Generation& aGeneration,
                   const BackendServerSpec& aServer,
                   CrashDecision aDecision)
{
  const bool alone = aDecision == CrashDecision::kRunAlone;
  if (alone) {
    CrashRegistryOf(aGeneration).ReserveServer(aServer.mServer, aGeneration.mRequestKey);
  }
  StartMeter(aGeneration, aServer);
  const bool isFirst = aGeneration.mProgress.mAttemptNumber == 0;
  AnswerWatch watch{ *aGeneration.mContext.mConnector,
                     { .mServer = aServer, .mMayRepeat = true, .mMayTryDirect = isFirst },
                     aGeneration.mPath };
  const AttemptResult result = RunAttempt(aGeneration, aServer, watch);
  RecordAttemptResult(aGeneration, aServer, result, watch);
  ReportToMeter(aGeneration, aServer, result);
  // After a crash the reservation stays until it expires, so that the crash is not recorded for
  // the other requests that were running on the server.
  if (alone && result != AttemptResult::kConnectionLost) {
    CrashRegistryOf(aGeneration).ReleaseServer(aServer.mServer);
  }
  return result;
}

// Waits for the retry backoff and then, if the stream has tokens, until it may be resumed.
void
WaitForResume(Generation& aGeneration)
{
  const StreamProgress& progress = aGeneration.mProgress;
  const Instant resumeAt = std::min(RetryAt(progress, Now()), progress.mDeadline);
  absl::SleepFor(absl::FromChrono(Remaining(resumeAt, Now())));
  if (progress.mTokens > 0 && !aGeneration.mResumeTicket.has_value()) {
    aGeneration.mResumeTicket = aGeneration.mContext.mRequestState->mResumeLimiter.Acquire(
      progress.mDeadline, LiveStreams(aGeneration));
  }
}

// Runs attempts until the record has ended.
void
RunAttempts(Generation& aGeneration)
{
  while (!aGeneration.mRecord.Ended()) {
    const CrashDecision decision =
      CrashRegistryOf(aGeneration).CurrentDecision(aGeneration.mRequestKey);
    if (decision == CrashDecision::kRefuse) {
      Fail(
        aGeneration,
        absl::FailedPreconditionError("backend servers crashed each time they ran this request"));
      return;
    }
    const auto server = ServerForNextAttempt(aGeneration, decision);
    if (!server.has_value()) {
      Fail(aGeneration, absl::UnavailableError("the service has no backend server"));
      return;
    }
    const AttemptResult result = RunRecordedAttempt(aGeneration, *server, decision);
    if (result == AttemptResult::kComplete) {
      aGeneration.mRecord.Complete();
      return;
    }
    if (result != AttemptResult::kStreamEnded &&
        DecideRetry(aGeneration.mProgress, Now()) == RetryDecision::kGiveUp) {
      Fail(aGeneration, absl::UnavailableError("the answer could not be completed in time"));
      return;
    }
    if (result != AttemptResult::kStreamEnded) {
      WaitForResume(aGeneration);
    }
  }
}

} // namespace

SuspectKey
RequestKeyOfCompletion(const ClientAccountId& aAccount,
                       const ServiceId& aService,
                       CompletionApi aApi,
                       std::string_view aBody)
{
  return RequestKeyOf({ .mAccount = aAccount,
                        .mService = aService,
                        .mMethod = "POST",
                        .mTarget = NameOf(kCompletionPaths, aApi),
                        .mBody = aBody });
}

void
Generate(Generation& aGeneration)
{
  try {
    const StreamIdentity& identity = aGeneration.mRecord.Identity();
    aGeneration.mRequestKey =
      RequestKeyOfCompletion(identity.mAccount, identity.mService, identity.mApi, identity.mBody);
    if (aGeneration.mProgress.mTokens > 0) {
      WaitForResume(aGeneration);
    }
    aGeneration.mStartedAt = aGeneration.mLastTokenAt = Now();
    RunAttempts(aGeneration);
  } catch (const std::exception& error) {
    spdlog::error("the stream {} failed: {}", aGeneration.mProgress.mRequest.Value(), error.what());
    Fail(aGeneration, absl::InternalError("the host failed while it generated the answer"));
  }
  ReleaseResumeTicket(aGeneration);
}

} // namespace trefoil
