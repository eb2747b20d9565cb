#include "standin/token_text.h"

#include "trefoil/base/digest.h"

#include <fmt/format.h>

namespace trefoil::standin {

std::string
TokenText(std::string_view aPrompt, std::int64_t aIndex)
{
  constexpr std::uint64_t kVocabulary = 10'000;
  const std::uint64_t word = RendezvousScore(fmt::format("{}", aIndex), aPrompt) % kVocabulary;
  return fmt::format(" {}:{}", aIndex, word);
}

std::string
AnswerText(std::string_view aPrompt, std::int64_t aTokens)
{
  std::string text;
  for (std::int64_t index = 0; index < aTokens; ++index) {
    text += TokenText(aPrompt, index);
  }
  return text;
}

} // namespace trefoil::standin
