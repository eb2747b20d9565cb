#include "trefoil/steering/scaling.h"

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

// An order that was refused, or is not known to have arrived, is repeated after this.
constexpr Milliseconds kOrderPause{ 2'000 };
// Fewer servers are ordered once fewer were wanted for so long: a wave of the load is longer.
constexpr Milliseconds kLowerAfter{ 4'000 };
// Prompt tokens a second, cached parts included, that one server reads in time for its goals. From
// trials on the standard days: 40,000 and 52,000 are worth the same, 28,000 and 65,000 less.
constexpr double kTokensPerServer = 46'000;
// Reclaimable servers ordered for each one needed, so that the loss of a zone leaves most of them.
constexpr double kReclaimableSpare = 2.0;
// Lasting servers kept in each zone.
constexpr int kLastingInZone = 1;
// The part of a zone's servers that may be reclaimable; the rest can be replaced by lasting ones.
constexpr double kReclaimablePart = 0.6;
// The demand is taken over periods of this length, and the highest of the newest ones counts.
constexpr Milliseconds kDemandPeriod{ 2'000 };
constexpr Milliseconds kDemandMemory{ 20'000 };
// Servers that start together with the hosts have registered after this.
constexpr Milliseconds kRegistersWithin{ 3'500 };
// A holder that has just taken up the duty knows the demand of the day after this.
constexpr Milliseconds kDemandKnownAfter{ 20'000 };
// A server that was ordered is registered so long after its start-up time.
constexpr Milliseconds kBootMargin{ 3'000 };

int
CountServers(const ServerRegistry& aServers,
             const ServiceId& aService,
             const AvailabilityZoneId* aZone,
             bool aReclaimable)
{
  return static_cast<int>(std::ranges::count_if(aServers.mServers, [&](const auto& aItem) {
    const RegisteredServer& server = aItem.second;
    return server.mService == aService && server.mPhase == ServerPhase::kReady &&
           server.mReclaimable == aReclaimable && (aZone == nullptr || server.mZone == *aZone);
  }));
}

int
LeastLasting(const ScalingBounds& aBounds)
{
  return std::max(kLastingInZone, aBounds.mMin);
}

int
CeilingOf(double aNumber)
{
  return static_cast<int>(std::ceil(aNumber));
}

} // namespace

void
NoteDemand(ScalingState& aState,
           const HostId& aHost,
           const ServiceId& aService,
           double aPromptTokens,
           Instant aNow)
{
  DemandTrack& track = aState.mDemand[aService];
  const auto [total, fresh] = track.mTotals.try_emplace(aHost, aPromptTokens);
  if (!fresh) {
    // A host that was started again counts from nothing.
    track.mTokens += std::max(0.0, aPromptTokens - total->second);
    total->second = aPromptTokens;
  }
  if (track.mSince == Instant{}) {
    track.mSince = aNow;
  }
  if (aNow - track.mSince >= kDemandPeriod) {
    const double seconds = std::chrono::duration<double>(aNow - track.mSince).count();
    track.mRates.emplace_back(aNow, track.mTokens / seconds);
    track.mTokens = 0;
    track.mSince = aNow;
  }
  while (!track.mRates.empty() && aNow - track.mRates.front().first > kDemandMemory) {
    track.mRates.pop_front();
  }
}

double
PeakDemand(const ScalingState& aState, const ServiceId& aService)
{
  const auto found = aState.mDemand.find(aService);
  double peak = 0;
  if (found != aState.mDemand.end()) {
    for (const auto& [at, rate] : found->second.mRates) {
      peak = std::max(peak, rate);
    }
  }
  return peak;
}

int
ServersNeeded(ScalingState& aState,
              const ScalingInputs& aInputs,
              const ServiceId& aService,
              Instant aNow)
{
  const double demand = PeakDemand(aState, aService);
  const int needed = CeilingOf(demand / kTokensPerServer);
  const int present = CountServers(*aInputs.mServers, aService, nullptr, true) +
                      CountServers(*aInputs.mServers, aService, nullptr, false);
  int& atStart = aState.mAtStart[aService];
  if (aNow - aState.mStartedAt < kRegistersWithin) {
    atStart = present;
  }
  const bool known = demand > 0 && aNow - aState.mStartedAt >= kDemandKnownAfter;
  return known ? needed : std::max(needed, atStart);
}

void
StartScaling(ScalingState& aState, Instant aNow)
{
  aState = {};
  aState.mStartedAt = aNow;
}

std::map<AvailabilityZoneId, ZonePlan>
PlanServers(const ScalingInputs& aInputs, const CatalogueService& aService, int aNeeded)
{
  const ScalingBounds& bounds = *aService.mScaling;
  const auto zones = static_cast<double>(aInputs.mZones.size());
  int reclaimable = 0;
  if (bounds.mReclaimablePrice > 0) {
    reclaimable = std::min(CeilingOf(aNeeded * kReclaimableSpare / zones),
                           static_cast<int>(bounds.mMax * kReclaimablePart));
  }
  const int missing = aNeeded - CountServers(*aInputs.mServers, aService.mName, nullptr, true);
  const int least = LeastLasting(bounds);
  const int lasting =
    std::clamp(CeilingOf(missing / zones), least, std::max(least, bounds.mMax - reclaimable));
  std::map<AvailabilityZoneId, ZonePlan> plan;
  for (const AvailabilityZoneId& zone : aInputs.mZones) {
    plan[zone] = { .mReclaimable = reclaimable, .mLasting = lasting };
  }
  return plan;
}

std::vector<ServerOrder>
DueOrders(ScalingState& aState, const ScalingInputs& aInputs, Instant aNow)
{
  std::vector<ServerOrder> orders;
  for (const auto& [name, service] : aInputs.mCatalogue->mServices) {
    if (!service.mScaling.has_value()) {
      continue;
    }
    const int needed = ServersNeeded(aState, aInputs, name, aNow);
    if (aNow - aState.mStartedAt < kRegistersWithin) {
      continue;
    }
    const bool idle = PeakDemand(aState, name) <= 0;
    for (const auto& [zone, plan] : PlanServers(aInputs, service, needed)) {
      for (const bool reclaimable : { true, false }) {
        const int wanted = reclaimable ? plan.mReclaimable : plan.mLasting;
        OrderState& state = aState.mOrders[{ name, zone, reclaimable }];
        if (state.mAccepted < 0) {
          // What runs was ordered by a holder before this one, or by the platform itself.
          state.mAccepted = CountServers(*aInputs.mServers, name, &zone, reclaimable);
        }
        const bool lost = state.mAccepted == wanted &&
                          aNow - state.mAcceptedAt > service.mScaling->mBootTime + kBootMargin &&
                          CountServers(*aInputs.mServers, name, &zone, reclaimable) < wanted;
        if (wanted >= state.mAccepted) {
          state.mLowerSince = aNow;
        }
        // Before there is work, lasting servers go as soon as reclaimable ones are there. Later
        // they stay for a while, since zones are often reclaimed one after the other.
        const bool relieved = !reclaimable && idle;
        const bool lower =
          wanted < state.mAccepted && (relieved || aNow - state.mLowerSince >= kLowerAfter);
        if (!(wanted > state.mAccepted || lower || lost) || !HasPassed(state.mNextAt, aNow)) {
          continue;
        }
        state.mNextAt = aNow + kOrderPause;
        orders.push_back(
          { .mService = name, .mZone = zone, .mCount = wanted, .mReclaimable = reclaimable });
      }
    }
  }
  return orders;
}

void
OnOrderAnswered(ScalingState& aState, const ServerOrder& aOrder, bool aAccepted, Instant aNow)
{
  OrderState& state = aState.mOrders[{ aOrder.mService, aOrder.mZone, aOrder.mReclaimable }];
  if (aAccepted) {
    state.mAccepted = aOrder.mCount;
    state.mAcceptedAt = aNow;
  } else {
    state.mNextAt = aNow + kOrderPause;
  }
}

} // namespace trefoil
