// The text of the answers of the stand-in engine.
//
//   std::string text = AnswerText("castling?", 16);
//
// Each token is a function of the prompt and the token's index. Every attempt on every engine
// therefore generates the same answer, and a test can compute the answer that it expects.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace trefoil::standin {

// Returns the token at `aIndex` of the answer to `aPrompt`.
std::string
TokenText(std::string_view aPrompt, std::int64_t aIndex);

// Returns the first `aTokens` tokens of the answer to `aPrompt`.
std::string
AnswerText(std::string_view aPrompt, std::int64_t aTokens);

} // namespace trefoil::standin
