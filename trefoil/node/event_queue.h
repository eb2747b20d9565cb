// The queue of events in front of the control thread.
//
//   queue.Push(StopAnnounced{});
//   std::optional<ControlEvent> event = queue.Pop(deadline);
//
// Thread-safe. Pop blocks without spinning.
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

  // Returns the oldest event, nothing if none came before `aDeadline` or the queue was closed.
  std::optional<ControlEvent> Pop(Instant aDeadline);

  // Wakes the thread in Pop for good.
  void Close();
  bool Closed() const;

private:
  mutable absl::Mutex mMutex;
  std::deque<ControlEvent> mEvents ABSL_GUARDED_BY(mMutex);
  bool mClosed ABSL_GUARDED_BY(mMutex) = false;
};

} // namespace trefoil
