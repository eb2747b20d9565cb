#include "trefoil/steering/scaling.h"

#include <algorithm>

namespace trefoil {
namespace {

// An order that was refused, or is not known to have arrived, is repeated after this.
constexpr Milliseconds kOrderPause{ 2'000 };
// Servers of each kind kept in a zone.
constexpr int kReclaimableInZone = 3;
constexpr int kLastingInZone = 1;

} // namespace

int
WantedServers(const ScalingInputs& /*aInputs*/,
              const CatalogueService& aService,
              const AvailabilityZoneId& /*aZone*/,
              bool aReclaimable)
{
  const ScalingBounds& bounds = *aService.mScaling;
  const int lasting = std::clamp(kLastingInZone, std::max(1, bounds.mLeast), bounds.mMost);
  if (!aReclaimable) {
    return lasting;
  }
  return bounds.mReclaimablePrice > 0 ? std::min(kReclaimableInZone, bounds.mMost - lasting) : 0;
}

std::vector<ServerOrder>
DueOrders(ScalingState& aState, const ScalingInputs& aInputs, Instant aNow)
{
  std::vector<ServerOrder> orders;
  for (const auto& [name, service] : aInputs.mCatalogue->mServices) {
    if (!service.mScaling.has_value()) {
      continue;
    }
    for (const AvailabilityZoneId& zone : aInputs.mZones) {
      for (const bool reclaimable : { true, false }) {
        const int wanted = WantedServers(aInputs, service, zone, reclaimable);
        OrderState& state = aState.mOrders[{ name, zone, reclaimable }];
        if (state.mAccepted == wanted || !HasPassed(state.mNextAt, aNow)) {
          continue;
        }
        state.mNextAt = aNow + kOrderPause;
        orders.push_back({ .mService = name,
                           .mZone = zone,
                           .mCount = wanted,
                           .mReclaimable = reclaimable });
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
  } else {
    state.mNextAt = aNow + kOrderPause;
  }
}

} // namespace trefoil
