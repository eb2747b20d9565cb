// Parses the completion requests of the stand-in engine and renders the server-sent events of its
// answers.
//
//   EngineRequest request = ParseEngineRequest(body, aChat);  // throws Poco::Exception
//   std::string event = RenderToken(request, 3);
//
// Plain data and functions without I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace trefoil::standin {

struct EngineRequest
{
  // Whether it is a chat completion, with a list of messages, rather than a completion of a prompt.
  bool mChat = false;
  std::string mPrompt;
  std::int64_t mMaxTokens = 0;
  // The attempt that the request names; a random one if it names none.
  std::string mAttempt;
  // The index of the first token to generate; above 0 if the request resumes an earlier attempt.
  std::int64_t mFirstIndex = 0;
  // The number of tokens in the KV cache that comes with the request.
  std::int64_t mCachedTokens = 0;
};

// Parses the body of a completion request. Throws Poco::Exception if the body is invalid.
EngineRequest
ParseEngineRequest(const std::string& aBody, bool aChat);

// Returns the number of tokens of the prompt, counted as words.
std::int64_t
PromptTokens(const EngineRequest& aRequest);

// Returns the server-sent event of the token at `aIndex`.
std::string
RenderToken(const EngineRequest& aRequest, std::int64_t aIndex);

// Returns the event that announces that the engine shuts down in `aNoticeMilliseconds`.
std::string
RenderLeaving(const EngineRequest& aRequest, std::int64_t aNoticeMilliseconds);

// Returns the text that represents a KV cache of `aTokens` tokens. ParseEngineRequest reads it into
// EngineRequest::mCachedTokens.
std::string
RenderCache(std::int64_t aTokens);

} // namespace trefoil::standin
