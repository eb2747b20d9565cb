#include "trefoil/request/resume_queue.h"

#include <algorithm>

namespace trefoil {
namespace {

// One resumption at once for each so many live streams.
constexpr std::int64_t kLiveStreamsPerResume = 10;
constexpr std::int64_t kFewestResumes = 2;

} // namespace

std::int64_t
ResumeAllowance(std::int64_t aLiveStreams)
{
  return std::max(aLiveStreams / kLiveStreamsPerResume, kFewestResumes);
}

void
Enter(ResumeQueue& aQueue, const ResumeRequest& aRequest)
{
  aQueue.mWaiting.insert(aRequest);
}

std::vector<std::uint64_t>
Grant(ResumeQueue& aQueue, std::int64_t aLiveStreams)
{
  std::vector<std::uint64_t> granted;
  const auto allowance = static_cast<std::size_t>(ResumeAllowance(aLiveStreams));
  while (!aQueue.mWaiting.empty() && aQueue.mRunning.size() < allowance) {
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
                [aTicket](const ResumeRequest& aRequest) { return aRequest.mTicket == aTicket; });
}

} // namespace trefoil
