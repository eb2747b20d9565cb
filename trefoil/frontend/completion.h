// The JSON format of completion requests and responses for callers. This file only parses and
// renders; all functions are stateless and thread-safe.
//
//   absl::StatusOr<CompletionRequest> request = ParseCompletion(CompletionApi::kText, http.mBody);
//   std::string event = RenderTokenEvent(*request, id, token);
//
// docs/PROTOCOLS.md describes the interface.
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

// A completion request, parsed and validated.
struct CompletionRequest
{
  CompletionApi mApi = CompletionApi::kText;
  // The service that the "model" member of the request names.
  ServiceId mService;
  // The prompt. For a chat, the messages as lines `ROLE: CONTENT`.
  std::string mPrompt;
  // Whether the response is streamed.
  bool mStream = false;
  // Whether a stream includes its token usage before its end ("stream_options").
  bool mIncludeUsage = false;
  // The maximum number of tokens to generate.
  std::int64_t mMaxTokens = 0;
  // The original JSON body, which is passed to the engine.
  std::string mBody;
};

// A generated token as rendered for the caller.
struct TokenEvent
{
  // The position of the token in the generated text, from 0.
  std::int64_t mIndex = 0;
  std::string_view mText;
  // Empty before the last token.
  std::string_view mFinishReason;
};

// Parses and validates the JSON body of a request. Returns InvalidArgument with the reason if
// it is invalid.
absl::StatusOr<CompletionRequest>
ParseCompletion(CompletionApi aForm, std::string_view aBody);

// Renders a token as a server-sent event whose id is the token's index.
std::string
RenderTokenEvent(const CompletionRequest& aRequest, const RequestId& aId, const TokenEvent& aToken);

// The number of tokens that a request used.
struct Usage
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mCompletionTokens = 0;
};

// Renders the usage event, which precedes the end event if the caller requested usage.
std::string
RenderUsageEvent(const CompletionRequest& aRequest, const RequestId& aId, const Usage& aUsage);

// Renders the event that ends a stream on this entry host because another entry host continues
// it. The caller resumes the stream with GET `aPath` and the header Last-Event-ID.
std::string
RenderMovedEvent(const RequestId& aId, std::string_view aPath, std::int64_t aLastEventId);

// Renders the event that ends a complete stream.
std::string
RenderEndEvent();

// Renders the event that ends a stream which cannot be completed.
std::string
RenderErrorEvent(const RequestId& aId, const Failure& aFailure);

// Renders the response of a request that is not streamed, with verdict kRan.
HttpResponse
RenderCompletionResponse(const CompletionRequest& aRequest,
                         const RequestId& aId,
                         std::string_view aText,
                         std::string_view aFinishReason,
                         const Usage& aUsage);

} // namespace trefoil
