// Decides how many servers of a service to order in each zone.
//
//   RecordDemand(scaling, host, service, promptTokens, now);
//   for (const ServerOrder& order : DueOrders(scaling, inputs, now)) { ... }
//   OnOrderAnswered(scaling, order, accepted, now);
//
// Reclaimable servers carry the load because they cost a fraction of on-demand ones. They are
// spread over the zones because all reclaimable servers of a zone are reclaimed together. A few
// on-demand servers are kept in each zone, and more are ordered while reclaimable ones are
// missing. An order states the total number of servers, not a difference. Plain data and pure
// functions; the caller sends the orders.
#pragma once

#include "trefoil/steering/control_codec.h"

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

// The prompt tokens of the requests that hosts had to forward to a service. mTokens is their
// number since mPeriodStart, mHostTotals the last total of each host.
struct DemandHistory
{
  std::map<HostId, double> mHostTotals;
  double mTokens = 0;
  Instant mPeriodStart;
  // Tokens per second in the last periods, each with the end of its period.
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
  // The count of the last order that the platform accepted; -1 before the first one.
  int mAcceptedCount = -1;
  Instant mAcceptedAt;
  // The earliest time of the next order.
  Instant mNextOrderAt;
  // Since when fewer servers have been needed than mAcceptedCount.
  Instant mSurplusSince;
};

struct ScalingState
{
  std::map<OrderKey, OrderState> mOrders;
  std::map<ServiceId, DemandHistory> mDemand;
  // The servers that ran when this host took over the duty at mStartedAt. They are kept until
  // the demand has been measured.
  std::map<ServiceId, int> mServersAtStart;
  Instant mStartedAt;
};

struct ZonePlan
{
  int mReclaimable = 0;
  int mOnDemand = 0;

  friend bool operator==(const ZonePlan&, const ZonePlan&) = default;
};

// Records the total of prompt tokens that a host has been asked to forward since it started.
void
RecordDemand(ScalingState& aState,
             const HostId& aHost,
             const ServiceId& aService,
             double aPromptTokens,
             Instant aNow);

// Returns the highest demand of the last 20 s in prompt tokens per second; 0 if there was none.
double
PeakDemand(const ScalingState& aState, const ServiceId& aService);

// Returns how many servers should run in each zone if `aServersNeeded` are needed in total.
std::map<AvailabilityZoneId, ZonePlan>
PlanServers(const ScalingInputs& aInputs, const CatalogueService& aService, int aServersNeeded);

// Returns how many servers the demand requires in total. Until the demand has been measured,
// this is not less than the number of servers that ran when this host took over the duty.
int
ServersNeeded(ScalingState& aState,
              const ScalingInputs& aInputs,
              const ServiceId& aService,
              Instant aNow);

// Discards the state of an earlier term as holder. Must be called when this host takes over the
// duty.
void
ResetScaling(ScalingState& aState, Instant aNow);

// Returns the orders that are due. None of them is returned again before its retry delay is
// over.
std::vector<ServerOrder>
DueOrders(ScalingState& aState, const ScalingInputs& aInputs, Instant aNow);

// Handles the answer of the platform to an order. An order that was not accepted is repeated after
// the retry delay.
void
OnOrderAnswered(ScalingState& aState, const ServerOrder& aOrder, bool aAccepted, Instant aNow);

} // namespace trefoil
