#include "trefoil/node/internal/answer_stream.h"

#include "trefoil/frontend/answer.h"

#include <string>

namespace trefoil {
namespace {

constexpr int kHttpSeeOther = 303;

std::string
PathTo(const RequestId& aId)
{
  return std::string{ kRequestsPath } + aId.Value();
}

Usage
UsageOf(const AnswerStream& aAnswer, const StreamNews& aNews)
{
  return { .mPromptTokens = aAnswer.mPromptTokens,
           .mCompletionTokens = aNews.mFrom + static_cast<std::int64_t>(aNews.mTokens.size()) };
}

void
FinishStreamed(const AnswerStream& aAnswer, const StreamNews& aNews)
{
  const Usage usage = UsageOf(aAnswer, aNews);
  if (aNews.mState == StreamState::kHandedOver) {
    aAnswer.mExchange.Write(
      RenderMovedEvent(aAnswer.mId, PathTo(aAnswer.mId), usage.mCompletionTokens - 1));
    return;
  }
  if (aNews.mState != StreamState::kComplete) {
    aAnswer.mExchange.Write(RenderErrorEvent(aAnswer.mId, aNews.mFailure));
    return;
  }
  if (aAnswer.mRequest.mIncludeUsage) {
    aAnswer.mExchange.Write(RenderUsageEvent(aAnswer.mRequest, aAnswer.mId, usage));
  }
  aAnswer.mExchange.Write(RenderEndEvent());
}

// Sends the caller to where the answer will be.
void
Redirect(const AnswerStream& aAnswer)
{
  HttpAnswer answer{ .mStatus = kHttpSeeOther };
  SetHeader(answer.mHeaders, "Location", PathTo(aAnswer.mId));
  AddVerdict(answer, aAnswer.mId, Verdict::kMayHaveRun);
  aAnswer.mExchange.Answer(answer);
}

} // namespace

void
BeginEventStream(const AnswerStream& aAnswer)
{
  HttpAnswer head;
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
FinishAnswer(const AnswerStream& aAnswer, const StreamNews& aNews)
{
  if (aAnswer.mRequest.mStream) {
    FinishStreamed(aAnswer, aNews);
    return;
  }
  if (aNews.mState == StreamState::kHandedOver) {
    Redirect(aAnswer);
    return;
  }
  if (aNews.mState != StreamState::kComplete) {
    aAnswer.mExchange.Answer(RenderFailure(aAnswer.mId, aNews.mFailure));
    return;
  }
  std::string text;
  for (const std::string& token : aNews.mTokens) {
    text += token;
  }
  aAnswer.mExchange.Answer(RenderWholeAnswer(
    aAnswer.mRequest, aAnswer.mId, text, aNews.mFinishReason, UsageOf(aAnswer, aNews)));
}

} // namespace trefoil
