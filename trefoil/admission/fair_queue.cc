#include "trefoil/admission/fair_queue.h"

#include <algorithm>

namespace trefoil {
namespace {

double
PriorityFactor(Priority aPriority)
{
  switch (aPriority) {
    case Priority::kUrgent:
      return 64;
    case Priority::kNormal:
      return 8;
    case Priority::kDeferrable:
      return 1;
  }
  return 1;
}

bool
MayGo(const FlowKey& aKey, const Flow& aFlow, Deferrables aDeferrables, Instant aNow)
{
  if (aFlow.mRequests.empty()) {
    return false;
  }
  return aDeferrables == Deferrables::kTake || aKey.mPriority != Priority::kDeferrable ||
         HasPassed(aFlow.mRequests.begin()->second.mReleaseAt, aNow);
}

// Returns the virtual time at which the next request of a flow that waits would end.
double
FinishOf(const Flow& aFlow)
{
  return aFlow.mStart + aFlow.mRequests.begin()->second.mWork / aFlow.mWeight;
}

void
Erase(FairQueue& aQueue, Flow& aFlow, std::map<QueueOrder, QueuedRequest>::iterator aEntry)
{
  aFlow.mQueuedWork -= aEntry->second.mWork;
  aQueue.mByLatestStart.erase(aEntry->first);
  aQueue.mPlaces.erase(aEntry->second.mTicket);
  aFlow.mRequests.erase(aEntry);
}

} // namespace

double
FlowWeight(Priority aPriority, int aAccountWeight)
{
  return PriorityFactor(aPriority) * std::max(1, aAccountWeight);
}

void
Push(FairQueue& aQueue, const FlowKey& aKey, double aWeight, const QueuedRequest& aRequest)
{
  Flow& flow = aQueue.mFlows[aKey];
  flow.mWeight = aWeight;
  if (flow.mRequests.empty()) {
    flow.mStart = std::max(flow.mStart, aQueue.mVirtualTime);
  }
  flow.mQueuedWork += aRequest.mWork;
  const QueueOrder order{ aRequest.mLatestStart, aRequest.mTicket };
  flow.mRequests.emplace(order, aRequest);
  aQueue.mByLatestStart.insert(order);
  aQueue.mPlaces[aRequest.mTicket] = { aKey, aRequest.mLatestStart };
}

std::optional<PoppedRequest>
Pop(FairQueue& aQueue, Deferrables aDeferrables, Instant aNow)
{
  Flow* next = nullptr;
  PoppedRequest popped;
  for (auto& [key, flow] : aQueue.mFlows) {
    if (MayGo(key, flow, aDeferrables, aNow) &&
        (next == nullptr || FinishOf(flow) < FinishOf(*next))) {
      next = &flow;
      popped.mFlow = key;
    }
  }
  if (next == nullptr) {
    return std::nullopt;
  }
  popped.mRequest = next->mRequests.begin()->second;
  next->mStart = FinishOf(*next);
  aQueue.mVirtualTime = std::max(aQueue.mVirtualTime, next->mStart);
  Erase(aQueue, *next, next->mRequests.begin());
  return popped;
}

bool
Remove(FairQueue& aQueue, QueueTicket aTicket)
{
  const auto place = aQueue.mPlaces.find(aTicket);
  if (place == aQueue.mPlaces.end()) {
    return false;
  }
  Flow& flow = aQueue.mFlows[place->second.first];
  Erase(aQueue, flow, flow.mRequests.find({ place->second.second, aTicket }));
  return true;
}

const FlowKey*
LargestFlow(const FairQueue& aQueue)
{
  const FlowKey* largest = nullptr;
  double most = 0;
  for (const auto& [key, flow] : aQueue.mFlows) {
    if (flow.mQueuedWork / flow.mWeight > most) {
      most = flow.mQueuedWork / flow.mWeight;
      largest = &key;
    }
  }
  return largest;
}

double
ExpectedWaitMs(const FairQueue& aQueue,
               const FlowKey& aKey,
               double aWeight,
               const QueuedRequest& aRequest,
               double aWorkPerMs)
{
  double ahead = 0;
  double weights = aWeight;
  double allWork = 0;
  for (const auto& [key, flow] : aQueue.mFlows) {
    allWork += flow.mQueuedWork;
    if (key != aKey && !flow.mRequests.empty()) {
      weights += flow.mWeight;
    }
  }
  const auto flow = aQueue.mFlows.find(aKey);
  if (flow != aQueue.mFlows.end()) {
    for (const auto& [order, request] : flow->second.mRequests) {
      if (order.first > aRequest.mLatestStart) {
        break;
      }
      ahead += request.mWork;
    }
  }
  return std::min(ahead * weights / aWeight, allWork) / aWorkPerMs;
}

} // namespace trefoil
