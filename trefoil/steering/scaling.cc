#include "trefoil/steering/scaling.h"

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

// An order that was refused, or that may not have arrived, is repeated after this delay.
constexpr Milliseconds kOrderRetryDelay{ 2'000 };
// Fewer servers are ordered only after fewer have been needed for this long: a wave of the load
// lasts longer.
constexpr Milliseconds kScaleDownDelay{ 4'000 };
// Prompt tokens per second, cached parts included, that one server can read within the latency
// goals of its service. Values from 40,000 to 52,000 are equally good; 28,000 and 65,000 are
// worse.
constexpr double kTokensPerServer = 46'000;
// Reclaimable servers ordered for each server needed, so that most of the needed capacity
// remains when a zone is lost.
constexpr double kReclaimablePerNeededServer = 2.0;
// On-demand servers kept in each zone.
constexpr int kMinOnDemandInZone = 1;
// Max fraction of a zone's servers that may be reclaimable. The rest leaves room for on-demand
// servers that replace them.
constexpr double kMaxReclaimableShare = 0.6;
// Demand is measured over periods of this length; the highest period within kDemandWindow
// counts.
constexpr Milliseconds kDemandPeriod{ 2'000 };
constexpr Milliseconds kDemandWindow{ 20'000 };
// Servers that start together with the hosts have registered after this time.
constexpr Milliseconds kRegistrationTime{ 3'500 };
// A holder that has just taken over the duty has measured the demand after this time.
constexpr Milliseconds kDemandSettleTime{ 20'000 };
// A server that was ordered has registered this long after its boot time.
constexpr Milliseconds kBootMargin{ 3'000 };

int
CountReadyServers(const ServerRegistry& aServers,
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
MinOnDemand(const ScalingBounds& aBounds)
{
  return std::max(kMinOnDemandInZone, aBounds.mMin);
}

int
CeilToInt(double aNumber)
{
  return static_cast<int>(std::ceil(aNumber));
}

} // namespace

void
RecordDemand(ScalingState& aState,
             const HostId& aHost,
             const ServiceId& aService,
             double aPromptTokens,
             Instant aNow)
{
  DemandHistory& history = aState.mDemand[aService];
  const auto [total, inserted] = history.mHostTotals.try_emplace(aHost, aPromptTokens);
  if (!inserted) {
    // The total of a restarted host begins at 0 again.
    history.mTokens += std::max(0.0, aPromptTokens - total->second);
    total->second = aPromptTokens;
  }
  if (history.mPeriodStart == Instant{}) {
    history.mPeriodStart = aNow;
  }
  if (aNow - history.mPeriodStart >= kDemandPeriod) {
    const double seconds = std::chrono::duration<double>(aNow - history.mPeriodStart).count();
    history.mRates.emplace_back(aNow, history.mTokens / seconds);
    history.mTokens = 0;
    history.mPeriodStart = aNow;
  }
  while (!history.mRates.empty() && aNow - history.mRates.front().first > kDemandWindow) {
    history.mRates.pop_front();
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
  const int needed = CeilToInt(demand / kTokensPerServer);
  const int present = CountReadyServers(*aInputs.mServers, aService, nullptr, true) +
                      CountReadyServers(*aInputs.mServers, aService, nullptr, false);
  int& serversAtStart = aState.mServersAtStart[aService];
  if (aNow - aState.mStartedAt < kRegistrationTime) {
    serversAtStart = present;
  }
  const bool isDemandKnown = demand > 0 && aNow - aState.mStartedAt >= kDemandSettleTime;
  return isDemandKnown ? needed : std::max(needed, serversAtStart);
}

void
ResetScaling(ScalingState& aState, Instant aNow)
{
  aState = {};
  aState.mStartedAt = aNow;
}

std::map<AvailabilityZoneId, ZonePlan>
PlanServers(const ScalingInputs& aInputs, const CatalogueService& aService, int aServersNeeded)
{
  const ScalingBounds& bounds = *aService.mScaling;
  const auto zones = static_cast<double>(aInputs.mZones.size());
  int reclaimable = 0;
  if (bounds.mReclaimablePriceRatio > 0) {
    reclaimable = std::min(CeilToInt(aServersNeeded * kReclaimablePerNeededServer / zones),
                           static_cast<int>(bounds.mMax * kMaxReclaimableShare));
  }
  const int missing =
    aServersNeeded - CountReadyServers(*aInputs.mServers, aService.mName, nullptr, true);
  const int minOnDemand = MinOnDemand(bounds);
  const int onDemand = std::clamp(
    CeilToInt(missing / zones), minOnDemand, std::max(minOnDemand, bounds.mMax - reclaimable));
  std::map<AvailabilityZoneId, ZonePlan> plan;
  for (const AvailabilityZoneId& zone : aInputs.mZones) {
    plan[zone] = { .mReclaimable = reclaimable, .mOnDemand = onDemand };
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
    if (aNow - aState.mStartedAt < kRegistrationTime) {
      continue;
    }
    const bool idle = PeakDemand(aState, name) <= 0;
    for (const auto& [zone, plan] : PlanServers(aInputs, service, needed)) {
      for (const bool reclaimable : { true, false }) {
        const int desired = reclaimable ? plan.mReclaimable : plan.mOnDemand;
        OrderState& state = aState.mOrders[{ name, zone, reclaimable }];
        if (state.mAcceptedCount < 0) {
          // The running servers were ordered by an earlier holder or by the platform itself.
          state.mAcceptedCount = CountReadyServers(*aInputs.mServers, name, &zone, reclaimable);
        }
        const bool serversMissing =
          state.mAcceptedCount == desired &&
          aNow - state.mAcceptedAt > service.mScaling->mBootTime + kBootMargin &&
          CountReadyServers(*aInputs.mServers, name, &zone, reclaimable) < desired;
        if (desired >= state.mAcceptedCount) {
          state.mSurplusSince = aNow;
        }
        // While there is no demand, on-demand servers are released as soon as reclaimable ones
        // run. Under demand they stay for kScaleDownDelay, since zones are often reclaimed
        // shortly after each other.
        const bool releaseImmediately = !reclaimable && idle;
        const bool scaleDown =
          desired < state.mAcceptedCount &&
          (releaseImmediately || aNow - state.mSurplusSince >= kScaleDownDelay);
        if (!(desired > state.mAcceptedCount || scaleDown || serversMissing) ||
            !HasPassed(state.mNextOrderAt, aNow)) {
          continue;
        }
        state.mNextOrderAt = aNow + kOrderRetryDelay;
        orders.push_back(
          { .mService = name, .mZone = zone, .mCount = desired, .mReclaimable = reclaimable });
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
    state.mAcceptedCount = aOrder.mCount;
    state.mAcceptedAt = aNow;
  } else {
    state.mNextOrderAt = aNow + kOrderRetryDelay;
  }
}

} // namespace trefoil
