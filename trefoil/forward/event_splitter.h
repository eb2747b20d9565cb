// Splits the body of an event stream (text/event-stream) into complete events.
//
//   EventSplitter splitter;
//   std::string events = ExtractCompleteEvents(splitter, bytes);
//   splitter.mLastId;                        // id of the latest complete event
//
// Plain data and pure functions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace trefoil {

struct EventSplitter
{
  // Bytes received after the last complete event.
  std::string mPartialEvent;
  // Empty until an event with an id is received.
  std::string mLastId;
  // The number of complete events that were returned.
  std::int64_t mEvents = 0;
};

// Appends `aBytes` to the buffered bytes, and removes and returns the complete events. An event
// whose numeric id is not above mLastId is dropped, because it has been delivered already.
std::string
ExtractCompleteEvents(EventSplitter& aSplitter, std::string_view aBytes);

} // namespace trefoil
