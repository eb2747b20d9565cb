#include "trefoil/node/admission_controller.h"

#include "trefoil/base/retry_after.h"

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace trefoil {
namespace {

// Maximum number of demands of other hosts that are relayed per service in one message.
constexpr std::size_t kMaxRelayedDemands = 16;
// Number of requests that may wait for each service, even if the host has no room left.
constexpr std::size_t kMinQueued = 8;

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
RefusalStatus(const RefuseRequest& aRefusal, Instant aNow)
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

// Appends the demands of up to kMaxRelayedDemands other hosts, the most recently received first.
void
AppendPeerDemands(const ServiceId& aService, const PeakBudget& aBudget, AdmissionDemands& aDemands)
{
  std::vector<const HostDemand*> peerDemands;
  for (const auto& [host, demand] : aBudget.mPeers) {
    peerDemands.push_back(&demand);
  }
  std::ranges::sort(peerDemands, std::greater{}, [](const HostDemand* aDemand) {
    return aDemand->mReportExpiresAt;
  });
  peerDemands.resize(std::min(peerDemands.size(), kMaxRelayedDemands));
  for (const HostDemand* demand : peerDemands) {
    aDemands.mDemands.push_back(
      { .mService = aService,
        .mHost = demand->mHost,
        .mIncarnation = demand->mIncarnation,
        .mSequence = demand->mSequence,
        .mUndeferredPerMinute = static_cast<std::uint64_t>(demand->mUndeferredPerMinute) });
  }
}

} // namespace

ScopedAdmission::ScopedAdmission(AdmissionController& aController,
                                 ServiceId aService,
                                 QueueTicket aTicket)
  : mController(&aController)
  , mService(std::move(aService))
  , mTicket(aTicket)
{
}

ScopedAdmission::ScopedAdmission(ScopedAdmission&& aOther) noexcept
  : mController(std::exchange(aOther.mController, nullptr))
  , mService(std::move(aOther.mService))
  , mTicket(aOther.mTicket)
{
}

ScopedAdmission::~ScopedAdmission()
{
  if (mController != nullptr) {
    mController->EndRequest(mService, mTicket);
  }
}

AdmissionController::AdmissionController(AdmissionControllerOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

AdmissionState&
AdmissionController::StateFor(const ServiceDocument& aDocument)
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
  state.mOptions.mMaxQueued = MaxQueued();
  return state;
}

// Returns how many requests may wait for one service. Services whose requests all wait leave room
// for the others, however many they are: n of them leave a part of 1 / (n + 1).
std::size_t
AdmissionController::MaxQueued() const
{
  std::size_t taken = 0;
  for (const auto& [service, state] : mStates) {
    taken += state.mQueue.mPlaces.size() + state.mRunning.size();
  }
  return std::max(kMinQueued, mOptions.mMaxRequests - std::min(mOptions.mMaxRequests, taken));
}

void
AdmissionController::Apply(AdmissionState& aState, const AdmissionEvent& aEvent, Instant aNow)
{
  for (const AdmissionEffect& effect : Step(aState, aEvent, aNow)) {
    const auto waiter = mWaiters.find(TicketOf(effect));
    if (waiter != mWaiters.end()) {
      waiter->second->mDecision = effect;
      waiter->second->mDecided.Signal();
    }
  }
}

AdmissionEffect
AdmissionController::WaitForDecision(AdmissionState& aState, QueueTicket aTicket, Waiter& aWaiter)
{
  while (!aWaiter.mDecision.has_value()) {
    const auto queued = aState.mQueue.mPlaces.find(aTicket);
    if (queued == aState.mQueue.mPlaces.end()) {
      return RefuseRequest{ .mTicket = aTicket, .mRetryAt = Now() };
    }
    const Milliseconds remaining = Remaining(queued->second.second, Now()) + Milliseconds{ 1 };
    const bool timedOut = aWaiter.mDecided.WaitWithTimeout(&mMutex, absl::FromChrono(remaining));
    if (timedOut && !aWaiter.mDecision.has_value()) {
      Apply(aState, AdmissionTimerExpired{}, Now());
    }
  }
  return *aWaiter.mDecision;
}

absl::StatusOr<ScopedAdmission>
AdmissionController::WaitForAdmission(const ServiceDocument& aDocument, RequestArrived aArrival)
{
  const absl::MutexLock lock{ &mMutex };
  AdmissionState& state = StateFor(aDocument);
  Waiter waiter;
  aArrival.mTicket = ++mLastTicket;
  mWaiters[aArrival.mTicket] = &waiter;
  Apply(state, aArrival, Now());
  const AdmissionEffect decision = WaitForDecision(state, aArrival.mTicket, waiter);
  mWaiters.erase(aArrival.mTicket);
  if (const auto* refusal = std::get_if<RefuseRequest>(&decision)) {
    return RefusalStatus(*refusal, Now());
  }
  return ScopedAdmission{ *this, aDocument.mService, aArrival.mTicket };
}

void
AdmissionController::EndRequest(const ServiceId& aService, QueueTicket aTicket)
{
  const absl::MutexLock lock{ &mMutex };
  const auto state = mStates.find(aService);
  if (state != mStates.end()) {
    Apply(state->second, RequestEnded{ .mTicket = aTicket }, Now());
  }
}

bool
AdmissionController::ConsumeRetry(const ServiceId& aService)
{
  const absl::MutexLock lock{ &mMutex };
  const auto state = mStates.find(aService);
  return state != mStates.end() && trefoil::ConsumeRetry(state->second.mRetries);
}

AdmissionDemands
AdmissionController::UpdateHostView(const HostView& aView, Instant aNow)
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
    AppendPeerDemands(service, state.mPeak, demands);
  }
  return demands;
}

void
AdmissionController::ApplyPeerDemands(const AdmissionDemands& aDemands, Instant aNow)
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
AdmissionController::Counts(const ServiceId& aService) const
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
