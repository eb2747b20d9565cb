#include "trefoil/forward/event_splitter.h"

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace trefoil {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

// Returns the text of the event's id field, nothing if it has none.
std::optional<std::string_view>
IdOf(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const std::size_t end = aEvent.find('\n');
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(end == std::string_view::npos ? aEvent.size() : end + 1);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      while (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      while (line.ends_with('\r')) {
        line.remove_suffix(1);
      }
      return line;
    }
  }
  return std::nullopt;
}

std::optional<std::int64_t>
NumberOf(std::string_view aText)
{
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc{} || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

// Returns whether an event was seen before, by ids that are numbers and rise.
bool
IsRepeated(const EventSplitter& aSplitter, std::string_view aId)
{
  const auto last = NumberOf(aSplitter.mLastId);
  const auto next = NumberOf(aId);
  return last.has_value() && next.has_value() && *next <= *last;
}

} // namespace

std::string
TakeWholeEvents(EventSplitter& aSplitter, std::string_view aBytes)
{
  aSplitter.mRest.append(aBytes);
  std::string whole;
  std::size_t start = 0;
  for (std::size_t end = aSplitter.mRest.find(kEventEnd); end != std::string::npos;
       end = aSplitter.mRest.find(kEventEnd, start)) {
    const std::string_view event =
      std::string_view{ aSplitter.mRest }.substr(start, end + kEventEnd.size() - start);
    start = end + kEventEnd.size();
    const auto id = IdOf(event);
    if (id.has_value() && IsRepeated(aSplitter, *id)) {
      continue;
    }
    if (id.has_value()) {
      aSplitter.mLastId = *id;
    }
    whole.append(event);
  }
  aSplitter.mRest.erase(0, start);
  return whole;
}

} // namespace trefoil
