// What a request asks the stand-in engine to generate, and how its events look.
//
//   EngineWork work = ParseWork(body, aChat);      // throws Poco::Exception
//   std::string event = RenderToken(work, 3);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace trefoil::standin {

struct EngineWork
{
  bool mChat = false;
  std::string mPrompt;
  std::int64_t mMaxTokens = 0;
  std::string mAttempt;
  std::int64_t mFirstIndex = 0;
  // Tokens that an imported KV cache holds.
  std::int64_t mCachedTokens = 0;
};

// Throws Poco::Exception if the body is no completion request.
EngineWork
ParseWork(const std::string& aBody, bool aChat);

// Returns the tokens of the prompt, counted as words.
std::int64_t
PromptTokens(const EngineWork& aWork);

// Returns the server-sent event of the token at `aIndex`.
std::string
RenderToken(const EngineWork& aWork, std::int64_t aIndex);

// Returns the event that announces that the engine leaves.
std::string
RenderLeaving(const EngineWork& aWork, std::int64_t aNoticeMilliseconds);

// Returns the text that stands for the KV cache of `aTokens` tokens, for EngineWork::mCachedTokens.
std::string
RenderCache(std::int64_t aTokens);

} // namespace trefoil::standin
