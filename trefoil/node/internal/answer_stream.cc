#include "trefoil/node/internal/answer_stream.h"

#include "trefoil/frontend/verdict_response.h"

#include <string>

namespace trefoil {
namespace {

constexpr int kHttpSeeOther = 303;

std::string
RequestPath(const RequestId& aId)
{
  return std::string{ kRequestsPath } + aId.Value();
}

Usage
UsageOf(const AnswerStream& aAnswer, const StreamUpdate& aUpdate)
{
  return { .mPromptTokens = aAnswer.mPromptTokens,
           .mCompletionTokens = aUpdate.mFrom + static_cast<std::int64_t>(aUpdate.mTokens.size()) };
}

void
FinishEventStream(const AnswerStream& aAnswer, const StreamUpdate& aUpdate)
{
  const Usage usage = UsageOf(aAnswer, aUpdate);
  if (aUpdate.mState == StreamState::kHandedOver) {
    aAnswer.mExchange.Write(
      RenderMovedEvent(aAnswer.mId, RequestPath(aAnswer.mId), usage.mCompletionTokens - 1));
    return;
  }
  if (aUpdate.mState != StreamState::kComplete) {
    aAnswer.mExchange.Write(RenderErrorEvent(aAnswer.mId, aUpdate.mFailure));
    return;
  }
  if (aAnswer.mRequest.mIncludeUsage) {
    aAnswer.mExchange.Write(RenderUsageEvent(aAnswer.mRequest, aAnswer.mId, usage));
  }
  aAnswer.mExchange.Write(RenderEndEvent());
}

// Redirects the caller to the path from which the response can be read after the hand-over.
void
RedirectToRequestPath(const AnswerStream& aAnswer)
{
  HttpResponse answer{ .mStatus = kHttpSeeOther };
  SetHeader(answer.mHeaders, "Location", RequestPath(aAnswer.mId));
  AddVerdictHeaders(answer, aAnswer.mId, Verdict::kMayHaveRun);
  aAnswer.mExchange.Respond(answer);
}

} // namespace

void
BeginEventStream(const AnswerStream& aAnswer)
{
  HttpResponse head;
  SetHeader(head.mHeaders, "Content-Type", "text/event-stream");
  SetHeader(head.mHeaders, "Cache-Control", "no-store");
  SetHeader(head.mHeaders, kRequestIdHeader, aAnswer.mId.Value());
  aAnswer.mExchange.BeginStream(head);
}

bool
WriteToken(const AnswerStream& aAnswer, const TokenEvent& aToken)
{
  return aAnswer.mExchange.Write(RenderTokenEvent(aAnswer.mRequest, aAnswer.mId, aToken));
}

void
FinishAnswer(const AnswerStream& aAnswer, const StreamUpdate& aUpdate)
{
  if (aAnswer.mRequest.mStream) {
    FinishEventStream(aAnswer, aUpdate);
    return;
  }
  if (aUpdate.mState == StreamState::kHandedOver) {
    RedirectToRequestPath(aAnswer);
    return;
  }
  if (aUpdate.mState != StreamState::kComplete) {
    aAnswer.mExchange.Respond(RenderFailure(aAnswer.mId, aUpdate.mFailure));
    return;
  }
  std::string text;
  for (const std::string& token : aUpdate.mTokens) {
    text += token;
  }
  aAnswer.mExchange.Respond(RenderCompletionResponse(
    aAnswer.mRequest, aAnswer.mId, text, aUpdate.mFinishReason, UsageOf(aAnswer, aUpdate)));
}

} // namespace trefoil
