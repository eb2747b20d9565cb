#include "trefoil/audit/author.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <fmt/format.h>
#include <vector>

namespace trefoil {
namespace {

constexpr std::string_view kAuthorPrefix = "# put-by ";
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kAuthorFields = 3;

std::vector<std::string_view>
SplitAtSpaces(std::string_view aText)
{
  std::vector<std::string_view> fields;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find(' '), aText.size());
    fields.push_back(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return fields;
}

std::string_view
FirstLine(std::string_view aText)
{
  return aText.substr(0, std::min(aText.find('\n'), aText.size()));
}

std::string_view
WithoutAuthor(std::string_view aText)
{
  if (!aText.starts_with(kAuthorPrefix)) {
    return aText;
  }
  return aText.substr(std::min(FirstLine(aText).size() + 1, aText.size()));
}

} // namespace

bool
IsValidAuthorName(std::string_view aName)
{
  const auto allowed = [](unsigned char aByte) {
    const bool letter = (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z');
    const bool digit = aByte >= '0' && aByte <= '9';
    return letter || digit ||
           std::string_view{ "._@-" }.find(static_cast<char>(aByte)) != std::string_view::npos;
  };
  return !aName.empty() && aName.size() <= kMaxNameBytes && std::ranges::all_of(aName, allowed);
}

std::string
WithAuthor(const Author& aAuthor, std::string_view aText)
{
  return fmt::format("{}{} {} {}\n{}",
                     kAuthorPrefix,
                     aAuthor.mName,
                     UnixMilliseconds(aAuthor.mAt),
                     aAuthor.mNonce,
                     WithoutAuthor(aText));
}

std::optional<Author>
ParseAuthor(std::string_view aText)
{
  if (!aText.starts_with(kAuthorPrefix)) {
    return std::nullopt;
  }
  const auto fields = SplitAtSpaces(FirstLine(aText).substr(kAuthorPrefix.size()));
  if (fields.size() != kAuthorFields) {
    return std::nullopt;
  }
  std::int64_t milliseconds = 0;
  const char* end = fields[1].data() + fields[1].size();
  if (std::from_chars(fields[1].data(), end, milliseconds).ptr != end) {
    return std::nullopt;
  }
  return Author{ .mName = std::string{ fields[0] },
                 .mNonce = std::string{ fields[2] },
                 .mAt = FromUnixMilliseconds(milliseconds) };
}

} // namespace trefoil
