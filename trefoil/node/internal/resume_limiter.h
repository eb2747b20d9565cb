// Limits how many threads resume streams concurrently, in the order of a ResumeQueue.
//
//   const std::uint64_t ticket = limiter.Acquire(deadline, liveStreams);  // blocks
//   ... resume the stream ...
//   limiter.Release(ticket, liveStreams);  // at the first token
//
// Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/request/resume_queue.h"

#include <cstdint>

namespace trefoil {

class ResumeLimiter
{
public:
  // Blocks until a resumption may start or `aDeadline` passes, and returns its ticket, which must
  // be released in both cases. `aLiveStreams` is the number of streams on this host.
  std::uint64_t Acquire(Instant aDeadline, std::int64_t aLiveStreams);

  // Ends a resumption, which may let others start.
  void Release(std::uint64_t aTicket, std::int64_t aLiveStreams);

private:
  absl::Mutex mMutex;
  ResumeQueue mQueue ABSL_GUARDED_BY(mMutex);
  std::uint64_t mLastTicket ABSL_GUARDED_BY(mMutex) = 0;
};

} // namespace trefoil
