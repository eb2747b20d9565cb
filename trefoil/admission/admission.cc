#include "trefoil/admission/admission.h"

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

constexpr double kMsPerSecond = 1000;
// The longest time between two timers.
constexpr Milliseconds kTimerEvery{ 1000 };
constexpr Milliseconds kLongestRetryAfter{ 60'000 };
// How far one request moves the estimates.
constexpr double kDurationGain = 0.1;
// Durations count once so many requests have been seen.
constexpr std::int64_t kMinSamples = 8;
// The part of the time before its latest start for which a deferrable request may be held back.
constexpr double kHoldPart = 0.6;
// Seconds of its rate that an account may use at once.
constexpr double kBurstSeconds = 1;

// Returns the least time that a request of the flow is expected to take.
double
LeastDurationMs(const AdmissionState& aState, const FlowKey& aFlow)
{
  const auto found = aState.mDurations.find(aFlow);
  if (found == aState.mDurations.end() || found->second.mSamples < kMinSamples) {
    return 0;
  }
  return std::max(0.0, found->second.mMeanMs - 2 * found->second.mDeviationMs);
}

Instant
After(Instant aNow, double aMs)
{
  return aNow + Milliseconds{ static_cast<std::int64_t>(aMs) };
}

QueuedRequest
MakeQueued(const AdmissionState& aState, const RequestArrived& aEvent, Instant aNow)
{
  const FlowKey flow{ .mPriority = aEvent.mPriority, .mAccount = aEvent.mAccount };
  const Instant latest = After(aEvent.mDeadline, -LeastDurationMs(aState, flow));
  const double slackMs = std::chrono::duration<double, std::milli>(latest - aNow).count();
  return { .mTicket = aEvent.mTicket,
           .mLatestStart = latest,
           .mReleaseAt = After(aNow, std::max(0.0, slackMs * kHoldPart)),
           .mWork = aEvent.mWork };
}

// Takes one request from the account's limit. Returns when to try again if there is none.
std::optional<Instant>
TakeFromLimit(AdmissionState& aState, const RequestArrived& aEvent, Instant aNow)
{
  if (aEvent.mAccountLimit <= 0) {
    return std::nullopt;
  }
  const double rate = aEvent.mAccountLimit * ShareOf(aState.mShare, aNow);
  const double most = std::max(1.0, rate * kBurstSeconds);
  const auto [entry, added] = aState.mLimits.try_emplace(aEvent.mAccount);
  TokenBucket& bucket = entry->second;
  if (added) {
    bucket = { .mTokens = most, .mRefilledAt = aNow };
  }
  Refill(bucket, { .mPerSecond = rate, .mMax = most }, aNow);
  if (bucket.mTokens < 1) {
    return aNow + TimeUntil(bucket, 1, rate, kLongestRetryAfter);
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
Refuse(const AdmissionState& aState, QueueTicket aTicket, RefusalReason aReason, Instant aNow)
{
  double work = 0;
  for (const auto& [key, flow] : aState.mQueue.mFlows) {
    work += flow.mQueuedWork;
  }
  const double waitMs = std::clamp(
    work / WorkPerMs(aState, aNow), kMsPerSecond, static_cast<double>(kLongestRetryAfter.count()));
  return { .mTicket = aTicket, .mReason = aReason, .mRetryAt = After(aNow, waitMs) };
}

bool
HasFreeSlot(const AdmissionState& aState, Instant aNow)
{
  return static_cast<std::int64_t>(aState.mRunning.size()) < OwnSlots(aState, aNow);
}

void
RefreshPeak(AdmissionState& aState, Instant aNow)
{
  Refresh(aState.mPeak, ShareOf(aState.mShare, aNow), aNow);
}

// Notes that a request runs, against the budget of the busiest minute.
void
Begin(AdmissionState& aState, const FlowKey& aFlow, const QueuedRequest& aRequest, Instant aNow)
{
  aState.mRunning[aRequest.mTicket] = { .mFlow = aFlow,
                                        .mStartedAt = aNow,
                                        .mWork = aRequest.mWork };
  if (aState.mPeak.mWorkPerMinute <= 0) {
    return;
  }
  const bool held =
    aFlow.mPriority == Priority::kDeferrable && !HasPassed(aRequest.mReleaseAt, aNow);
  if (held) {
    TakeHeadroom(aState.mPeak, aRequest.mWork);
  } else {
    NoteAdmitted(aState.mPeak, aRequest.mWork, aNow);
  }
}

void
RefuseExpired(AdmissionState& aState, AdmissionEffects& aEffects, Instant aNow)
{
  auto& byStart = aState.mQueue.mByLatestStart;
  while (!byStart.empty() && HasPassed(byStart.begin()->first, aNow)) {
    const QueueTicket ticket = byStart.begin()->second;
    Remove(aState.mQueue, ticket);
    aEffects.emplace_back(Refuse(aState, ticket, RefusalReason::kDeadline, aNow));
  }
}

// Admits what may run now.
void
Admit(AdmissionState& aState, AdmissionEffects& aEffects, Instant aNow)
{
  RefuseExpired(aState, aEffects, aNow);
  RefreshPeak(aState, aNow);
  while (HasFreeSlot(aState, aNow)) {
    const auto hold = HasHeadroom(aState.mPeak) ? Deferrables::kTake : Deferrables::kHold;
    const auto next = Pop(aState.mQueue, hold, aNow);
    if (!next.has_value()) {
      return;
    }
    Begin(aState, next->mFlow, next->mRequest, aNow);
    aEffects.emplace_back(AdmitRequest{ .mTicket = next->mRequest.mTicket });
  }
}

// Makes room for a request of the flow `aFlow`, at the cost of the flow that has the most waiting
// for its weight. Returns false if that is this one.
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
  const QueueTicket last = std::prev(flow.mRequests.end())->second.mTicket;
  Remove(aState.mQueue, last);
  aEffects.emplace_back(Refuse(aState, last, RefusalReason::kQueueFull, aNow));
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
  return aRequest.mLatestStart < After(aNow, waitMs);
}

AdmissionEffects
On(AdmissionState& aState, const RequestArrived& aEvent, Instant aNow)
{
  AdmissionEffects effects;
  NoteRequest(aState.mRetries);
  if (const auto retryAt = TakeFromLimit(aState, aEvent, aNow)) {
    effects.emplace_back(RefuseRequest{
      .mTicket = aEvent.mTicket, .mReason = RefusalReason::kAccountLimit, .mRetryAt = *retryAt });
    return effects;
  }
  const FlowKey flow{ .mPriority = aEvent.mPriority, .mAccount = aEvent.mAccount };
  const double weight = FlowWeight(aEvent.mPriority, aEvent.mAccountWeight);
  const QueuedRequest request = MakeQueued(aState, aEvent, aNow);
  if (CannotMeetDeadline(aState, flow, weight, request, aNow)) {
    effects.emplace_back(Refuse(aState, aEvent.mTicket, RefusalReason::kDeadline, aNow));
    return effects;
  }
  const bool full = aState.mQueue.mPlaces.size() >= aState.mOptions.mMaxQueued;
  if (full && !MakeRoom(aState, flow, weight, effects, aNow)) {
    effects.emplace_back(Refuse(aState, aEvent.mTicket, RefusalReason::kQueueFull, aNow));
    return effects;
  }
  Push(aState.mQueue, flow, weight, request);
  Admit(aState, effects, aNow);
  return effects;
}

void
Learn(AdmissionState& aState, const RunningRequest& aRequest, Instant aNow)
{
  const double ms =
    std::max(1.0, std::chrono::duration<double, std::milli>(aNow - aRequest.mStartedAt).count());
  DurationEstimate& estimate = aState.mDurations[aRequest.mFlow];
  if (estimate.mSamples == 0) {
    estimate.mMeanMs = ms;
  }
  ++estimate.mSamples;
  estimate.mDeviationMs +=
    kDurationGain * (std::abs(ms - estimate.mMeanMs) - estimate.mDeviationMs);
  estimate.mMeanMs += kDurationGain * (ms - estimate.mMeanMs);
  aState.mWorkPerSlotMs += kDurationGain * (aRequest.mWork / ms - aState.mWorkPerSlotMs);
}

AdmissionEffects
On(AdmissionState& aState, const RequestEnded& aEvent, Instant aNow)
{
  AdmissionEffects effects;
  const auto running = aState.mRunning.find(aEvent.mTicket);
  if (running == aState.mRunning.end()) {
    Remove(aState.mQueue, aEvent.mTicket);
    return effects;
  }
  Learn(aState, running->second, aNow);
  aState.mRunning.erase(running);
  Admit(aState, effects, aNow);
  return effects;
}

AdmissionEffects
On(AdmissionState& aState, const AdmissionOptionsChanged& aEvent, Instant aNow)
{
  aState.mOptions.mSlots = aEvent.mSlots;
  aState.mPeak.mWorkPerMinute = aEvent.mPeakWorkPerMinute;
  AdmissionEffects effects;
  Admit(aState, effects, aNow);
  return effects;
}

AdmissionEffects
On(AdmissionState& aState, const HostsSeen& aEvent, Instant aNow)
{
  if (ApplyView(aState.mShare, aEvent.mView)) {
    ForgetSilent(aState.mPeak, aNow);
  }
  AdmissionEffects effects;
  Admit(aState, effects, aNow);
  return effects;
}

AdmissionEffects
On(AdmissionState& aState, const DemandHeard& aEvent, Instant aNow)
{
  if (aEvent.mDemand.mHost != aState.mOptions.mSelf) {
    ApplyDemand(aState.mPeak, aEvent.mDemand, aNow);
  }
  return {};
}

AdmissionEffects
On(AdmissionState& aState, const AdmissionTimer&, Instant aNow)
{
  AdmissionEffects effects;
  Admit(aState, effects, aNow);
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
                  .mOwnAt = aNow,
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
  Instant next = aNow + kTimerEvery;
  if (!aState.mQueue.mByLatestStart.empty()) {
    next = std::min(next, aState.mQueue.mByLatestStart.begin()->first);
    if (!HasHeadroom(aState.mPeak)) {
      next = std::min(next, HeadroomAt(aState.mPeak, aNow));
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
