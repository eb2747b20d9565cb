// Decides how many servers of a service to order in each zone.
//
//   RecordDemand(scaling, host, service, load, now);
//   for (const ServerOrder& order : DueOrders(scaling, inputs, now)) { ... }
//   OnOrderAnswered(scaling, order, accepted, now);
//
// The number of servers follows from what the requests need: the prompt tokens that a server of
// the service prefills per second, learned from the answers, and the slots that the requests
// occupy. Reclaimable servers carry the load because they cost a fraction of on-demand ones. They
// are spread over the zones because all reclaimable servers of a zone are reclaimed together.
// On-demand servers are ordered for what would be missing if the zone with the most reclaimable
// servers lost them next: reclaims often follow each other while no reclaimable servers can be
// ordered. A few on-demand servers are kept in each zone. An order states the total number of
// servers, not a difference. Plain data and pure functions; the caller sends the orders.
#pragma once

#include "trefoil/forward/traffic_view.h"
#include "trefoil/steering/control_codec.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace trefoil {

struct ScalingInputs
{
  const Catalogue* mCatalogue = nullptr;
  const ServerRegistry* mServers = nullptr;
  // The zones in which servers may be ordered.
  std::vector<AvailabilityZoneId> mZones;
  // The services that need the servers of several versions, and since when. An order states the
  // number of servers of all versions together, so that one for fewer than there are could end all
  // those of the version that is moved to.
  std::map<ServiceId, Instant> mMoving;
  // Zones that get no requests. Their servers count for nothing and no order is sent for them, not
  // one for fewer either: it could end running requests, and the evacuation may end soon.
  std::set<AvailabilityZoneId> mEvacuatedZones;
};

// What the requests to a service needed in one period.
struct Demand
{
  // Prompt tokens per second, those in caches included.
  double mTokensPerSecond = 0;
  // The mean number of requests that were at servers at the same time.
  double mConcurrentRequests = 0;
};

// The load of a service, as reported by the hosts. mLoad is what was added since mPeriodStart,
// mHostTotals the last totals of each host.
struct DemandHistory
{
  std::map<HostId, ServiceLoad> mHostTotals;
  ServiceLoad mLoad;
  Instant mPeriodStart;
  // The demand in the last periods, each with the end of its period.
  std::deque<std::pair<Instant, Demand>> mPeriods;
  // All prefills since this host took over the duty.
  double mPrefillTokens = 0;
  double mPrefillMs = 0;
  // When the demand was first above 0; empty if it has not been.
  std::optional<Instant> mFirstDemandAt;
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
  // Whether the zone had no room for all the servers of the last order, since others were still
  // running there. It is repeated until they have left.
  bool mLacksRoom = false;
  // The earliest time of the next order.
  Instant mNextOrderAt;
  // Since when fewer servers have been needed than mAcceptedCount.
  Instant mSurplusSince;
};

struct InitialServers
{
  int mCount = 0;
  // When the count last increased.
  Instant mIncreasedAt;
  // Whether all of them have registered.
  bool mIsComplete = false;
};

struct ScalingState
{
  std::map<OrderKey, OrderState> mOrders;
  std::map<ServiceId, DemandHistory> mDemand;
  // The servers that ran when this host took over the duty at mStartedAt. As many are kept until
  // the demand has been measured.
  std::map<ServiceId, InitialServers> mInitialServers;
  Instant mStartedAt;
};

struct ZonePlan
{
  int mReclaimable = 0;
  int mOnDemand = 0;

  friend bool operator==(const ZonePlan&, const ZonePlan&) = default;
};

// Records the load of a service on a host since the host's start.
void
RecordDemand(ScalingState& aState,
             const HostId& aHost,
             const ServiceId& aService,
             const ServiceLoad& aTotals,
             Instant aNow);

// Returns the most tokens per second and the median of the concurrent requests in the last 20 s; 0
// if there was no demand. Requests that wait at a few faulty servers raise the number of concurrent
// ones for a short time without a need for more servers.
Demand
PeakDemand(const ScalingState& aState, const ServiceId& aService);

// Returns the prompt tokens per second that one server of the service prefills.
double
PrefillTokensPerServer(const ScalingState& aState, const ServiceId& aService);

// Returns how many servers should run in each zone that is not evacuated if `aServersNeeded` are
// needed in total.
std::map<AvailabilityZoneId, ZonePlan>
PlanServers(const ScalingInputs& aInputs, const CatalogueService& aService, int aServersNeeded);

// Returns how many servers the demand requires in total. Until the demand has been measured,
// this is not less than the number of servers that ran when this host took over the duty.
int
ServersNeeded(const ScalingState& aState,
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
