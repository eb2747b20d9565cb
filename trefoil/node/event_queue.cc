#include "trefoil/node/event_queue.h"

#include "absl/time/time.h"

namespace trefoil {

void
EventQueue::Push(ControlEvent aEvent)
{
  const absl::MutexLock lock{ &mMutex };
  mEvents.push_back(std::move(aEvent));
}

std::optional<ControlEvent>
EventQueue::Pop(Instant aDeadline)
{
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
    return mClosed || !mEvents.empty();
  };
  const absl::MutexLock lock{ &mMutex };
  mMutex.AwaitWithTimeout(absl::Condition(&ready), absl::FromChrono(aDeadline - Now()));
  if (mEvents.empty()) {
    return std::nullopt;
  }
  ControlEvent event = std::move(mEvents.front());
  mEvents.pop_front();
  return event;
}

void
EventQueue::Close()
{
  const absl::MutexLock lock{ &mMutex };
  mClosed = true;
}

bool
EventQueue::Closed() const
{
  const absl::MutexLock lock{ &mMutex };
  return mClosed;
}

} // namespace trefoil
