#include "trefoil/forward/event_splitter.h"

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace trefoil {
namespace {

constexpr std::string_view kIdField = "id:";

// Returns the position after the first event of `aBytes`, or npos if it is not complete. An event
// ends with an empty line; lines end with LF or CRLF.
std::size_t
FindEventEnd(std::string_view aBytes)
{
  for (std::size_t line = aBytes.find('\n'); line != std::string_view::npos;
       line = aBytes.find('\n', line + 1)) {
    const std::string_view next = aBytes.substr(line + 1);
    if (next.starts_with('\n')) {
      return line + 2;
    }
    if (next.starts_with("\r\n")) {
      return line + 3;
    }
  }
  return std::string_view::npos;
}

// Returns the value of the event's id field, or std::nullopt if it has none.
std::optional<std::string_view>
FindEventId(std::string_view aEvent)
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
ParseNumber(std::string_view aText)
{
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc{} || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

// Returns whether an event was received before. Ids are compared only if they are numbers, which
// increase along a stream.
bool
IsDuplicate(const EventSplitter& aSplitter, std::string_view aId)
{
  const auto last = ParseNumber(aSplitter.mLastId);
  const auto next = ParseNumber(aId);
  return last.has_value() && next.has_value() && *next <= *last;
}

} // namespace

std::string
ExtractCompleteEvents(EventSplitter& aSplitter, std::string_view aBytes)
{
  aSplitter.mPartialEvent.append(aBytes);
  std::string complete;
  std::string_view rest = aSplitter.mPartialEvent;
  for (std::size_t end = FindEventEnd(rest); end != std::string_view::npos;
       end = FindEventEnd(rest)) {
    const std::string_view event = rest.substr(0, end);
    rest.remove_prefix(end);
    const auto id = FindEventId(event);
    if (id.has_value() && IsDuplicate(aSplitter, *id)) {
      continue;
    }
    if (id.has_value()) {
      aSplitter.mLastId = *id;
    }
    complete.append(event);
    ++aSplitter.mEvents;
  }
  aSplitter.mPartialEvent.erase(0, aSplitter.mPartialEvent.size() - rest.size());
  return complete;
}

} // namespace trefoil
