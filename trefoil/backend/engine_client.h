// Streams of a model engine.
//
//   auto opened = EngineStream::Open({ .mServer = endpoint, .mAttempt = attempt, .mBody = json, ...
//   }); absl::StatusOr<EngineEvent> event = std::get<EngineStream>(opened).Next(Now() +
//   kStallLimit);
//
// docs/PROTOCOLS.md gives the engine's interface. Blocking; one stream belongs to one thread.
// Destroying a stream closes its connection, by which the engine cancels the work.
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

namespace trefoil {

// Which of the two completion interfaces a request uses.
enum class CompletionForm
{
  kText,
  kChat,
};

inline constexpr NameTable<CompletionForm, 2> kCompletionPaths{ {
  { CompletionForm::kText, "/v1/completions" },
  { CompletionForm::kChat, "/v1/chat/completions" },
} };

struct EngineCall
{
  Endpoint mServer;
  AttemptId mAttempt;
  CompletionForm mForm = CompletionForm::kText;
  // The caller's JSON body.
  std::string mBody;
  // What earlier attempts generated, and how many tokens that is.
  std::string mGenerated;
  std::int64_t mFirstIndex = 0;
  // The KV cache that another engine exported; empty for none.
  std::string mCache;
  // When the engine must have begun to answer.
  Instant mDeadline;
};

enum class EngineEventKind
{
  kToken,
  // The stream is complete.
  kEnd,
  // The engine leaves after a notice. The stream goes on.
  kLeaving,
};

struct EngineEvent
{
  EngineEventKind mKind = EngineEventKind::kToken;
  AttemptId mAttempt;
  // The token's place in the whole answer, from 0.
  std::int64_t mIndex = 0;
  std::string mText;
  // Set on the last token.
  std::string mFinishReason;
  // How long the engine stays, if it leaves.
  std::int64_t mNoticeMilliseconds = 0;
};

// A KV cache that an engine gave out, for another one to import.
struct ExportedCache
{
  std::string mCache;
  std::int64_t mTokens = 0;
};

class EngineStream
{
public:
  using OpenResult = std::variant<EngineStream, Failure>;

  // Sends the request. A failure is "not run" if no connection came up or the engine refused it
  // with 503, or with 4xx; then its status is InvalidArgument.
  static OpenResult Open(const EngineCall& aCall);

  // Returns the next event. Returns DeadlineExceeded if none came in time, Unavailable if the
  // stream broke, DataLoss if the engine sent what is no event.
  absl::StatusOr<EngineEvent> Next(Instant aDeadline);

private:
  explicit EngineStream(HttpStream aStream)
    : mStream(std::move(aStream))
  {
  }

  HttpStream mStream;
};

// Asks an engine for the KV cache of an attempt that it runs. Returns Unavailable if it gives none.
absl::StatusOr<ExportedCache>
ExportCache(const Endpoint& aServer, const AttemptId& aAttempt, Instant aDeadline);

// Returns the JSON body for the engine: the caller's, always streamed, with the place to resume at.
absl::StatusOr<std::string>
RenderEngineBody(const EngineCall& aCall);

// Parses the data of one server-sent event.
absl::StatusOr<EngineEvent>
ParseEngineEvent(std::string_view aData);

} // namespace trefoil
