#include "trefoil/node/internal/generation.h"

#include "trefoil/base/digest.h"
#include "trefoil/node/internal/pick_server.h"
#include "trefoil/node/internal/request_life.h"
#include "trefoil/request/reclaim.h"

#include "absl/time/clock.h"
#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace trefoil {
namespace {

// An engine that sends nothing for so long is taken for lost.
constexpr Milliseconds kStallLimit{ 2000 };
// An engine that has not sent the first token for so long is taken for lost.
constexpr Milliseconds kFirstTokenLimit{ 10'000 };
// How long a server that failed gets no new work of this host.
constexpr Milliseconds kAvoidFailed{ 1000 };
// The same for a server that sends nothing: each request that is tried on it waits for long.
constexpr Milliseconds kAvoidStalled{ 10'000 };
// How fast engines export a KV cache.
constexpr double kTransferTokensPerSecond = 50'000;

enum class AttemptResult
{
  kComplete,
  // The engine did nothing.
  kNotStarted,
  // The connection broke: the engine may have died of the request.
  kBroken,
  // The engine sends nothing, or nonsense.
  kStalled,
  // The engine leaves: the next one goes on.
  kMoved,
  // The stream has ended on this host: handed over, or nobody follows it.
  kEnded,
};

// An attempt while it runs.
struct Attempt
{
  const BackendServerSpec& mServer;
  EngineStream mStream;
  // When the engine ends; nothing while it stays.
  std::optional<Instant> mServerEndsAt;
};

CrashBoard&
Board(const Generation& aGeneration)
{
  return aGeneration.mContext.mLife->mCrashes;
}

std::int64_t
LiveStreams(const Generation& aGeneration)
{
  return aGeneration.mContext.mActive->load();
}

void
ReleaseTicket(Generation& aGeneration)
{
  if (aGeneration.mResumeTicket.has_value()) {
    aGeneration.mContext.mLife->mResumes.Leave(*aGeneration.mResumeTicket,
                                               LiveStreams(aGeneration));
    aGeneration.mResumeTicket.reset();
  }
}

void
Fail(Generation& aGeneration, absl::Status aStatus)
{
  const bool ran = aGeneration.mProgress.mAttempts > 0 || aGeneration.mProgress.mTokens > 0;
  aGeneration.mRecord.Fail(
    { .mVerdict = ran ? Verdict::kMayHaveRun : Verdict::kNotRun, .mStatus = std::move(aStatus) });
}

void
CountToken(Generation& aGeneration)
{
  const Instant now = Now();
  Metrics& metrics = *aGeneration.mContext.mMetrics;
  metrics.Add(Counter::kTokens, 1);
  aGeneration.mMeter->Token();
  if (aGeneration.mProgress.mTokens == 1) {
    metrics.Observe(Latency::kFirstToken, now - aGeneration.mStartedAt);
  } else {
    metrics.Observe(Latency::kTokenGap, now - aGeneration.mLastTokenAt);
  }
  aGeneration.mLastTokenAt = now;
}

// Passes a token on. Returns false if the stream has ended on this host.
bool
Deliver(Generation& aGeneration, const EngineEvent& aEvent)
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
    aGeneration.mRecord.Want(now);
  }
  if (HasPassed(aGeneration.mRecord.WantedUntil(), now)) {
    Fail(aGeneration, absl::CancelledError("no caller followed the stream"));
    return false;
  }
  return true;
}

// Returns what is best for the stream on an engine that leaves.
ReclaimPlan
PlanNow(const Generation& aGeneration, const Attempt& aAttempt, Instant aNow)
{
  const StreamProgress& progress = aGeneration.mProgress;
  const StreamIdentity& identity = aGeneration.mRecord.Identity();
  const auto own = static_cast<double>(progress.mTokens - aGeneration.mTokensBefore - 1);
  const double seconds = std::chrono::duration<double>(aNow - aGeneration.mFirstTokenAt).count();
  return PlanReclaim({ .mPromptTokens = identity.mPromptTokens,
                       .mTokensSoFar = progress.mTokens,
                       .mMaxTokens = identity.mMaxTokens,
                       .mTokensPerSecond = own > 0 && seconds > 0 ? own / seconds : 0,
                       .mTransferTokensPerSecond =
                         aGeneration.mContext.mTransfersCaches ? kTransferTokensPerSecond : 0,
                       .mEndsAt = *aAttempt.mServerEndsAt },
                     aNow);
}

// Decides whether the stream stays on an engine that leaves; fetches its cache if it does not.
// Returns whether the attempt ends here.
bool
LeaveEngine(Generation& aGeneration, const Attempt& aAttempt)
{
  const Instant now = Now();
  const ReclaimPlan plan = PlanNow(aGeneration, aAttempt, now);
  if (plan.mChoice == ReclaimChoice::kFinish) {
    return false;
  }
  if (plan.mChoice == ReclaimChoice::kTransfer) {
    const auto cache = ExportCache(
      aAttempt.mServer.mEndpoint, aGeneration.mProgress.mAttempt, *aAttempt.mServerEndsAt);
    aGeneration.mCache = cache.ok() ? cache->mCache : "";
  }
  spdlog::info("attempt {} leaves {} after {} tokens: {}",
               aGeneration.mProgress.mAttempt.Value(),
               aAttempt.mServer.mServer.Value(),
               aGeneration.mProgress.mTokens,
               NameOf(kReclaimChoiceNames, plan.mChoice));
  return true;
}

// Takes in a token. Returns nothing if the attempt goes on.
std::optional<AttemptResult>
OnToken(Generation& aGeneration, Attempt& aAttempt, const EngineEvent& aEvent)
{
  const TokenResult fate =
    AcceptToken(aGeneration.mProgress,
                { .mAttempt = aEvent.mAttempt, .mIndex = aEvent.mIndex, .mText = aEvent.mText });
  if (fate == TokenResult::kDrop) {
    return std::nullopt;
  }
  if (fate == TokenResult::kGap) {
    return AttemptResult::kStalled;
  }
  if (aGeneration.mProgress.mTokens == aGeneration.mTokensBefore + 1) {
    aGeneration.mFirstTokenAt = Now();
    ReleaseTicket(aGeneration);
  }
  CountToken(aGeneration);
  if (!Deliver(aGeneration, aEvent)) {
    return AttemptResult::kEnded;
  }
  const bool last = !aEvent.mFinishReason.empty();
  if (!last && aAttempt.mServerEndsAt.has_value() && LeaveEngine(aGeneration, aAttempt)) {
    return AttemptResult::kMoved;
  }
  return std::nullopt;
}

void
OnLeaving(Generation& aGeneration, Attempt& aAttempt, const EngineEvent& aEvent)
{
  aAttempt.mServerEndsAt = Now() + Milliseconds{ aEvent.mNoticeMilliseconds };
  Board(aGeneration)
    .Avoid(
      aAttempt.mServer.mServer, AvoidReason::kLeaving, *aAttempt.mServerEndsAt + kFirstTokenLimit);
}

AttemptResult
OnBreak(Generation& aGeneration, const Attempt& aAttempt, const absl::Status& aStatus)
{
  spdlog::info("attempt {} on {} failed after {} tokens: {}",
               aGeneration.mProgress.mAttempt.Value(),
               aAttempt.mServer.mServer.Value(),
               aGeneration.mProgress.mTokens,
               aStatus.ToString());
  aGeneration.mOutcome = aAttempt.mServerEndsAt.has_value()
                           ? OutcomeKind::kNotCounted
                           : OutcomeOfBreak(aStatus, aGeneration.mProgress.mDeadline);
  // A server that announced its end did not die of the request.
  const bool died = absl::IsUnavailable(aStatus) && !aAttempt.mServerEndsAt.has_value();
  return died ? AttemptResult::kBroken : AttemptResult::kStalled;
}

// Reads an engine's stream to its end or its failure.
AttemptResult
Follow(Generation& aGeneration, Attempt& aAttempt)
{
  Milliseconds limit = kFirstTokenLimit;
  std::string finishReason;
  while (true) {
    const Instant until = std::min(Now() + limit, aGeneration.mProgress.mDeadline);
    const auto event = aAttempt.mStream.Next(until);
    if (!event.ok()) {
      return finishReason.empty() ? OnBreak(aGeneration, aAttempt, event.status())
                                  : AttemptResult::kComplete;
    }
    limit = kStallLimit;
    if (event->mKind == EngineEventKind::kEnd) {
      return finishReason.empty() ? AttemptResult::kStalled : AttemptResult::kComplete;
    }
    if (event->mKind == EngineEventKind::kLeaving) {
      OnLeaving(aGeneration, aAttempt, *event);
      continue;
    }
    finishReason = event->mFinishReason;
    if (const auto result = OnToken(aGeneration, aAttempt, *event)) {
      return *result;
    }
  }
}

AttemptResult
RunAttempt(Generation& aGeneration, const BackendServerSpec& aServer)
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
  aGeneration.mTokensBefore = progress.mTokens;
  auto opened =
    EngineStream::Open({ .mServer = aServer.mEndpoint,
                         .mAttempt = progress.mAttempt,
                         .mForm = aGeneration.mRecord.Identity().mForm,
                         .mBody = aGeneration.mRecord.Identity().mBody,
                         .mGenerated = progress.mGenerated,
                         .mFirstIndex = progress.mTokens,
                         .mCache = std::exchange(aGeneration.mCache, {}),
                         .mDeadline = std::min(progress.mDeadline, Now() + kFirstTokenLimit) });
  if (const auto* failure = std::get_if<Failure>(&opened)) {
    aGeneration.mOutcome = OutcomeOf(*failure);
    spdlog::info("attempt {} on {} did not start: {}",
                 progress.mAttempt.Value(),
                 aServer.mServer.Value(),
                 failure->mStatus.ToString());
    if (absl::IsInvalidArgument(failure->mStatus)) {
      aGeneration.mRecord.Fail(*failure);
      return AttemptResult::kEnded;
    }
    if (failure->mVerdict == Verdict::kNotRun) {
      return AttemptResult::kNotStarted;
    }
    return failure->mVerdict == Verdict::kMayHaveRun && absl::IsUnavailable(failure->mStatus)
             ? AttemptResult::kBroken
             : AttemptResult::kStalled;
  }
  Attempt attempt{ .mServer = aServer, .mStream = std::move(std::get<EngineStream>(opened)) };
  return Follow(aGeneration, attempt);
}

// Returns the one server that suspects with this digest run on, the same on every host.
std::optional<BackendServerSpec>
ServerForSuspect(const Generation& aGeneration)
{
  const std::set<BackendServerId> avoided = Board(aGeneration).Avoided();
  const BackendServerSpec* best = nullptr;
  std::uint64_t bestScore = 0;
  for (const BackendServerSpec& server : aGeneration.mDocument->mServers) {
    const std::uint64_t score =
      RendezvousScore(server.mServer.Value(), aGeneration.mDigest.Value());
    const bool usable =
      !aGeneration.mFailed.contains(server.mServer) && !avoided.contains(server.mServer);
    if (usable && (best == nullptr || score > bestScore)) {
      best = &server;
      bestScore = score;
    }
  }
  return best == nullptr ? std::nullopt : std::optional{ *best };
}

std::optional<BackendServerSpec>
ServerForNext(const Generation& aGeneration, CrashDecision aJudgement)
{
  if (aJudgement == CrashDecision::kRunAlone) {
    if (auto server = ServerForSuspect(aGeneration)) {
      return server;
    }
  }
  std::set<BackendServerId> excluded = Board(aGeneration).Avoided();
  excluded.insert(aGeneration.mFailed.begin(), aGeneration.mFailed.end());
  const StreamIdentity& identity = aGeneration.mRecord.Identity();
  return PickServer(aGeneration.mContext,
                    *aGeneration.mDocument,
                    excluded,
                    { .mPrompt = identity.mPrompt,
                      .mExpectedTokens = identity.mMaxTokens - aGeneration.mProgress.mTokens });
}

// Notes what an attempt says of its server and its request.
void
Learn(Generation& aGeneration, const BackendServerSpec& aServer, AttemptResult aResult)
{
  CrashBoard& board = Board(aGeneration);
  if (aResult == AttemptResult::kComplete) {
    board.Completed(aGeneration.mDigest);
    return;
  }
  if (aResult == AttemptResult::kEnded || HasPassed(aGeneration.mProgress.mDeadline, Now())) {
    return;
  }
  aGeneration.mContext.mMetrics->Add(Counter::kAttemptsFailed, 1);
  aGeneration.mFailed.insert(aServer.mServer);
  if (aResult == AttemptResult::kNotStarted) {
    RecordAttemptNotStarted(aGeneration.mProgress);
  }
  if (aResult == AttemptResult::kBroken) {
    board.Crashed(aGeneration.mDigest, aServer.mServer);
  }
  if (aResult != AttemptResult::kMoved) {
    const bool stalled = aResult == AttemptResult::kStalled;
    board.Avoid(
      aServer.mServer, AvoidReason::kFailed, Now() + (stalled ? kAvoidStalled : kAvoidFailed));
  }
}

void
BeginMeter(Generation& aGeneration, const BackendServerSpec& aServer)
{
  const StreamIdentity& identity = aGeneration.mRecord.Identity();
  aGeneration.mOutcome = OutcomeKind::kError;
  aGeneration.mMeter.emplace(
    aGeneration.mContext,
    AttemptMeterOptions{ .mService = identity.mService,
                         .mServer = &aServer,
                         .mRoute = std::string{ NameOf(kCompletionPaths, identity.mForm) },
                         .mIdentity = identity.mAccount.Value() + identity.mBody });
}

// Reports what the attempt says of the server's version.
void
EndMeter(Generation& aGeneration, AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::kComplete:
      aGeneration.mMeter->End(OutcomeKind::kGood);
      break;
    case AttemptResult::kNotStarted:
    case AttemptResult::kBroken:
    case AttemptResult::kStalled:
      aGeneration.mMeter->End(aGeneration.mOutcome);
      break;
    case AttemptResult::kMoved:
    case AttemptResult::kEnded:
      aGeneration.mMeter->End(OutcomeKind::kNotCounted);
      break;
  }
}

// Runs one attempt, alone if the request is a suspect.
AttemptResult
RunAndLearn(Generation& aGeneration, const BackendServerSpec& aServer, CrashDecision aJudgement)
{
  const bool alone = aJudgement == CrashDecision::kRunAlone;
  if (alone) {
    Board(aGeneration).Reserve(aServer.mServer, aGeneration.mDigest);
  }
  BeginMeter(aGeneration, aServer);
  const AttemptResult result = RunAttempt(aGeneration, aServer);
  EndMeter(aGeneration, result);
  Learn(aGeneration, aServer, result);
  // After a crash the reservation stays for a while, so that requests which were on the server are
  // not blamed.
  if (alone && result != AttemptResult::kBroken) {
    Board(aGeneration).Release(aServer.mServer);
  }
  return result;
}

// Waits for this stream's turn to be resumed, after its pause.
void
AwaitTurn(Generation& aGeneration)
{
  const StreamProgress& progress = aGeneration.mProgress;
  const Instant resumeAt = std::min(RetryAt(progress, Now()), progress.mDeadline);
  absl::SleepFor(absl::FromChrono(Remaining(resumeAt, Now())));
  if (progress.mTokens > 0 && !aGeneration.mResumeTicket.has_value()) {
    aGeneration.mResumeTicket =
      aGeneration.mContext.mLife->mResumes.Enter(progress.mDeadline, LiveStreams(aGeneration));
  }
}

// Runs attempts until the record has ended.
void
RunAttempts(Generation& aGeneration)
{
  while (!aGeneration.mRecord.Ended()) {
    const CrashDecision judgement = Board(aGeneration).JudgeNow(aGeneration.mDigest);
    if (judgement == CrashDecision::kRefuse) {
      Fail(
        aGeneration,
        absl::FailedPreconditionError("backend servers crashed each time they ran this request"));
      return;
    }
    const auto server = ServerForNext(aGeneration, judgement);
    if (!server.has_value()) {
      Fail(aGeneration, absl::UnavailableError("the service has no backend server"));
      return;
    }
    const AttemptResult result = RunAndLearn(aGeneration, *server, judgement);
    if (result == AttemptResult::kComplete) {
      aGeneration.mRecord.Complete();
      return;
    }
    if (result != AttemptResult::kEnded &&
        DecideRetry(aGeneration.mProgress, Now()) == RetryDecision::kGiveUp) {
      Fail(aGeneration, absl::UnavailableError("the answer could not be completed in time"));
      return;
    }
    if (result != AttemptResult::kEnded) {
      AwaitTurn(aGeneration);
    }
  }
}

} // namespace

void
Generate(Generation& aGeneration)
{
  const StreamIdentity& identity = aGeneration.mRecord.Identity();
  aGeneration.mDigest = RequestDigestOf(identity.mAccount, identity.mService, identity.mBody);
  if (aGeneration.mProgress.mTokens > 0) {
    AwaitTurn(aGeneration);
  }
  aGeneration.mStartedAt = aGeneration.mLastTokenAt = Now();
  RunAttempts(aGeneration);
  ReleaseTicket(aGeneration);
}

} // namespace trefoil
