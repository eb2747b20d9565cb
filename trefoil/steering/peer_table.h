// The last traffic update of each other entry host, and what is derived from these updates.
//
//   PeerUpdate update = ApplyTrafficUpdate(table, message, now);
//   double share = QuotaShare(table, now);
//
// Plain data and pure functions.
#pragma once

#include "trefoil/forward/traffic_view.h"
#include "trefoil/steering/merged_totals.h"
#include "trefoil/wire/traffic_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace trefoil {

// Number of hosts that must report a server as broken. A single host may have lost only its own
// network path to the server.
inline constexpr std::uint32_t kMinBrokenReports = 2;

struct Peer
{
  TrafficUpdate mUpdate;
  // All counters of the last report.
  Counters mCounters;
  Instant mLastReceivedAt;
  // Whether the peer's incarnation sends further counters, and so understands them.
  bool mSendsCounters = false;
  // How far the peer's wall clock is ahead of this host's; negative if it is behind.
  Milliseconds mClockOffset{ 0 };
  // What the peer's current incarnation has counted while it was in touch with this host.
  Counters mGrowth;
};

// An entry host as listed in the store.
struct ListedHost
{
  // Where the host receives the messages of others.
  Endpoint mEndpoint;
  // Empty if the host's version of the program does not state it.
  AvailabilityZoneId mZone;

  friend bool operator==(const ListedHost&, const ListedHost&) = default;
};

struct PeerTable
{
  HostId mSelf;
  // The availability zone of this host.
  AvailabilityZoneId mZone;
  // The hosts listed in the store, this one included.
  std::map<HostId, ListedHost> mListedHosts;
  // Entries of hosts that are gone are kept.
  std::map<HostId, Peer> mPeers;
  // Earlier incarnations of the hosts, whose delayed messages are ignored.
  std::map<HostId, std::set<std::uint64_t>> mFormerIncarnations;
  // Usage by host, incarnation and window. It includes earlier incarnations and hosts that are
  // gone.
  std::map<HostId, std::map<std::uint64_t, UsageWindows>> mUsage;
  // The sums of Peer::mGrowth over all incarnations of all other hosts and of those of this zone.
  Counters mGrowth;
  Counters mZoneGrowth;
};

// Applies a message. Returns what it adds to the messages before it; the result is empty if the
// message is stale or was sent by this host.
PeerUpdate
ApplyTrafficUpdate(PeerTable& aTable, const TrafficUpdate& aUpdate, Instant aNow);

// Like ApplyTrafficUpdate, for a report with further counters.
PeerUpdate
ApplyHostReport(PeerTable& aTable, const HostReport& aReport, Instant aNow);

// Records the usage windows of a host.
void
ApplyUsage(PeerTable& aTable, const UsageUpdate& aUpdate);

// Returns whether `aUpdate` was sent by an incarnation other than the last one received from
// its host. False for this host's own messages.
bool
IsNewIncarnation(const PeerTable& aTable, const TrafficUpdate& aUpdate);

// Records the offset of the sender's wall clock, unless a newer update of it has been applied. Must
// be called after ApplyTrafficUpdate.
void
RecordPeerClock(PeerTable& aTable, const TrafficUpdate& aUpdate, WallTime aWallNow);

// Returns `aOffset`, or 0 if it is so small that differing message delays can cause it.
Milliseconds
ToleratedClockOffset(Milliseconds aOffset);

// Adds the use of quotas in `aAdded` to that in `aSum`.
void
AddQuotaUse(PeerUpdate& aSum, const PeerUpdate& aAdded);

// Returns whether the fleet is so large that updates are summed by zone (aggregation.h) instead of
// being sent to all hosts.
bool
UsesAggregation(const PeerTable& aTable);

// Returns the correction to add to this host's wall clock so that it matches the median clock
// of the live hosts. The median is not affected by a few hosts whose clocks have jumped.
// Returns 0 if the difference is within the tolerance.
Milliseconds
ClockCorrection(const PeerTable& aTable, Instant aNow);

// Returns the other hosts whose last update is recent and that are not leaving.
std::vector<HostId>
LivePeers(const PeerTable& aTable, Instant aNow);

// Returns the other hosts that may carry connections to servers for this one. With aggregation
// these are the listed ones, since this host does not hear from most of them.
Carriers
CarriersOf(const PeerTable& aTable, Instant aNow);

// Returns where a host receives messages, or `std::nullopt` if it is neither listed nor known from
// an update.
std::optional<Endpoint>
EndpointOf(const PeerTable& aTable, const HostId& aHost);

// Returns the number of entry hosts, this one included: those listed in the store and the live
// ones, without those that have announced that they leave.
int
HostCount(const PeerTable& aTable, Instant aNow);

// Returns the fraction of each quota, 0 to 1, that this host and its live peers may use
// together.
double
QuotaShare(const PeerTable& aTable, Instant aNow);

// Returns the interval between traffic updates. While each host receives the updates of all others,
// it grows with their number.
Milliseconds
TrafficUpdateInterval(const PeerTable& aTable, Instant aNow);

// How an update is sent to a host.
struct UpdateRecipient
{
  // Whether it includes usage windows.
  bool mNeedsUsage = false;
  // Whether the host takes a HostReport instead of a TrafficUpdate.
  bool mTakesReports = false;
};

// Returns how long it takes until what a host has counted is known to all others.
Milliseconds
PropagationTime(const PeerTable& aTable, Instant aNow);

// Returns the endpoints that updates are sent to. Usage is sent to the holder of the duties, which
// reports it, and to the hosts of this zone, which keep it for the next holder and to which traffic
// is free of charge. Hosts that are listed but have sent no recent update get it too.
std::map<Endpoint, UpdateRecipient>
TrafficUpdateRecipients(const PeerTable& aTable, Instant aNow);

// Returns the requests of each account in usage window `aWindow`, summed over all other hosts.
std::map<ClientAccountId, std::int64_t>
UsageOfPeers(const PeerTable& aTable, std::int64_t aWindow);

// Removes the usage of windows before `aWindow`.
void
DropUsageBefore(PeerTable& aTable, std::int64_t aWindow);

// Returns the servers that at least two live peers report as broken.
std::set<BackendServerId>
ServersReportedBroken(const PeerTable& aTable, Instant aNow);

} // namespace trefoil
