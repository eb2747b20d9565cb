// What a stand-in engine answers: each token follows from the prompt and its place, so that every
// attempt on every engine generates the same answer and a checker can tell the whole one.
//
//   std::string text = AnswerText("castling?", 16);
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
