#include "trefoil/node/internal/resume_limiter.h"

#include "absl/time/time.h"

namespace trefoil {

std::uint64_t
ResumeLimiter::Acquire(Instant aDeadline, std::int64_t aLiveStreams)
{
  const absl::MutexLock lock{ &mMutex };
  const std::uint64_t ticket = ++mLastTicket;
  trefoil::Enter(mQueue, { .mDeadline = aDeadline, .mTicket = ticket });
  Grant(mQueue, aLiveStreams);
  const auto granted = [this, ticket]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
    return mQueue.mRunning.contains(ticket);
  };
  mMutex.AwaitWithTimeout(absl::Condition(&granted), absl::FromChrono(aDeadline - Now()));
  return ticket;
}

void
ResumeLimiter::Release(std::uint64_t aTicket, std::int64_t aLiveStreams)
{
  const absl::MutexLock lock{ &mMutex };
  trefoil::Leave(mQueue, aTicket);
  Grant(mQueue, aLiveStreams);
}

} // namespace trefoil
