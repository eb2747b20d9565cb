// How many servers of a service to order in each zone.
//
//   for (const ServerOrder& order : DueOrders(scaling, inputs, now)) { ... }
//   OnOrderAnswered(scaling, order, accepted, now);
//
// Orders are absolute. Reclaimable servers carry the load where they are offered, since they cost a
// fraction; others are kept in each zone, so that a reclaim of all reclaimable servers leaves some.
// Pure functions; the caller sends the orders.
#pragma once

#include "trefoil/steering/platform_codec.h"

#include <map>
#include <tuple>
#include <vector>

namespace trefoil {

struct ScalingInputs
{
  const Catalogue* mCatalogue = nullptr;
  const ServerRegistry* mServers = nullptr;
  // The zones in which servers may be ordered.
  std::vector<AvailabilityZoneId> mZones;
  // Prompt tokens that arrive a second, by service.
  std::map<ServiceId, double> mTokensPerSecond;
};

struct OrderKey
{
  ServiceId mService;
  AvailabilityZoneId mZone;
  bool mReclaimable = false;

  friend auto operator<=>(const OrderKey&, const OrderKey&) = default;
};

struct OrderState
{
  // The count that the platform accepted last, -1 for none.
  int mAccepted = -1;
  // No order is sent before.
  Instant mNextAt;
};

struct ScalingState
{
  std::map<OrderKey, OrderState> mOrders;
};

// Returns the orders that are due and notes them as under way.
std::vector<ServerOrder>
DueOrders(ScalingState& aState, const ScalingInputs& aInputs, Instant aNow);

void
OnOrderAnswered(ScalingState& aState, const ServerOrder& aOrder, bool aAccepted, Instant aNow);

// Returns how many servers of a kind should run in a zone.
int
WantedServers(const ScalingInputs& aInputs,
              const CatalogueService& aService,
              const AvailabilityZoneId& aZone,
              bool aReclaimable);

} // namespace trefoil
