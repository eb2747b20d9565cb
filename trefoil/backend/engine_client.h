// Client for the streaming completion API of a model engine.
//
//   auto opened = EngineStream::Open({ .mServer = endpoint, .mAttempt = attempt, .mBody = json });
//   if (auto* stream = std::get_if<EngineStream>(&opened)) {
//     absl::StatusOr<EngineEvent> event = stream->Next(Now() + kStallTimeout);
//   }
//
// docs/PROTOCOLS.md specifies the API of the engine. All calls block. A stream must be used by one
// thread at a time. Destroying a stream closes its connection, which makes the engine cancel the
// request.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/base/verdict.h"
#include "trefoil/http/client.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace trefoil {

// The completion API that a request uses.
enum class CompletionApi
{
  kText,
  kChat,
};

inline constexpr NameTable<CompletionApi, 2> kCompletionPaths{ {
  { CompletionApi::kText, "/v1/completions" },
  { CompletionApi::kChat, "/v1/chat/completions" },
} };

struct EngineRequest
{
  Endpoint mServer;
  // As in HttpCall.
  Connector mConnector;
  AttemptId mAttempt;
  CompletionApi mApi = CompletionApi::kText;
  // The JSON body of the client's request.
  std::string mBody;
  // The text that earlier attempts generated.
  std::string mGenerated;
  // The number of tokens in mGenerated, which is the index of the first token to generate.
  std::int64_t mFirstTokenIndex = 0;
  // The KV cache that another engine exported. Empty if there is none.
  std::string mCache;
  // The head of the response must be received before this time.
  Instant mDeadline;
  // As in HttpCall. Count for the whole stream.
  std::vector<const AtomicDeadline*> mEarlierDeadlines;
};

enum class EngineEventKind
{
  kToken,
  // The stream is complete.
  kEnd,
  // The engine has received a reclaim notice and will stop. The stream continues until then.
  kLeaving,
};

struct EngineEvent
{
  EngineEventKind mKind = EngineEventKind::kToken;
  AttemptId mAttempt;
  // Zero-based index of the token in the whole response, not in the attempt.
  std::int64_t mIndex = 0;
  std::string mText;
  // Empty except on the last token.
  std::string mFinishReason;
  // The time until the engine stops. Set for kLeaving only.
  std::int64_t mNoticeMilliseconds = 0;
};

// A KV cache that an engine has exported for import by another engine.
struct ExportedCache
{
  std::string mCache;
  // The number of tokens that the cache covers.
  std::int64_t mTokens = 0;
};

class EngineStream
{
public:
  using OpenResult = std::variant<EngineStream, Failure>;

  // Sends the request and reads the head of the response. The verdict of a failure is:
  //   - kNotRun if mBody is not a JSON object, no connection was established, or the engine refused
  //     the request with HTTP status 4xx or 503;
  //   - kRan if the engine responded with any other HTTP status than 200;
  //   - kMayHaveRun otherwise.
  // The absl::Status of the failure is InvalidArgument for a malformed mBody and for 4xx,
  // Unavailable for other HTTP statuses and broken connections, and DeadlineExceeded after
  // mDeadline.
  static OpenResult Open(const EngineRequest& aCall);

  // Returns the next event. Returns DeadlineExceeded if no event was received before `aDeadline`,
  // Unavailable if the stream broke, and DataLoss if the engine sent a malformed event.
  absl::StatusOr<EngineEvent> Next(Instant aDeadline);

private:
  explicit EngineStream(HttpStream aStream)
    : mStream(std::move(aStream))
  {
  }

  HttpStream mStream;
};

// An engine and how to connect to it; mConnector is as in HttpCall.
struct EngineAddress
{
  Endpoint mServer;
  Connector mConnector;
};

// Requests the KV cache of an attempt that is running on an engine. Returns DeadlineExceeded if the
// engine does not respond before `aDeadline`, and Unavailable if it does not export the cache.
absl::StatusOr<ExportedCache>
ExportCache(const EngineAddress& aServer, const AttemptId& aAttempt, Instant aDeadline);

// Returns the JSON body of the request to the engine: the client's body with streaming enabled and
// the point at which to resume. Returns InvalidArgument if the client's body is not a JSON object.
absl::StatusOr<std::string>
RenderEngineBody(const EngineRequest& aCall);

// Parses the data of one server-sent event. Returns DataLoss if it is malformed.
absl::StatusOr<EngineEvent>
ParseEngineEvent(std::string_view aData);

} // namespace trefoil
