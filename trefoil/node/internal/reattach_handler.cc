#include "trefoil/node/internal/reattach_handler.h"

#include "trefoil/frontend/verdict_response.h"
#include "trefoil/node/internal/answer_stream.h"
#include "trefoil/node/internal/caller.h"
#include "trefoil/node/internal/stream_source.h"
#include "trefoil/request/reclaim.h"

#include "absl/strings/numbers.h"

namespace trefoil {
namespace {

// Maximum time that one read of a stream waits for tokens.
constexpr Milliseconds kReadWait{ 2000 };
constexpr int kHttpMethodNotAllowed = 405;

void
Refuse(HttpExchange& aExchange, const RequestId& aId, const absl::Status& aStatus)
{
  // This host cannot tell whether the request ran. RenderFailure still sets the HTTP status for a
  // request that was not run; the body and the verdict header are replaced.
  HttpResponse answer = RenderFailure(aId, { .mVerdict = Verdict::kNotRun, .mStatus = aStatus });
  answer.mBody =
    RenderFailureBody(aId, { .mVerdict = Verdict::kMayHaveRun, .mStatus = aStatus }) + "\n";
  AddVerdictHeaders(answer, aId, Verdict::kMayHaveRun);
  aExchange.Respond(answer);
}

// Returns the index of the first token that the caller has not received.
absl::StatusOr<std::int64_t>
FirstIndexToSend(const HttpRequest& aRequest)
{
  const std::string_view text = HeaderValue(aRequest.mHeaders, "Last-Event-ID");
  if (text.empty()) {
    return 0;
  }
  std::int64_t lastIndex = 0;
  if (!absl::SimpleAtoi(absl::string_view{ text.data(), text.size() }, &lastIndex) ||
      lastIndex < -1) {
    return absl::InvalidArgumentError("Last-Event-ID must be the number of an event");
  }
  return lastIndex + 1;
}

absl::Status
CheckOwner(const TrafficContext& aContext, const HttpRequest& aRequest, const SourceUpdate& aUpdate)
{
  const auto caller =
    AuthenticateCaller(*aContext.mSnapshots->Read(), aUpdate.mService, aRequest, Now());
  if (!caller.ok()) {
    return caller.status();
  }
  return caller->mAccount == aUpdate.mAccount
           ? absl::OkStatus()
           : absl::NotFoundError("no entry host that answers knows this request");
}

// Writes tokens until the stream has ended or the caller has disconnected.
void
WriteEventStream(StreamSource& aSource,
                 const AnswerStream& aAnswer,
                 absl::StatusOr<SourceUpdate> aUpdate)
{
  BeginEventStream(aAnswer);
  while (aUpdate.ok()) {
    const StreamUpdate& update = aUpdate->mUpdate;
    const bool ended =
      update.mState == StreamState::kComplete || update.mState == StreamState::kFailed;
    std::int64_t nextIndex = update.mFrom;
    for (const std::string& token : update.mTokens) {
      const bool isLastToken = &token == &update.mTokens.back() && !update.mFinishReason.empty();
      const TokenEvent event{ .mIndex = nextIndex++,
                              .mText = token,
                              .mFinishReason = isLastToken
                                                 ? std::string_view{ update.mFinishReason }
                                                 : std::string_view{} };
      if (!WriteToken(aAnswer, event)) {
        return;
      }
    }
    if (ended) {
      FinishAnswer(aAnswer, update);
      return;
    }
    aUpdate = ReadUpdate(aSource, nextIndex, Now() + kReadWait);
  }
  aAnswer.mExchange.Write(RenderErrorEvent(
    aAnswer.mId, { .mVerdict = Verdict::kMayHaveRun, .mStatus = aUpdate.status() }));
}

// Waits until the stream has ended and writes the whole response.
void
WriteWholeAnswer(StreamSource& aSource,
                 const AnswerStream& aAnswer,
                 absl::StatusOr<SourceUpdate> aUpdate)
{
  while (aUpdate.ok()) {
    const StreamState state = aUpdate->mUpdate.mState;
    const auto nextIndex =
      aUpdate->mUpdate.mFrom + static_cast<std::int64_t>(aUpdate->mUpdate.mTokens.size());
    if (state == StreamState::kComplete || state == StreamState::kFailed) {
      aUpdate = ReadUpdate(aSource, 0, Now());
      if (aUpdate.ok()) {
        FinishAnswer(aAnswer, aUpdate->mUpdate);
        return;
      }
      break;
    }
    aUpdate = ReadUpdate(aSource, nextIndex, Now() + kReadWait);
  }
  Refuse(aAnswer.mExchange, aAnswer.mId, aUpdate.status());
}

} // namespace

void
ServeReattach(const TrafficContext& aContext, HttpExchange& aExchange)
{
  const HttpRequest& http = aExchange.Request();
  const RequestId id{ std::string{ PathOf(http.mTarget).substr(kRequestsPath.size()) } };
  if (http.mMethod != "GET") {
    aExchange.Respond({ .mStatus = kHttpMethodNotAllowed, .mBody = "use GET\n" });
    return;
  }
  const auto nextIndex = FirstIndexToSend(http);
  if (!nextIndex.ok()) {
    Refuse(aExchange, id, nextIndex.status());
    return;
  }
  StreamSource source{ .mContext = aContext, .mRequest = id };
  auto update = ReadUpdate(source, *nextIndex, Now() + Milliseconds{ 1 });
  const absl::Status status = update.ok() ? CheckOwner(aContext, http, *update) : update.status();
  if (!status.ok()) {
    Refuse(aExchange, id, status);
    return;
  }
  const auto completion = ParseCompletion(update->mApi, update->mBody);
  if (!completion.ok()) {
    Refuse(aExchange, id, completion.status());
    return;
  }
  source.mWithBody = false;
  const AnswerStream answer{ .mExchange = aExchange,
                             .mRequest = *completion,
                             .mId = id,
                             .mPromptTokens = EstimateTokens(completion->mPrompt) };
  if (completion->mStream) {
    WriteEventStream(source, answer, std::move(update));
  } else {
    WriteWholeAnswer(source, answer, std::move(update));
  }
}

} // namespace trefoil
