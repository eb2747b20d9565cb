#include "trefoil/node/admission_gate.h"

#include "trefoil/base/retry_after.h"

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace trefoil {
namespace {

// Demands of other hosts that one message passes on.
constexpr std::size_t kMaxPassedOn = 16;

std::int64_t
SlotsOf(const ServiceDocument& aDocument)
{
  const auto servers = static_cast<std::int64_t>(aDocument.mServers.size());
  return std::max<std::int64_t>(1, servers * aDocument.mSlotsPerServer);
}

std::int64_t
SecondsUntil(Instant aRetryAt, Instant aNow)
{
  constexpr std::int64_t kMsPerSecond = 1000;
  return std::max<std::int64_t>(
    1, (Remaining(aRetryAt, aNow).count() + kMsPerSecond - 1) / kMsPerSecond);
}

absl::Status
StatusOf(const RefuseRequest& aRefusal, Instant aNow)
{
  const std::int64_t seconds = SecondsUntil(aRefusal.mRetryAt, aNow);
  switch (aRefusal.mReason) {
    case AdmissionRefusal::kAccountLimit:
      return WithRetryAfter(absl::ResourceExhaustedError("the client account is over its limit"),
                            seconds);
    case AdmissionRefusal::kDeadline:
      return WithRetryAfter(
        absl::UnavailableError("the request cannot be answered by its deadline"), seconds);
    case AdmissionRefusal::kQueueFull:
      return WithRetryAfter(absl::UnavailableError("too many requests wait"), seconds);
  }
  return absl::UnavailableError("refused");
}

QueueTicket
TicketOf(const AdmissionEffect& aEffect)
{
  return std::visit([](const auto& aKind) { return aKind.mTicket; }, aEffect);
}

// Adds the demands of other hosts, the latest heard of first.
void
PassOn(const ServiceId& aService, const PeakBudget& aBudget, AdmissionDemands& aDemands)
{
  std::vector<const HostDemand*> known;
  for (const auto& [host, demand] : aBudget.mPeers) {
    known.push_back(&demand);
  }
  std::ranges::sort(
    known, std::greater{}, [](const HostDemand* aOf) { return aOf->mReportExpiresAt; });
  known.resize(std::min(known.size(), kMaxPassedOn));
  for (const HostDemand* demand : known) {
    aDemands.mDemands.push_back(
      { .mService = aService,
        .mHost = demand->mHost,
        .mIncarnation = demand->mIncarnation,
        .mSequence = demand->mSequence,
        .mUndeferredPerMinute = static_cast<std::uint64_t>(demand->mUndeferredPerMinute) });
  }
}

} // namespace

AdmissionPass::AdmissionPass(AdmissionGate& aGate, ServiceId aService, QueueTicket aTicket)
  : mGate(&aGate)
  , mService(std::move(aService))
  , mTicket(aTicket)
{
}

AdmissionPass::AdmissionPass(AdmissionPass&& aOther) noexcept
  : mGate(std::exchange(aOther.mGate, nullptr))
  , mService(std::move(aOther.mService))
  , mTicket(aOther.mTicket)
{
}

AdmissionPass::~AdmissionPass()
{
  if (mGate != nullptr) {
    mGate->Leave(mService, mTicket);
  }
}

AdmissionGate::AdmissionGate(AdmissionGateOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

AdmissionState&
AdmissionGate::StateOf(const ServiceDocument& aDocument)
{
  const Instant now = Now();
  const auto [entry, added] = mStates.try_emplace(aDocument.mService);
  AdmissionState& state = entry->second;
  if (added) {
    state =
      MakeAdmissionState({ .mSelf = mOptions.mHost, .mHostsAtStart = mOptions.mHostsAtStart }, now);
  }
  const auto peak = static_cast<double>(aDocument.mPeakTokensPerMinute);
  if (state.mOptions.mSlots != SlotsOf(aDocument) || state.mPeak.mWorkPerMinute != peak) {
    Apply(state,
          AdmissionOptionsChanged{ .mSlots = SlotsOf(aDocument), .mPeakWorkPerMinute = peak },
          now);
  }
  return state;
}

void
AdmissionGate::Apply(AdmissionState& aState, const AdmissionEvent& aEvent, Instant aNow)
{
  for (const AdmissionEffect& effect : Step(aState, aEvent, aNow)) {
    const auto waiter = mWaiters.find(TicketOf(effect));
    if (waiter != mWaiters.end()) {
      waiter->second->mAnswer = effect;
      waiter->second->mAnswered.Signal();
    }
  }
}

AdmissionEffect
AdmissionGate::WaitFor(AdmissionState& aState, QueueTicket aTicket, Waiter& aWaiter)
{
  while (!aWaiter.mAnswer.has_value()) {
    const auto place = aState.mQueue.mPlaces.find(aTicket);
    if (place == aState.mQueue.mPlaces.end()) {
      return RefuseRequest{ .mTicket = aTicket, .mRetryAt = Now() };
    }
    const Milliseconds left = Remaining(place->second.second, Now()) + Milliseconds{ 1 };
    const bool late = aWaiter.mAnswered.WaitWithTimeout(&mMutex, absl::FromChrono(left));
    if (late && !aWaiter.mAnswer.has_value()) {
      Apply(aState, AdmissionTimerExpired{}, Now());
    }
  }
  return *aWaiter.mAnswer;
}

absl::StatusOr<AdmissionPass>
AdmissionGate::Enter(const ServiceDocument& aDocument, RequestArrived aArrival)
{
  const absl::MutexLock lock{ &mMutex };
  AdmissionState& state = StateOf(aDocument);
  Waiter waiter;
  aArrival.mTicket = ++mLastTicket;
  mWaiters[aArrival.mTicket] = &waiter;
  Apply(state, aArrival, Now());
  const AdmissionEffect answer = WaitFor(state, aArrival.mTicket, waiter);
  mWaiters.erase(aArrival.mTicket);
  if (const auto* refusal = std::get_if<RefuseRequest>(&answer)) {
    return StatusOf(*refusal, Now());
  }
  return AdmissionPass{ *this, aDocument.mService, aArrival.mTicket };
}

void
AdmissionGate::Leave(const ServiceId& aService, QueueTicket aTicket)
{
  const absl::MutexLock lock{ &mMutex };
  const auto state = mStates.find(aService);
  if (state != mStates.end()) {
    Apply(state->second, RequestEnded{ .mTicket = aTicket }, Now());
  }
}

bool
AdmissionGate::ConsumeRetry(const ServiceId& aService)
{
  const absl::MutexLock lock{ &mMutex };
  const auto state = mStates.find(aService);
  return state != mStates.end() && trefoil::ConsumeRetry(state->second.mRetries);
}

AdmissionDemands
AdmissionGate::Tick(const HostView& aView, Instant aNow)
{
  const absl::MutexLock lock{ &mMutex };
  AdmissionDemands demands;
  ++mSequence;
  for (auto& [service, state] : mStates) {
    Apply(state, HostViewChanged{ .mView = aView }, aNow);
    if (state.mPeak.mWorkPerMinute <= 0) {
      continue;
    }
    demands.mDemands.push_back(
      { .mService = service,
        .mHost = mOptions.mHost,
        .mIncarnation = mOptions.mIncarnation,
        .mSequence = mSequence,
        .mUndeferredPerMinute = static_cast<std::uint64_t>(OwnDemand(state.mPeak, aNow)) });
    PassOn(service, state.mPeak, demands);
  }
  return demands;
}

void
AdmissionGate::Hear(const AdmissionDemands& aDemands, Instant aNow)
{
  const absl::MutexLock lock{ &mMutex };
  for (const ServiceDemand& demand : aDemands.mDemands) {
    const auto state = mStates.find(demand.mService);
    if (state != mStates.end()) {
      Apply(state->second,
            DemandReceived{
              { .mHost = demand.mHost,
                .mIncarnation = demand.mIncarnation,
                .mSequence = demand.mSequence,
                .mUndeferredPerMinute = static_cast<double>(demand.mUndeferredPerMinute) } },
            aNow);
    }
  }
}

AdmissionCounts
AdmissionGate::Counts(const ServiceId& aService) const
{
  const absl::MutexLock lock{ &mMutex };
  const auto state = mStates.find(aService);
  if (state == mStates.end()) {
    return {};
  }
  return { .mWaiting = state->second.mQueue.mPlaces.size(),
           .mRunning = state->second.mRunning.size() };
}

} // namespace trefoil
