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
IsEligible(const FlowKey& aKey, const Flow& aFlow, DeferrablePolicy aPolicy, Instant aNow)
{
  if (aFlow.mRequests.empty()) {
    return false;
  }
  return aPolicy == DeferrablePolicy::kAdmit || aKey.mPriority != Priority::kDeferrable ||
         HasPassed(aFlow.mRequests.begin()->second.mReleaseAt, aNow);
}

// Returns the virtual time at which the first waiting request of the flow would end.
double
FinishTime(const Flow& aFlow)
{
  return aFlow.mStart + aFlow.mRequests.begin()->second.mWork / aFlow.mWeight;
}

void
EraseRequest(FairQueue& aQueue, Flow& aFlow, std::map<QueueOrder, QueuedRequest>::iterator aEntry)
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
Enqueue(FairQueue& aQueue, const FlowKey& aKey, double aWeight, const QueuedRequest& aRequest)
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

std::optional<DequeuedRequest>
Dequeue(FairQueue& aQueue, DeferrablePolicy aPolicy, Instant aNow)
{
  Flow* next = nullptr;
  DequeuedRequest dequeued;
  for (auto& [key, flow] : aQueue.mFlows) {
    if (IsEligible(key, flow, aPolicy, aNow) &&
        (next == nullptr || FinishTime(flow) < FinishTime(*next))) {
      next = &flow;
      dequeued.mFlow = key;
    }
  }
  if (next == nullptr) {
    return std::nullopt;
  }
  dequeued.mRequest = next->mRequests.begin()->second;
  next->mStart = FinishTime(*next);
  aQueue.mVirtualTime = std::max(aQueue.mVirtualTime, next->mStart);
  EraseRequest(aQueue, *next, next->mRequests.begin());
  return dequeued;
}

bool
RemoveRequest(FairQueue& aQueue, QueueTicket aTicket)
{
  const auto place = aQueue.mPlaces.find(aTicket);
  if (place == aQueue.mPlaces.end()) {
    return false;
  }
  Flow& flow = aQueue.mFlows[place->second.first];
  EraseRequest(aQueue, flow, flow.mRequests.find({ place->second.second, aTicket }));
  return true;
}

const FlowKey*
LargestFlow(const FairQueue& aQueue)
{
  const FlowKey* largest = nullptr;
  double maxWorkPerWeight = 0;
  for (const auto& [key, flow] : aQueue.mFlows) {
    if (flow.mQueuedWork / flow.mWeight > maxWorkPerWeight) {
      maxWorkPerWeight = flow.mQueuedWork / flow.mWeight;
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
  double workAhead = 0;
  double totalWeight = aWeight;
  double totalWork = 0;
  for (const auto& [key, flow] : aQueue.mFlows) {
    totalWork += flow.mQueuedWork;
    if (key != aKey && !flow.mRequests.empty()) {
      totalWeight += flow.mWeight;
    }
  }
  const auto flow = aQueue.mFlows.find(aKey);
  if (flow != aQueue.mFlows.end()) {
    for (const auto& [order, request] : flow->second.mRequests) {
      if (order.first > aRequest.mLatestStart) {
        break;
      }
      workAhead += request.mWork;
    }
  }
  return std::min(workAhead * totalWeight / aWeight, totalWork) / aWorkPerMs;
}

} // namespace trefoil
