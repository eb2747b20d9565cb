// Callers' completion requests and answers in the widely used JSON form: parsing and rendering
// only.
//
//   absl::StatusOr<CompletionRequest> request = ParseCompletion(CompletionApi::kText, http.mBody);
//   std::string event = RenderTokenEvent(*request, id, token);
//
// docs/PROTOCOLS.md gives the interface.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/backend/engine_client.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/verdict.h"
#include "trefoil/http/message.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace trefoil {

struct CompletionRequest
{
  CompletionApi mApi = CompletionApi::kText;
  // The "model" of the request names the service.
  ServiceId mService;
  // The prompt, or the messages of a chat one after the other.
  std::string mPrompt;
  bool mStream = false;
  // Whether a streamed answer ends with its usage ("stream_options").
  bool mIncludeUsage = false;
  // The longest answer, in tokens.
  std::int64_t mMaxTokens = 0;
  // The caller's JSON, for the engine.
  std::string mBody;
};

// One token as the caller sees it.
struct TokenEvent
{
  std::int64_t mIndex = 0;
  std::string_view mText;
  // Empty before the last token.
  std::string_view mFinishReason;
};

// Parses a request's JSON body. Returns InvalidArgument with the reason.
absl::StatusOr<CompletionRequest>
ParseCompletion(CompletionApi aForm, std::string_view aBody);

// Renders a token as a server-sent event whose id is the token's index.
std::string
RenderTokenEvent(const CompletionRequest& aRequest, const RequestId& aId, const TokenEvent& aToken);

// How many tokens a request took.
struct Usage
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mCompletionTokens = 0;
};

// Renders the event before the end of a stream whose caller asked for its usage.
std::string
RenderUsageEvent(const CompletionRequest& aRequest, const RequestId& aId, const Usage& aUsage);

// Renders the event that ends a stream which goes on on another entry host: the caller takes it up
// by GET `aPath` with the Last-Event-ID.
std::string
RenderMovedEvent(const RequestId& aId, std::string_view aPath, std::int64_t aLastEventId);

// Renders the event that ends a stream.
std::string
RenderEndEvent();

// Renders the event that ends a stream that cannot be completed.
std::string
RenderErrorEvent(const RequestId& aId, const Failure& aFailure);

// Renders a whole answer that was not streamed.
HttpResponse
RenderWholeAnswer(const CompletionRequest& aRequest,
                  const RequestId& aId,
                  std::string_view aText,
                  std::string_view aFinishReason,
                  const Usage& aUsage);

} // namespace trefoil
