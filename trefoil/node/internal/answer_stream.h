// Writes the response of a completion to its caller, whether the tokens are generated on this
// host or read from another one.
#pragma once

#include "trefoil/frontend/completion.h"
#include "trefoil/http_server/http_server.h"
#include "trefoil/node/internal/stream_record.h"

#include <cstdint>
#include <string_view>

namespace trefoil {

inline constexpr std::string_view kRequestsPath = "/v1/requests/";

// The response to one caller while it is written.
struct AnswerStream
{
  HttpExchange& mExchange;
  const CompletionRequest& mRequest;
  RequestId mId;
  std::int64_t mPromptTokens = 0;
};

// Sends the HTTP head of a streamed response.
void
BeginEventStream(const AnswerStream& aAnswer);

// Sends a token of a streamed response. Returns false once the caller has disconnected.
bool
WriteToken(const AnswerStream& aAnswer, const TokenEvent& aToken);

// Ends a response. For a streamed one, `aUpdate` holds the tokens from index `aUpdate.mFrom`,
// which must have been written already. Otherwise `aUpdate` holds all tokens and the whole
// response is sent here.
void
FinishAnswer(const AnswerStream& aAnswer, const StreamUpdate& aUpdate);

} // namespace trefoil
