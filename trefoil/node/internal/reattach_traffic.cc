#include "trefoil/node/internal/reattach_traffic.h"

#include "trefoil/frontend/answer.h"
#include "trefoil/node/internal/answer_stream.h"
#include "trefoil/node/internal/caller.h"
#include "trefoil/node/internal/stream_source.h"
#include "trefoil/request/reclaim.h"

#include "absl/strings/numbers.h"

namespace trefoil {
namespace {

// How long one read of a stream waits for news.
constexpr Milliseconds kReadWait{ 2000 };
constexpr int kHttpMethodNotAllowed = 405;

void
Refuse(HttpExchange& aExchange, const RequestId& aId, const absl::Status& aStatus)
{
  // Whether the request ran is not known here.
  HttpAnswer answer = RenderFailure(aId, { .mVerdict = Verdict::kNotRun, .mStatus = aStatus });
  answer.mBody = FailureBody(aId, { .mVerdict = Verdict::kMayHaveRun, .mStatus = aStatus }) + "\n";
  AddVerdict(answer, aId, Verdict::kMayHaveRun);
  aExchange.Answer(answer);
}

// Returns the place after the last event that the caller has.
absl::StatusOr<std::int64_t>
PlaceOf(const HttpRequest& aRequest)
{
  const std::string_view text = HeaderValue(aRequest.mHeaders, "Last-Event-ID");
  if (text.empty()) {
    return 0;
  }
  std::int64_t last = 0;
  if (!absl::SimpleAtoi(absl::string_view{ text.data(), text.size() }, &last) || last < -1) {
    return absl::InvalidArgumentError("Last-Event-ID must be the number of an event");
  }
  return last + 1;
}

absl::Status
CheckOwner(const TrafficContext& aContext, const HttpRequest& aRequest, const SourceUpdate& aUpdate)
{
  const auto caller = Identify(*aContext.mSnapshots->Read(), aUpdate.mService, aRequest, Now());
  if (!caller.ok()) {
    return caller.status();
  }
  return caller->mAccount == aUpdate.mAccount
           ? absl::OkStatus()
           : absl::NotFoundError("no entry host that answers knows this request");
}

// Writes tokens until the stream has ended or the caller is gone.
void
FollowStreamed(StreamSource& aSource,
               const AnswerStream& aAnswer,
               absl::StatusOr<SourceUpdate> aUpdate)
{
  BeginEventStream(aAnswer);
  while (aUpdate.ok()) {
    const StreamUpdate& news = aUpdate->mUpdate;
    const bool ended = news.mState == StreamState::kComplete || news.mState == StreamState::kFailed;
    std::int64_t place = news.mFrom;
    for (const std::string& token : news.mTokens) {
      const bool last = &token == &news.mTokens.back() && !news.mFinishReason.empty();
      const TokenEvent event{ .mIndex = place++,
                              .mText = token,
                              .mFinishReason = last ? std::string_view{ news.mFinishReason }
                                                    : std::string_view{} };
      if (!WriteToken(aAnswer, event)) {
        return;
      }
    }
    if (ended) {
      FinishAnswer(aAnswer, news);
      return;
    }
    aUpdate = ReadNews(aSource, place, Now() + kReadWait);
  }
  aAnswer.mExchange.Write(RenderErrorEvent(
    aAnswer.mId, { .mVerdict = Verdict::kMayHaveRun, .mStatus = aUpdate.status() }));
}

// Waits for the whole answer.
void
FollowWhole(StreamSource& aSource,
            const AnswerStream& aAnswer,
            absl::StatusOr<SourceUpdate> aUpdate)
{
  while (aUpdate.ok()) {
    const StreamState state = aUpdate->mUpdate.mState;
    const auto place =
      aUpdate->mUpdate.mFrom + static_cast<std::int64_t>(aUpdate->mUpdate.mTokens.size());
    if (state == StreamState::kComplete || state == StreamState::kFailed) {
      aUpdate = ReadNews(aSource, 0, Now());
      if (aUpdate.ok()) {
        FinishAnswer(aAnswer, aUpdate->mUpdate);
        return;
      }
      break;
    }
    aUpdate = ReadNews(aSource, place, Now() + kReadWait);
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
    aExchange.Answer({ .mStatus = kHttpMethodNotAllowed, .mBody = "use GET\n" });
    return;
  }
  const auto place = PlaceOf(http);
  if (!place.ok()) {
    Refuse(aExchange, id, place.status());
    return;
  }
  StreamSource source{ .mContext = aContext, .mRequest = id };
  auto news = ReadNews(source, *place, Now() + Milliseconds{ 1 });
  const absl::Status status = news.ok() ? CheckOwner(aContext, http, *news) : news.status();
  if (!status.ok()) {
    Refuse(aExchange, id, status);
    return;
  }
  const auto completion = ParseCompletion(news->mForm, news->mBody);
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
    FollowStreamed(source, answer, std::move(news));
  } else {
    FollowWhole(source, answer, std::move(news));
  }
}

} // namespace trefoil
