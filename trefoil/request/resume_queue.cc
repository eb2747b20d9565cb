#include "trefoil/request/resume_queue.h"

#include <algorithm>

namespace trefoil {
namespace {

// One concurrent resumption is allowed for each of this number of live streams.
constexpr std::int64_t kLiveStreamsPerResume = 10;
constexpr std::int64_t kMinConcurrentResumes = 2;

} // namespace

std::int64_t
MaxConcurrentResumes(std::int64_t aLiveStreams)
{
  return std::max(aLiveStreams / kLiveStreamsPerResume, kMinConcurrentResumes);
}

void
Enter(ResumeQueue& aQueue, const PendingResume& aResume)
{
  aQueue.mWaiting.insert(aResume);
}

std::vector<std::uint64_t>
Grant(ResumeQueue& aQueue, std::int64_t aLiveStreams)
{
  std::vector<std::uint64_t> granted;
  const auto maxResumes = static_cast<std::size_t>(MaxConcurrentResumes(aLiveStreams));
  while (!aQueue.mWaiting.empty() && aQueue.mRunning.size() < maxResumes) {
    const std::uint64_t ticket = aQueue.mWaiting.begin()->mTicket;
    aQueue.mWaiting.erase(aQueue.mWaiting.begin());
    aQueue.mRunning.insert(ticket);
    granted.push_back(ticket);
  }
  return granted;
}

void
Leave(ResumeQueue& aQueue, std::uint64_t aTicket)
{
  aQueue.mRunning.erase(aTicket);
  std::erase_if(aQueue.mWaiting,
                [aTicket](const PendingResume& aResume) { return aResume.mTicket == aTicket; });
}

} // namespace trefoil
