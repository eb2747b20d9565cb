// How many servers of a service to order in each zone.
//
//   NoteDemand(scaling, host, service, promptTokens, now);
//   for (const ServerOrder& order : DueOrders(scaling, inputs, now)) { ... }
//   OnOrderAnswered(scaling, order, accepted, now);
//
// Reclaimable servers carry the load, since they cost a fraction, spread over the zones, since all
// of a zone are reclaimed at once. A few lasting servers are kept in each zone, and more are
// ordered while reclaimable ones are missing. Orders are absolute. Pure functions; the caller sends
// the orders.
#pragma once

#include "trefoil/steering/platform_codec.h"

#include <deque>
#include <map>
#include <vector>

namespace trefoil {

struct ScalingInputs
{
  const Catalogue* mCatalogue = nullptr;
  const ServerRegistry* mServers = nullptr;
  // The zones in which servers may be ordered.
  std::vector<AvailabilityZoneId> mZones;
};

// The prompt tokens that the hosts were asked to forward to a service.
struct DemandTrack
{
  std::map<HostId, double> mTotals;
  double mTokens = 0;
  Instant mSince;
  // Tokens a second over the newest periods, each with its end.
  std::deque<std::pair<Instant, double>> mRates;
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
  Instant mAcceptedAt;
  // No order is sent before.
  Instant mNextAt;
  // Since when fewer servers are wanted than were accepted.
  Instant mLowerSince;
};

struct ScalingState
{
  std::map<OrderKey, OrderState> mOrders;
  std::map<ServiceId, DemandTrack> mDemand;
  // The servers that ran when the duty was taken up, and when that was: they are kept until the
  // demand is known.
  std::map<ServiceId, int> mAtStart;
  Instant mStartedAt;
};

struct ZonePlan
{
  int mReclaimable = 0;
  int mLasting = 0;

  friend bool operator==(const ZonePlan&, const ZonePlan&) = default;
};

// Takes in the prompt tokens that a host has forwarded since its start.
void
NoteDemand(ScalingState& aState,
           const HostId& aHost,
           const ServiceId& aService,
           double aPromptTokens,
           Instant aNow);

// Returns the highest demand of late, in prompt tokens a second; 0 while there was none.
double
PeakDemand(const ScalingState& aState, const ServiceId& aService);

// Returns how many servers should run in each zone where so many are needed in all.
std::map<AvailabilityZoneId, ZonePlan>
PlanServers(const ScalingInputs& aInputs, const CatalogueService& aService, int aNeeded);

// Returns how many servers the demand needs in all; not fewer than ran at the start until it is
// known.
int
ServersNeeded(ScalingState& aState,
              const ScalingInputs& aInputs,
              const ServiceId& aService,
              Instant aNow);

// Forgets what an earlier time of duty found. Called when the duty is taken up.
void
StartScaling(ScalingState& aState, Instant aNow);

// Returns the orders that are due and notes them as under way.
std::vector<ServerOrder>
DueOrders(ScalingState& aState, const ScalingInputs& aInputs, Instant aNow);

void
OnOrderAnswered(ScalingState& aState, const ServerOrder& aOrder, bool aAccepted, Instant aNow);

} // namespace trefoil
