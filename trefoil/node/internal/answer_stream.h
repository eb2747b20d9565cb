// Writes a completion's answer to its caller, whoever generates it.
#pragma once

#include "trefoil/frontend/completion.h"
#include "trefoil/http/server.h"
#include "trefoil/node/internal/stream_record.h"

#include <cstdint>
#include <string_view>

namespace trefoil {

inline constexpr std::string_view kRequestsPath = "/v1/requests/";

// The answer to one caller while it is written.
struct AnswerStream
{
  HttpExchange& mExchange;
  const CompletionRequest& mRequest;
  RequestId mId;
  std::int64_t mPromptTokens = 0;
};

// Sends the head of a streamed answer.
void
BeginEventStream(const AnswerStream& aAnswer);

// Sends a token of a streamed answer. Returns false once the caller is gone.
bool
WriteToken(const AnswerStream& aAnswer, const TokenEvent& aToken);

// Ends an answer, streamed or not. `aUpdate` has all its tokens if it was not streamed, else those
// from place `aUpdate.mFrom` on, which have been written.
void
FinishAnswer(const AnswerStream& aAnswer, const StreamUpdate& aUpdate);

} // namespace trefoil
