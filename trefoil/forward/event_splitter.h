// Cuts the body of an event stream into whole events (text/event-stream).
//
//   EventSplitter splitter;
//   std::string whole = TakeWholeEvents(splitter, bytes);
//   splitter.mLastId;                        // that of the newest whole event
//
// Plain data and pure functions.
#pragma once

#include <string>
#include <string_view>

namespace trefoil {

struct EventSplitter
{
  // Bytes after the last whole event.
  std::string mRest;
  // Empty while no event with an id was seen.
  std::string mLastId;
};

// Appends `aBytes` and takes out the whole events. An event whose id is not above that of the one
// before is dropped: it was delivered already.
std::string
TakeWholeEvents(EventSplitter& aSplitter, std::string_view aBytes);

} // namespace trefoil
