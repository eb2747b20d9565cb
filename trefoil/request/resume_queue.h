// Paces the streams that have to be resumed on other engines after a reclaim.
//
//   ResumeQueue queue;
//   Enter(queue, { .mTicket = 7, .mDeadline = deadline });
//   for (std::uint64_t ticket : Grant(queue, aLiveStreams)) { ... resume it ... }
//   Leave(queue, 7);
//
// A resumption holds its place from the grant until the first new token, since the prefill is what
// loads the surviving engines. The earliest deadline goes first. Plain data and pure functions.
#pragma once

#include "trefoil/base/instant.h"

#include <compare>
#include <cstdint>
#include <set>
#include <vector>

namespace trefoil {

// One stream that waits to be resumed.
struct ResumeRequest
{
  Instant mDeadline;
  // Unique in its queue.
  std::uint64_t mTicket = 0;

  friend auto operator<=>(const ResumeRequest&, const ResumeRequest&) = default;
};

struct ResumeQueue
{
  std::set<ResumeRequest> mWaiting;
  std::set<std::uint64_t> mRunning;
};

// Returns how many resumptions may run at once beside `aLiveStreams` streams.
std::int64_t
ResumeAllowance(std::int64_t aLiveStreams);

void
Enter(ResumeQueue& aQueue, const ResumeRequest& aRequest);

// Starts as many resumptions as the allowance permits and returns their tickets.
std::vector<std::uint64_t>
Grant(ResumeQueue& aQueue, std::int64_t aLiveStreams);

// Ends a resumption, whether it still waits or runs.
void
Leave(ResumeQueue& aQueue, std::uint64_t aTicket);

} // namespace trefoil
