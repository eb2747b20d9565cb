#include "trefoil/node/control_desk.h"

#include "absl/time/time.h"

namespace trefoil {

std::uint64_t
ControlDesk::Open()
{
  const absl::MutexLock lock{ &mMutex };
  mWaiting[++mLastWaiter] = std::nullopt;
  return mLastWaiter;
}

std::optional<DeskAnswer>
ControlDesk::Await(std::uint64_t aWaiter, Instant aDeadline)
{
  const absl::MutexLock lock{ &mMutex };
  const auto entry = mWaiting.find(aWaiter);
  const auto answered = [&entry] { return entry->second.has_value(); };
  mMutex.AwaitWithTimeout(absl::Condition(&answered), absl::FromChrono(aDeadline - Now()));
  std::optional<DeskAnswer> answer = std::move(entry->second);
  mWaiting.erase(entry);
  return answer;
}

void
ControlDesk::Answer(std::uint64_t aWaiter, DeskAnswer aAnswer)
{
  const absl::MutexLock lock{ &mMutex };
  const auto entry = mWaiting.find(aWaiter);
  if (entry != mWaiting.end()) {
    entry->second = std::move(aAnswer);
  }
}

} // namespace trefoil
