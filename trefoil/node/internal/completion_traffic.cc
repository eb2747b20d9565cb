#include "trefoil/node/internal/completion_traffic.h"

#include "trefoil/base/digest.h"
#include "trefoil/frontend/answer.h"
#include "trefoil/frontend/completion.h"
#include "trefoil/node/internal/admission_request.h"
#include "trefoil/node/internal/attempt_meter.h"
#include "trefoil/node/internal/caller.h"
#include "trefoil/node/internal/pick_server.h"
#include "trefoil/request/stream_progress.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <set>
#include <spdlog/spdlog.h>

namespace trefoil {
namespace {

// An engine that sends nothing for so long is taken for lost.
constexpr Milliseconds kStallLimit{ 2000 };
// An engine that has not sent the first token for so long is taken for lost.
constexpr Milliseconds kFirstTokenLimit{ 10'000 };

// One completion while it is being served.
struct Serving
{
  const TrafficContext& mContext;
  HttpExchange& mExchange;
  const CompletionRequest& mRequest;
  const Caller& mCaller;
  StreamProgress mProgress;
  // Servers that failed this request.
  std::set<BackendServerId> mFailed;
  std::string mFinishReason;
  Instant mStartedAt;
  // When the newest token was passed on.
  Instant mLastTokenAt;
  // Measures the present attempt.
  std::optional<AttemptMeter> mMeter;
  OutcomeKind mOutcome = OutcomeKind::kError;
};

enum class AttemptResult
{
  kComplete,
  kFailed,
  kCallerGone,
};

bool
Forward(Serving& aServing, const EngineEvent& aEvent)
{
  if (!aServing.mRequest.mStream) {
    return true;
  }
  return aServing.mExchange.Write(RenderTokenEvent(
    aServing.mRequest,
    aServing.mProgress.mRequest,
    { .mIndex = aEvent.mIndex, .mText = aEvent.mText, .mFinishReason = aEvent.mFinishReason }));
}

void
CountToken(Serving& aServing)
{
  const Instant now = Now();
  Metrics& metrics = *aServing.mContext.mMetrics;
  metrics.Add(Counter::kTokens, 1);
  aServing.mMeter->Token();
  if (aServing.mProgress.mTokens == 1) {
    metrics.Observe(Summary::kFirstToken, now - aServing.mStartedAt);
  } else {
    metrics.Observe(Summary::kTokenGap, now - aServing.mLastTokenAt);
  }
  aServing.mLastTokenAt = now;
}

// Reads an engine's stream to its end or its failure.
AttemptResult
Follow(Serving& aServing, EngineStream& aStream)
{
  StreamProgress& progress = aServing.mProgress;
  Milliseconds limit = kFirstTokenLimit;
  while (true) {
    const auto event = aStream.Next(std::min(Now() + limit, progress.mDeadline));
    if (!event.ok()) {
      aServing.mOutcome = OutcomeOfBreak(event.status(), progress.mDeadline);
      spdlog::info("attempt {} failed after {} tokens: {}",
                   progress.mAttempt.Value(),
                   progress.mTokens,
                   event.status().ToString());
      return AttemptResult::kFailed;
    }
    if (event->mKind == EngineEventKind::kEnd) {
      return aServing.mFinishReason.empty() ? AttemptResult::kFailed : AttemptResult::kComplete;
    }
    limit = kStallLimit;
    const TokenFate fate = Accept(
      progress, { .mAttempt = event->mAttempt, .mIndex = event->mIndex, .mText = event->mText });
    if (fate == TokenFate::kGap) {
      return AttemptResult::kFailed;
    }
    if (fate == TokenFate::kDrop) {
      continue;
    }
    aServing.mFinishReason = event->mFinishReason;
    CountToken(aServing);
    if (!Forward(aServing, *event)) {
      return AttemptResult::kCallerGone;
    }
  }
}

AttemptResult
RunAttempt(Serving& aServing, const BackendServerSpec& aServer)
{
  StreamProgress& progress = aServing.mProgress;
  const InFlightGuard inFlight{ *aServing.mContext.mRouting, aServer.mServer };
  aServing.mContext.mMetrics->Add(Counter::kAttempts, 1);
  if (progress.mTokens > 0) {
    aServing.mContext.mMetrics->Add(Counter::kStreamsResumed, 1);
  }
  BeginAttempt(
    progress, AttemptId{ fmt::format("{}-{}", progress.mRequest.Value(), progress.mAttempts + 1) });
  auto opened =
    EngineStream::Open({ .mServer = aServer.mEndpoint,
                         .mAttempt = progress.mAttempt,
                         .mForm = aServing.mRequest.mForm,
                         .mBody = aServing.mRequest.mBody,
                         .mGenerated = progress.mGenerated,
                         .mFirstIndex = progress.mTokens,
                         .mDeadline = std::min(progress.mDeadline, Now() + kFirstTokenLimit) });
  if (const auto* failure = std::get_if<Failure>(&opened)) {
    aServing.mOutcome = OutcomeOf(*failure);
    spdlog::info("attempt {} on {} did not start: {}",
                 progress.mAttempt.Value(),
                 aServer.mServer.Value(),
                 failure->mStatus.ToString());
    return AttemptResult::kFailed;
  }
  return Follow(aServing, std::get<EngineStream>(opened));
}

void
BeginMeter(Serving& aServing, const BackendServerSpec& aServer)
{
  aServing.mOutcome = OutcomeKind::kError;
  aServing.mMeter.emplace(
    aServing.mContext,
    AttemptMeterOptions{ .mService = aServing.mRequest.mService,
                         .mServer = &aServer,
                         .mRoute = std::string{ NameOf(kCompletionPaths, aServing.mRequest.mForm) },
                         .mIdentity =
                           aServing.mCaller.mAccount.Value() + aServing.mRequest.mBody });
}

void
EndMeter(Serving& aServing, AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::kComplete:
      aServing.mMeter->End(OutcomeKind::kGood);
      break;
    case AttemptResult::kFailed:
      aServing.mMeter->End(aServing.mOutcome);
      break;
    case AttemptResult::kCallerGone:
      aServing.mMeter->End(OutcomeKind::kNotCounted);
      break;
  }
}

// Runs attempts until the answer is complete. Returns why it cannot be completed.
std::optional<Failure>
RunAttempts(Serving& aServing)
{
  while (true) {
    const auto server = PickServer(aServing.mContext,
                                   *aServing.mCaller.mDocument,
                                   aServing.mFailed,
                                   { .mPrompt = aServing.mRequest.mPrompt });
    if (!server.has_value()) {
      return Failure{ .mVerdict =
                        aServing.mProgress.mAttempts == 0 ? Verdict::kNotRun : Verdict::kMayHaveRun,
                      .mStatus = absl::UnavailableError("the service has no backend server") };
    }
    BeginMeter(aServing, *server);
    const AttemptResult result = RunAttempt(aServing, *server);
    EndMeter(aServing, result);
    if (result != AttemptResult::kFailed) {
      return std::nullopt;
    }
    aServing.mContext.mMetrics->Add(Counter::kAttemptsFailed, 1);
    aServing.mFailed.insert(server->mServer);
    if (AfterFailure(aServing.mProgress, Now()) == NextStep::kGiveUp) {
      return Failure{ .mVerdict = Verdict::kMayHaveRun,
                      .mStatus =
                        absl::UnavailableError("the answer could not be completed in time") };
    }
  }
}

void
BeginEventStream(HttpExchange& aExchange, const RequestId& aId)
{
  HttpAnswer head;
  SetHeader(head.mHeaders, "Content-Type", "text/event-stream");
  SetHeader(head.mHeaders, "Cache-Control", "no-store");
  SetHeader(head.mHeaders, kRequestIdHeader, aId.Value());
  aExchange.BeginStream(head);
}

void
Finish(Serving& aServing, const std::optional<Failure>& aFailure)
{
  const StreamProgress& progress = aServing.mProgress;
  HttpExchange& exchange = aServing.mExchange;
  if (aServing.mRequest.mStream) {
    exchange.Write(aFailure.has_value() ? RenderErrorEvent(progress.mRequest, *aFailure)
                                        : RenderEndEvent());
    return;
  }
  if (aFailure.has_value()) {
    exchange.Answer(RenderFailure(progress.mRequest, *aFailure));
    return;
  }
  exchange.Answer(RenderWholeAnswer(aServing.mRequest,
                                    progress.mRequest,
                                    progress.mGenerated,
                                    aServing.mFinishReason,
                                    progress.mTokens));
}

} // namespace

void
ServeCompletion(const TrafficContext& aContext, HttpExchange& aExchange, CompletionForm aForm)
{
  const RequestId id = NewRequestId();
  const auto refuse = [&aExchange, &id](const absl::Status& aStatus) {
    aExchange.Answer(RenderFailure(id, { .mVerdict = Verdict::kNotRun, .mStatus = aStatus }));
  };
  const auto request = ParseCompletion(aForm, aExchange.Request().mBody);
  if (!request.ok()) {
    refuse(request.status());
    return;
  }
  const auto caller =
    Identify(*aContext.mSnapshots->Read(), request->mService, aExchange.Request(), Now());
  if (!caller.ok()) {
    refuse(caller.status());
    return;
  }
  if (caller->mDocument->mKind != ServiceKind::kModel) {
    refuse(absl::InvalidArgumentError("the service is no model service"));
    return;
  }
  const auto pass = Admit(aContext, *caller, aExchange.Request(), ExpectedWork(*request));
  if (!pass.ok()) {
    refuse(pass.status());
    return;
  }
  Serving serving{ .mContext = aContext,
                   .mExchange = aExchange,
                   .mRequest = *request,
                   .mCaller = *caller,
                   .mProgress = { .mRequest = id, .mDeadline = caller->mDeadline },
                   .mStartedAt = Now() };
  if (request->mStream) {
    BeginEventStream(aExchange, id);
  }
  Finish(serving, RunAttempts(serving));
}

} // namespace trefoil
