#include "trefoil/admission/admission.h"

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

constexpr double kMsPerSecond = 1000;
// Maximum time between two timer events.
constexpr Milliseconds kMaxTimerInterval{ 1000 };
constexpr Milliseconds kMaxRetryAfter{ 60'000 };
// Weight of one request in the moving averages of durations and work rate.
constexpr double kEstimateGain = 0.1;
// Duration estimates are used only after this many requests.
constexpr std::int64_t kMinSamples = 8;
// Fraction of the time until its latest start for which a deferrable request may be deferred.
constexpr double kDeferFraction = 0.6;
// An account may use its rate for this many seconds in one burst.
constexpr double kBurstSeconds = 1;

// Returns a low estimate of the duration of the flow's requests, two mean deviations below the
// mean. Returns 0 while there are too few samples.
double
MinDurationMs(const AdmissionState& aState, const FlowKey& aFlow)
{
  const auto found = aState.mDurations.find(aFlow);
  if (found == aState.mDurations.end() || found->second.mSamples < kMinSamples) {
    return 0;
  }
  return std::max(0.0, found->second.mMeanMs - 2 * found->second.mDeviationMs);
}

Instant
AddMilliseconds(Instant aNow, double aMs)
{
  return aNow + Milliseconds{ static_cast<std::int64_t>(aMs) };
}

QueuedRequest
MakeQueued(const AdmissionState& aState, const RequestArrived& aEvent, Instant aNow)
{
  const FlowKey flow{ .mPriority = aEvent.mPriority, .mAccount = aEvent.mAccount };
  const Instant latestStart = AddMilliseconds(aEvent.mDeadline, -MinDurationMs(aState, flow));
  const double slackMs = std::chrono::duration<double, std::milli>(latestStart - aNow).count();
  return { .mTicket = aEvent.mTicket,
           .mLatestStart = latestStart,
           .mReleaseAt = AddMilliseconds(aNow, std::max(0.0, slackMs * kDeferFraction)),
           .mWork = aEvent.mWork };
}

// Consumes one request of the account's limit. Returns when to retry if the limit is exceeded.
std::optional<Instant>
ConsumeAccountLimit(AdmissionState& aState, const RequestArrived& aEvent, Instant aNow)
{
  if (aEvent.mAccountLimit <= 0) {
    return std::nullopt;
  }
  const double rate = aEvent.mAccountLimit * ShareOf(aState.mShare, aNow);
  const double maxTokens = std::max(1.0, rate * kBurstSeconds);
  const auto [entry, added] = aState.mAccountLimits.try_emplace(aEvent.mAccount);
  TokenBucket& bucket = entry->second;
  if (added) {
    bucket = { .mTokens = maxTokens, .mRefilledAt = aNow };
  }
  Refill(bucket, { .mPerSecond = rate, .mMax = maxTokens }, aNow);
  if (bucket.mTokens < 1) {
    return aNow + TimeUntilRefilled(bucket, 1, rate, kMaxRetryAfter);
  }
  bucket.mTokens -= 1;
  return std::nullopt;
}

double
WorkPerMs(const AdmissionState& aState, Instant aNow)
{
  return aState.mWorkPerSlotMs * static_cast<double>(OwnSlots(aState, aNow));
}

RefuseRequest
MakeRefusal(const AdmissionState& aState,
            QueueTicket aTicket,
            AdmissionRefusal aReason,
            Instant aNow)
{
  double work = 0;
  for (const auto& [key, flow] : aState.mQueue.mFlows) {
    work += flow.mQueuedWork;
  }
  const double waitMs = std::clamp(
    work / WorkPerMs(aState, aNow), kMsPerSecond, static_cast<double>(kMaxRetryAfter.count()));
  return { .mTicket = aTicket, .mReason = aReason, .mRetryAt = AddMilliseconds(aNow, waitMs) };
}

bool
HasFreeSlot(const AdmissionState& aState, Instant aNow)
{
  return static_cast<std::int64_t>(aState.mRunning.size()) < OwnSlots(aState, aNow);
}

void
RefreshPeakBudget(AdmissionState& aState, Instant aNow)
{
  RefreshHeadroom(aState.mPeak, ShareOf(aState.mShare, aNow), aNow);
}

// Records that a request starts to run, and charges it to the peak budget.
void
StartRequest(AdmissionState& aState,
             const FlowKey& aFlow,
             const QueuedRequest& aRequest,
             Instant aNow)
{
  aState.mRunning[aRequest.mTicket] = { .mFlow = aFlow,
                                        .mStartedAt = aNow,
                                        .mWork = aRequest.mWork };
  if (aState.mPeak.mWorkPerMinute <= 0) {
    return;
  }
  const bool usesHeadroom =
    aFlow.mPriority == Priority::kDeferrable && !HasPassed(aRequest.mReleaseAt, aNow);
  if (usesHeadroom) {
    ConsumeHeadroom(aState.mPeak, aRequest.mWork);
  } else {
    RecordUndeferred(aState.mPeak, aRequest.mWork, aNow);
  }
}

void
RefuseExpired(AdmissionState& aState, AdmissionEffects& aEffects, Instant aNow)
{
  auto& byLatestStart = aState.mQueue.mByLatestStart;
  while (!byLatestStart.empty() && HasPassed(byLatestStart.begin()->first, aNow)) {
    const QueueTicket ticket = byLatestStart.begin()->second;
    RemoveRequest(aState.mQueue, ticket);
    aEffects.emplace_back(MakeRefusal(aState, ticket, AdmissionRefusal::kDeadline, aNow));
  }
}

// Refuses the waiting requests whose latest start has passed, and admits those that may run
// now.
void
AdmitWaiting(AdmissionState& aState, AdmissionEffects& aEffects, Instant aNow)
{
  RefuseExpired(aState, aEffects, aNow);
  RefreshPeakBudget(aState, aNow);
  while (HasFreeSlot(aState, aNow)) {
    const auto policy =
      HasHeadroom(aState.mPeak) ? DeferrablePolicy::kAdmit : DeferrablePolicy::kDefer;
    const auto next = Dequeue(aState.mQueue, policy, aNow);
    if (!next.has_value()) {
      return;
    }
    StartRequest(aState, next->mFlow, next->mRequest, aNow);
    aEffects.emplace_back(AdmitRequest{ .mTicket = next->mRequest.mTicket });
  }
}

// Makes room for a request of the flow `aFlow` by refusing the last request of the flow with
// the most queued work relative to its weight. Returns false if no other flow has more than
// `aFlow`.
bool
MakeRoom(AdmissionState& aState,
         const FlowKey& aFlow,
         double aWeight,
         AdmissionEffects& aEffects,
         Instant aNow)
{
  const FlowKey* largest = LargestFlow(aState.mQueue);
  if (largest == nullptr || *largest == aFlow) {
    return false;
  }
  const Flow& flow = aState.mQueue.mFlows.at(*largest);
  const auto own = aState.mQueue.mFlows.find(aFlow);
  const double ownWork = own == aState.mQueue.mFlows.end() ? 0 : own->second.mQueuedWork;
  if (ownWork / aWeight >= flow.mQueuedWork / flow.mWeight) {
    return false;
  }
  const QueueTicket lastTicket = std::prev(flow.mRequests.end())->second.mTicket;
  RemoveRequest(aState.mQueue, lastTicket);
  aEffects.emplace_back(MakeRefusal(aState, lastTicket, AdmissionRefusal::kQueueFull, aNow));
  return true;
}

bool
CannotMeetDeadline(const AdmissionState& aState,
                   const FlowKey& aFlow,
                   double aWeight,
                   const QueuedRequest& aRequest,
                   Instant aNow)
{
  if (HasPassed(aRequest.mLatestStart, aNow)) {
    return true;
  }
  if (HasFreeSlot(aState, aNow)) {
    return false;
  }
  const double waitMs =
    ExpectedWaitMs(aState.mQueue, aFlow, aWeight, aRequest, WorkPerMs(aState, aNow));
  return aRequest.mLatestStart < AddMilliseconds(aNow, waitMs);
}

AdmissionEffects
On(AdmissionState& aState, const RequestArrived& aEvent, Instant aNow)
{
  AdmissionEffects effects;
  CountHostRequest(aState.mRetries);
  if (const auto retryAt = ConsumeAccountLimit(aState, aEvent, aNow)) {
    effects.emplace_back(RefuseRequest{ .mTicket = aEvent.mTicket,
                                        .mReason = AdmissionRefusal::kAccountLimit,
                                        .mRetryAt = *retryAt });
    return effects;
  }
  const FlowKey flow{ .mPriority = aEvent.mPriority, .mAccount = aEvent.mAccount };
  const double weight = FlowWeight(aEvent.mPriority, aEvent.mAccountWeight);
  const QueuedRequest request = MakeQueued(aState, aEvent, aNow);
  if (CannotMeetDeadline(aState, flow, weight, request, aNow)) {
    effects.emplace_back(MakeRefusal(aState, aEvent.mTicket, AdmissionRefusal::kDeadline, aNow));
    return effects;
  }
  const bool full = aState.mQueue.mPlaces.size() >= aState.mOptions.mMaxQueued;
  if (full && !MakeRoom(aState, flow, weight, effects, aNow)) {
    effects.emplace_back(MakeRefusal(aState, aEvent.mTicket, AdmissionRefusal::kQueueFull, aNow));
    return effects;
  }
  Enqueue(aState.mQueue, flow, weight, request);
  AdmitWaiting(aState, effects, aNow);
  return effects;
}

void
UpdateEstimates(AdmissionState& aState, const RunningRequest& aRequest, Instant aNow)
{
  const double ms =
    std::max(1.0, std::chrono::duration<double, std::milli>(aNow - aRequest.mStartedAt).count());
  DurationEstimate& estimate = aState.mDurations[aRequest.mFlow];
  if (estimate.mSamples == 0) {
    estimate.mMeanMs = ms;
  }
  ++estimate.mSamples;
  estimate.mDeviationMs +=
    kEstimateGain * (std::abs(ms - estimate.mMeanMs) - estimate.mDeviationMs);
  estimate.mMeanMs += kEstimateGain * (ms - estimate.mMeanMs);
  aState.mWorkPerSlotMs += kEstimateGain * (aRequest.mWork / ms - aState.mWorkPerSlotMs);
}

AdmissionEffects
On(AdmissionState& aState, const RequestEnded& aEvent, Instant aNow)
{
  AdmissionEffects effects;
  const auto running = aState.mRunning.find(aEvent.mTicket);
  if (running == aState.mRunning.end()) {
    RemoveRequest(aState.mQueue, aEvent.mTicket);
    return effects;
  }
  UpdateEstimates(aState, running->second, aNow);
  aState.mRunning.erase(running);
  AdmitWaiting(aState, effects, aNow);
  return effects;
}

AdmissionEffects
On(AdmissionState& aState, const AdmissionOptionsChanged& aEvent, Instant aNow)
{
  aState.mOptions.mSlots = aEvent.mSlots;
  aState.mPeak.mWorkPerMinute = aEvent.mPeakWorkPerMinute;
  AdmissionEffects effects;
  AdmitWaiting(aState, effects, aNow);
  return effects;
}

AdmissionEffects
On(AdmissionState& aState, const HostViewChanged& aEvent, Instant aNow)
{
  if (ApplyHostView(aState.mShare, aEvent.mView)) {
    RemoveExpiredDemands(aState.mPeak, aNow);
  }
  AdmissionEffects effects;
  AdmitWaiting(aState, effects, aNow);
  return effects;
}

AdmissionEffects
On(AdmissionState& aState, const DemandReceived& aEvent, Instant aNow)
{
  if (aEvent.mDemand.mHost != aState.mOptions.mSelf) {
    ApplyDemand(aState.mPeak, aEvent.mDemand, aNow);
  }
  return {};
}

AdmissionEffects
On(AdmissionState& aState, const AdmissionTimerExpired&, Instant aNow)
{
  AdmissionEffects effects;
  AdmitWaiting(aState, effects, aNow);
  return effects;
}

} // namespace

AdmissionState
MakeAdmissionState(AdmissionOptions aOptions, Instant aNow)
{
  AdmissionState state;
  state.mShare =
    MakeHostShare({ .mSelf = aOptions.mSelf, .mHostsAtStart = aOptions.mHostsAtStart }, aNow);
  state.mPeak = { .mWorkPerMinute = aOptions.mPeakWorkPerMinute,
                  .mOwnUpdatedAt = aNow,
                  .mHeadroom = { .mRefilledAt = aNow } };
  state.mOptions = std::move(aOptions);
  return state;
}

AdmissionEffects
Step(AdmissionState& aState, const AdmissionEvent& aEvent, Instant aNow)
{
  return std::visit([&aState, aNow](const auto& aKind) { return On(aState, aKind, aNow); }, aEvent);
}

Instant
NextTimer(const AdmissionState& aState, Instant aNow)
{
  Instant next = aNow + kMaxTimerInterval;
  if (!aState.mQueue.mByLatestStart.empty()) {
    next = std::min(next, aState.mQueue.mByLatestStart.begin()->first);
    if (!HasHeadroom(aState.mPeak)) {
      next = std::min(next, NextHeadroomAt(aState.mPeak, aNow));
    }
  }
  return next;
}

std::int64_t
OwnSlots(const AdmissionState& aState, Instant aNow)
{
  const double slots = static_cast<double>(aState.mOptions.mSlots) * ShareOf(aState.mShare, aNow);
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(std::ceil(slots)));
}

} // namespace trefoil
