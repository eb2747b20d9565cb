// Sums the traffic updates of large fleets by availability zone.
//
//   std::vector<HostId> aggregators = ZoneAggregators(table, aggregation, zone, now);
//   PeerUpdate added = ApplyTotals(table, aggregation, message, wallNow, now);
//   FleetStatus status = StatusOfFleet(table, aggregation, now);
//
// With updates from each host to all others, the load of a host would grow with the number of
// hosts. Here a host sends its updates only to the two aggregators of its zone. These send the sums
// of the zone to the aggregators of the other zones, and to each host of the zone the sums of the
// whole fleet without that host. Totals of overlapping aggregators are combined as described in
// merged_totals.h.
//
// The aggregators are the first hosts of a zone by rendezvous rank. An aggregator that does not
// answer is suspected to be down by those that miss its answers, and the next one by rank takes its
// place. Nothing else follows from a suspicion: a host that is silent may still be working. The
// messages of an aggregator are made in totals_messages.h. Plain data and pure functions.
#pragma once

#include "trefoil/forward/traffic_view.h"
#include "trefoil/steering/merged_totals.h"
#include "trefoil/steering/peer_table.h"
#include "trefoil/wire/message.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace trefoil {

// An aggregator that this host exchanges messages with.
struct AggregatorContact
{
  // When the first message was sent that has not been answered; empty if none awaits an answer.
  std::optional<Instant> mAwaitingSince;
  std::optional<Instant> mLastHeardAt;
  Instant mSuspectedUntil;
};

// The totals of another zone.
struct ZoneSums
{
  MergedTotals mTotals;
  // The largest counts that any aggregator of the zone has reported.
  UsageWindows mUsage;
  // The newest message of each aggregator and when it was received.
  std::map<HostId, std::pair<Instant, TotalsMessage>> mMessages;
  // How far the zone's median wall clock is ahead of this host's.
  Milliseconds mClockOffset{ 0 };
};

struct AggregationState
{
  // Identify the totals that this host sends. The epoch changes when their counts begin anew.
  std::uint64_t mEpoch = 0;
  std::uint64_t mSequence = 0;
  Instant mLastRunAt;
  // Whether this process was frozen before the last run.
  bool mWasFrozen = false;
  std::map<HostId, AggregatorContact> mContacts;
  std::map<AvailabilityZoneId, ZoneSums> mZones;
  // The totals of the fleet without this host, as its aggregators report them.
  ZoneSums mFleet;
};

// What a host knows about the fleet as a whole.
struct FleetStatus
{
  // Entry hosts, this one included: all, and those in contact with this one.
  int mHosts = 1;
  int mReachableHosts = 1;
  // The correction to add to this host's wall clock.
  Milliseconds mClockCorrection{ 0 };
  // Servers that several other hosts report as broken.
  std::set<BackendServerId> mBroken;
};

// Returns the hosts of `aZone` that messages are sent to: the two first by rank that are not
// suspected and, while one of these has not answered yet, as many further ones that have. Those
// that have answered come first. This host can be among them.
std::vector<HostId>
ZoneAggregators(const PeerTable& aTable,
                const AggregationState& aState,
                const AvailabilityZoneId& aZone,
                Instant aNow);

// Records that a message that is answered with totals was sent to `aHost`.
void
RecordSent(AggregationState& aState, const HostId& aHost, Instant aNow);

// Must be called at each update interval before the messages are sent. Suspects the aggregators
// that have not answered and drops totals that are too old. Returns the hosts that are newly
// suspected.
std::vector<HostId>
BeginAggregationRound(PeerTable& aTable, AggregationState& aState, Instant aNow);

// Applies a message of an aggregator. Returns what it adds to the messages before it.
PeerUpdate
ApplyTotals(const PeerTable& aTable,
            AggregationState& aState,
            const TotalsMessage& aMessage,
            WallTime aWallNow,
            Instant aNow);

// Returns the hosts that this one reports to: the aggregators of its zone and the hosts that do not
// support aggregation.
std::vector<std::pair<HostId, ListedHost>>
AggregatedUpdateRecipients(const PeerTable& aTable, const AggregationState& aState, Instant aNow);

// Returns the endpoints that news is sent to, such as evidence of crashes and decisions on version
// moves. `aIsOwn` is whether it comes from this host; otherwise it is only forwarded.
std::set<Endpoint>
NewsRecipients(const PeerTable& aTable, const AggregationState& aState, bool aIsOwn, Instant aNow);

// The endpoints that news is relayed to in a fleet that uses aggregation.
struct RelayRecipients
{
  bool mIsAggregator = false;
  // The aggregators of this host's zone and of the others, without this host.
  std::set<Endpoint> mAggregators;
  std::set<Endpoint> mOtherZones;
  // The hosts of this zone.
  std::set<Endpoint> mMembers;
};

RelayRecipients
RelayRecipientsOf(const PeerTable& aTable, const AggregationState& aState, Instant aNow);

// Returns the view of the fleet, from the totals in a fleet that uses aggregation, otherwise from
// the updates of the other hosts.
FleetStatus
StatusOfFleet(const PeerTable& aTable, const AggregationState& aState, Instant aNow);

// Returns the list of hosts to use from now on when the store lists `aListed`. The store drops the
// entries of hosts that cannot renew their leases although the other hosts reach them. As long as
// more hosts are in contact than it lists, the known entries that it lacks are kept: hosts that
// read the list at different times would otherwise report to different aggregators, of which each
// sums only a part of the zone.
std::map<HostId, ListedHost>
ListedHostsAfter(const PeerTable& aTable,
                 const AggregationState& aState,
                 std::map<HostId, ListedHost> aListed,
                 Instant aNow);

// Returns whether this host writes the records that the hosts share. Hosts that are in touch agree
// on one writer.
bool
IsSharedRecordWriter(const PeerTable& aTable, const AggregationState& aState, Instant aNow);

// Returns what all other hosts have counted since this one hears of them.
const Counters&
CountersOfOthers(const PeerTable& aTable, const AggregationState& aState);

// Returns the requests of each account in usage window `aWindow`, summed over all other hosts: the
// larger of what the aggregators report and of what the hosts themselves have sent.
std::map<ClientAccountId, std::int64_t>
UsageOfFleet(const PeerTable& aTable, const AggregationState& aState, std::int64_t aWindow);

// Returns the holder of the duties that this host sends its usage to; `std::nullopt` if it is this
// host or not known.
std::optional<HostId>
HolderToReportTo(const PeerTable& aTable, const AggregationState& aState, Instant aNow);

// Removes the usage of windows before `aWindow`.
void
DropAggregatedUsageBefore(AggregationState& aState, std::int64_t aWindow);

} // namespace trefoil
