// The queue of events for the control thread.
//
//   queue.Push(StopRequested{});
//   std::optional<ControlEvent> event = queue.Pop(deadline);
//
// Thread-safe. Pop blocks without spinning. The queue is unbounded.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/instant.h"
#include "trefoil/node/event.h"

#include <deque>
#include <optional>

namespace trefoil {

class EventQueue
{
public:
  void Push(ControlEvent aEvent);

  // Removes and returns the oldest event, blocking until `aDeadline` for one. Returns std::nullopt
  // if the queue is empty at the deadline or when it is closed. Events that are queued when it is
  // closed can still be popped.
  std::optional<ControlEvent> Pop(Instant aDeadline);

  // Closes the queue for good: Pop no longer blocks.
  void Close();
  bool Closed() const;

private:
  mutable absl::Mutex mMutex;
  std::deque<ControlEvent> mEvents ABSL_GUARDED_BY(mMutex);
  bool mClosed ABSL_GUARDED_BY(mMutex) = false;
};

} // namespace trefoil
