// Lets threads resume streams at the pace of a ResumeQueue.
//
//   const std::uint64_t ticket = gate.Enter(deadline, aLiveStreams);   // waits for its turn
//   ... resume ...
//   gate.Leave(ticket, aLiveStreams);                                  // at the first token
//
// Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/request/resume_queue.h"

#include <cstdint>

namespace trefoil {

class ResumeGate
{
public:
  // Waits until a resumption may start, until `aDeadline` at most, and returns its ticket.
  std::uint64_t Enter(Instant aDeadline, std::int64_t aLiveStreams);

  // Ends a resumption.
  void Leave(std::uint64_t aTicket, std::int64_t aLiveStreams);

private:
  absl::Mutex mMutex;
  ResumeQueue mQueue ABSL_GUARDED_BY(mMutex);
  std::uint64_t mLastTicket ABSL_GUARDED_BY(mMutex) = 0;
};

} // namespace trefoil
