#include "trefoil/steering/scaling.h"

#include "trefoil/base/median.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace trefoil {
namespace {

// An order that was refused, or that may not have arrived, is repeated after this delay.
constexpr Milliseconds kOrderRetryDelay{ 2'000 };
// Fewer servers are ordered only after fewer have been needed for this long: a wave of the load
// lasts longer.
constexpr Milliseconds kScaleDownDelay{ 4'000 };
// The fractions of its observed prefill rate and of its slots that a server is planned to use. All
// prompt tokens count, including those that are in a cache, since a cache is lost with its server.
// The observed rate includes the delays that every request has, so it is below the one that a
// server reaches under load. Free slots keep the time to the first event short.
constexpr double kPlannedPrefill = 0.9;
constexpr double kPlannedSlots = 0.7;
// Before prefills have been observed, the rate is estimated as 60,000 tokens per second, with the
// weight of ten seconds of prefills. Common accelerators prefill 20,000 to 100,000.
constexpr double kInitialTokensPerMs = 60;
constexpr double kInitialPrefillMs = 10'000;
constexpr double kMsPerSecond = 1'000;
// Reclaimable servers ordered for each server needed, so that most of the needed capacity
// remains when a zone is lost.
constexpr double kReclaimablePerNeededServer = 1.6;
// On-demand servers kept in each zone.
constexpr int kMinOnDemandInZone = 1;
// Max fraction of a zone's servers that may be reclaimable. The rest leaves room for on-demand
// servers that replace them.
constexpr double kMaxReclaimableShare = 0.6;
// Demand is measured over periods of this length; the highest period within kDemandWindow
// counts.
constexpr Milliseconds kDemandPeriod{ 2'000 };
constexpr Milliseconds kDemandWindow{ 20'000 };
// Servers that start together with the hosts register during this time, and longer if there are
// many: until none was added for kRegistrationPause, at most for kMaxRegistrationTime.
constexpr Milliseconds kRegistrationTime{ 3'500 };
constexpr Milliseconds kRegistrationPause{ 1'000 };
constexpr Milliseconds kMaxRegistrationTime{ 8'000 };
// The demand is known when it has been measured for this long.
constexpr Milliseconds kDemandSettleTime{ 10'000 };
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

// Counts the servers that ran when this host took over the duty. Returns whether all of them have
// registered: none has been added for a while, or registrations have been awaited long enough.
bool
CountInitialServers(ScalingState& aState,
                    const ServerRegistry& aServers,
                    const ServiceId& aService,
                    Instant aNow)
{
  InitialServers& initial = aState.mInitialServers[aService];
  if (initial.mIsComplete) {
    return true;
  }
  const int present = CountReadyServers(aServers, aService, nullptr, true) +
                      CountReadyServers(aServers, aService, nullptr, false);
  if (present > initial.mCount) {
    initial.mCount = present;
    initial.mIncreasedAt = aNow;
  }
  const Instant::duration elapsed = aNow - aState.mStartedAt;
  initial.mIsComplete =
    (elapsed >= kRegistrationTime && aNow - initial.mIncreasedAt >= kRegistrationPause) ||
    elapsed >= kMaxRegistrationTime;
  return initial.mIsComplete;
}

double
MeanSlots(const ServerRegistry& aServers, const ServiceId& aService)
{
  double slots = 0;
  int servers = 0;
  for (const auto& [id, server] : aServers.mServers) {
    if (server.mService == aService) {
      slots += server.mSlots;
      ++servers;
    }
  }
  return std::max(1.0, servers == 0 ? 0.0 : slots / servers);
}

// Returns the servers of the service that occupy room in the zone, draining ones included.
int
CountServersInZone(const ServerRegistry& aServers,
                   const ServiceId& aService,
                   const AvailabilityZoneId& aZone)
{
  return static_cast<int>(std::ranges::count_if(aServers.mServers, [&](const auto& aItem) {
    return aItem.second.mService == aService && aItem.second.mZone == aZone;
  }));
}

std::vector<AvailabilityZoneId>
OpenZones(const ScalingInputs& aInputs)
{
  std::vector<AvailabilityZoneId> zones;
  std::ranges::copy_if(
    aInputs.mZones, std::back_inserter(zones), [&aInputs](const AvailabilityZoneId& aZone) {
      return !aInputs.mEvacuatedZones.contains(aZone);
    });
  return zones;
}

// Restarts the time since when fewer servers have been needed in evacuated zones, so that none is
// released as soon as a zone is in use again.
void
KeepServersOfEvacuatedZones(ScalingState& aState, const ScalingInputs& aInputs, Instant aNow)
{
  for (auto& [key, order] : aState.mOrders) {
    if (aInputs.mEvacuatedZones.contains(key.mZone)) {
      order.mSurplusSince = aNow;
    }
  }
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
             const ServiceLoad& aTotals,
             Instant aNow)
{
  DemandHistory& history = aState.mDemand[aService];
  const auto [found, inserted] = history.mHostTotals.try_emplace(aHost, aTotals);
  if (!inserted) {
    ServiceLoad& before = found->second;
    // The totals of a restarted host begin at 0 again.
    const auto increase = [&aTotals, &before](double ServiceLoad::*aField) {
      return std::max(0.0, aTotals.*aField - before.*aField);
    };
    history.mLoad.mPromptTokens += increase(&ServiceLoad::mPromptTokens);
    history.mLoad.mBusyMs += increase(&ServiceLoad::mBusyMs);
    history.mPrefillTokens += increase(&ServiceLoad::mPrefillTokens);
    history.mPrefillMs += increase(&ServiceLoad::mPrefillMs);
    before = aTotals;
  }
  if (history.mPeriodStart == Instant{}) {
    history.mPeriodStart = aNow;
  }
  if (aNow - history.mPeriodStart >= kDemandPeriod) {
    const double seconds = std::chrono::duration<double>(aNow - history.mPeriodStart).count();
    const Demand demand{ .mTokensPerSecond = history.mLoad.mPromptTokens / seconds,
                         .mConcurrentRequests = history.mLoad.mBusyMs / kMsPerSecond / seconds };
    history.mPeriods.emplace_back(aNow, demand);
    if (demand.mConcurrentRequests > 0 && !history.mFirstDemandAt.has_value()) {
      history.mFirstDemandAt = history.mPeriodStart;
    }
    history.mLoad = {};
    history.mPeriodStart = aNow;
  }
  while (!history.mPeriods.empty() && aNow - history.mPeriods.front().first > kDemandWindow) {
    history.mPeriods.pop_front();
  }
}

Demand
PeakDemand(const ScalingState& aState, const ServiceId& aService)
{
  Demand peak;
  const auto found = aState.mDemand.find(aService);
  if (found == aState.mDemand.end() || found->second.mPeriods.empty()) {
    return peak;
  }
  std::vector<double> concurrent;
  for (const auto& [at, demand] : found->second.mPeriods) {
    peak.mTokensPerSecond = std::max(peak.mTokensPerSecond, demand.mTokensPerSecond);
    concurrent.push_back(demand.mConcurrentRequests);
  }
  peak.mConcurrentRequests = Median(std::move(concurrent));
  return peak;
}

double
PrefillTokensPerServer(const ScalingState& aState, const ServiceId& aService)
{
  double tokens = kInitialTokensPerMs * kInitialPrefillMs;
  double milliseconds = kInitialPrefillMs;
  const auto found = aState.mDemand.find(aService);
  if (found != aState.mDemand.end()) {
    tokens += found->second.mPrefillTokens;
    milliseconds += found->second.mPrefillMs;
  }
  return kMsPerSecond * tokens / milliseconds;
}

int
ServersNeeded(const ScalingState& aState,
              const ScalingInputs& aInputs,
              const ServiceId& aService,
              Instant aNow)
{
  const Demand demand = PeakDemand(aState, aService);
  // Prefill and decoding share a server's time, so what they need adds up.
  const double prefilling = demand.mTokensPerSecond / PrefillTokensPerServer(aState, aService);
  const double decoding = demand.mConcurrentRequests / MeanSlots(*aInputs.mServers, aService);
  const int needed = CeilToInt(prefilling / kPlannedPrefill + decoding / kPlannedSlots);
  const auto history = aState.mDemand.find(aService);
  const bool isDemandKnown = history != aState.mDemand.end() &&
                             history->second.mFirstDemandAt.has_value() &&
                             aNow - *history->second.mFirstDemandAt >= kDemandSettleTime;
  if (isDemandKnown) {
    return needed;
  }
  const auto initial = aState.mInitialServers.find(aService);
  return std::max(needed, initial == aState.mInitialServers.end() ? 0 : initial->second.mCount);
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
  const std::vector<AvailabilityZoneId> openZones = OpenZones(aInputs);
  if (openZones.empty()) {
    return {};
  }
  const auto zones = static_cast<double>(openZones.size());
  int reclaimable = 0;
  if (bounds.mReclaimablePriceRatio > 0) {
    reclaimable = std::min(CeilToInt(aServersNeeded * kReclaimablePerNeededServer / zones),
                           static_cast<int>(bounds.mMax * kMaxReclaimableShare));
  }
  int running = 0;
  int mostInZone = 0;
  for (const AvailabilityZoneId& zone : openZones) {
    const int inZone = CountReadyServers(*aInputs.mServers, aService.mName, &zone, true);
    running += inZone;
    mostInZone = std::max(mostInZone, inZone);
  }
  const int missing = aServersNeeded - (running - mostInZone);
  const int minOnDemand = MinOnDemand(bounds);
  const int onDemand = std::clamp(
    CeilToInt(missing / zones), minOnDemand, std::max(minOnDemand, bounds.mMax - reclaimable));
  std::map<AvailabilityZoneId, ZonePlan> plan;
  for (const AvailabilityZoneId& zone : openZones) {
    plan[zone] = { .mReclaimable = reclaimable, .mOnDemand = onDemand };
  }
  return plan;
}

std::vector<ServerOrder>
DueOrders(ScalingState& aState, const ScalingInputs& aInputs, Instant aNow)
{
  std::vector<ServerOrder> orders;
  KeepServersOfEvacuatedZones(aState, aInputs, aNow);
  for (const auto& [name, service] : aInputs.mCatalogue->mServices) {
    if (!service.mScaling.has_value()) {
      continue;
    }
    if (!CountInitialServers(aState, *aInputs.mServers, name, aNow)) {
      continue;
    }
    const int needed = ServersNeeded(aState, aInputs, name, aNow);
    const auto moving = aInputs.mMoving.find(name);
    const bool isMoving = moving != aInputs.mMoving.end();
    // The platform starts the servers of the new version at the order of a move.
    const bool hasNewVersion =
      isMoving && aNow - moving->second > service.mScaling->mBootTime + kBootMargin;
    const bool idle = PeakDemand(aState, name).mConcurrentRequests <= 0;
    for (const auto& [zone, plan] : PlanServers(aInputs, service, needed)) {
      for (const bool reclaimable : { true, false }) {
        const int desired = reclaimable ? plan.mReclaimable : plan.mOnDemand;
        OrderState& state = aState.mOrders[{ name, zone, reclaimable }];
        const int ready = CountReadyServers(*aInputs.mServers, name, &zone, reclaimable);
        if (state.mAcceptedCount < 0) {
          // The running servers were ordered by an earlier holder or by the platform itself.
          state.mAcceptedCount = ready;
        }
        const Milliseconds patience =
          state.mLacksRoom ? kOrderRetryDelay : service.mScaling->mBootTime + kBootMargin;
        const bool serversMissing =
          state.mAcceptedCount == desired && aNow - state.mAcceptedAt > patience && ready < desired;
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
            !HasPassed(state.mNextOrderAt, aNow) ||
            (isMoving && (!hasNewVersion || desired <= ready))) {
          continue;
        }
        state.mNextOrderAt = aNow + kOrderRetryDelay;
        state.mLacksRoom = CountServersInZone(*aInputs.mServers, name, zone) + desired - ready >
                           service.mScaling->mMax;
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
