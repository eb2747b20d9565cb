// Limits how many streams are resumed concurrently on other engines after a reclaim.
//
//   ResumeQueue queue;
//   Enter(queue, { .mDeadline = deadline, .mTicket = 7 });
//   for (std::uint64_t ticket : Grant(queue, aLiveStreams)) { ... resume it ... }
//   Leave(queue, 7);
//
// A resumption counts as running from its grant until its first new token, because the prefill is
// the main load on the remaining engines. The stream with the earliest deadline is resumed first.
// Plain data and pure functions.
#pragma once

#include "trefoil/base/instant.h"

#include <compare>
#include <cstdint>
#include <set>
#include <vector>

namespace trefoil {

// A stream that waits to be resumed.
struct PendingResume
{
  Instant mDeadline;
  // Unique within its queue.
  std::uint64_t mTicket = 0;

  friend auto operator<=>(const PendingResume&, const PendingResume&) = default;
};

struct ResumeQueue
{
  std::set<PendingResume> mWaiting;
  std::set<std::uint64_t> mRunning;
};

// Returns how many resumptions may run concurrently on a host with `aLiveStreams` streams.
std::int64_t
MaxConcurrentResumes(std::int64_t aLiveStreams);

// Adds a stream that waits to be resumed.
void
Enter(ResumeQueue& aQueue, const PendingResume& aResume);

// Moves waiting resumptions to mRunning up to the limit and returns their tickets.
std::vector<std::uint64_t>
Grant(ResumeQueue& aQueue, std::int64_t aLiveStreams);

// Removes a waiting or running resumption.
void
Leave(ResumeQueue& aQueue, std::uint64_t aTicket);

} // namespace trefoil
