#include "trefoil/node/control_request_broker.h"

#include "absl/time/time.h"

namespace trefoil {

std::uint64_t
ControlRequestBroker::AddWaiter()
{
  const absl::MutexLock lock{ &mMutex };
  mReplies[++mLastWaiter] = std::nullopt;
  return mLastWaiter;
}

std::optional<ControlReply>
ControlRequestBroker::AwaitReply(std::uint64_t aWaiter, Instant aDeadline)
{
  const absl::MutexLock lock{ &mMutex };
  const auto entry = mReplies.find(aWaiter);
  const auto hasReply = [&entry] { return entry->second.has_value(); };
  mMutex.AwaitWithTimeout(absl::Condition(&hasReply), absl::FromChrono(aDeadline - Now()));
  std::optional<ControlReply> answer = std::move(entry->second);
  mReplies.erase(entry);
  return answer;
}

void
ControlRequestBroker::DeliverReply(std::uint64_t aWaiter, ControlReply aAnswer)
{
  const absl::MutexLock lock{ &mMutex };
  const auto entry = mReplies.find(aWaiter);
  if (entry != mReplies.end()) {
    entry->second = std::move(aAnswer);
  }
}

} // namespace trefoil
