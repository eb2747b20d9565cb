// The last traffic update of each other entry host, and what is derived from these updates.
//
//   PeerUpdate update = ApplyTrafficUpdate(table, message, now);
//   double share = QuotaShare(table, now);
//
// Plain data and pure functions.
#pragma once

#include "trefoil/forward/traffic_view.h"
#include "trefoil/wire/traffic_message.h"

#include <map>
#include <set>
#include <vector>

namespace trefoil {

struct Peer
{
  TrafficUpdate mUpdate;
  Instant mLastReceivedAt;
  // How far the peer's wall clock is ahead of this host's; negative if it is behind.
  Milliseconds mClockOffset{ 0 };
};

struct PeerTable
{
  HostId mSelf;
  // The hosts listed in the store, this one included, and the endpoints on which they receive
  // messages.
  std::map<HostId, Endpoint> mListedHosts;
  // Entries of hosts that are gone are kept.
  std::map<HostId, Peer> mPeers;
  // Usage by host, incarnation and window. It includes earlier incarnations and hosts that are
  // gone.
  std::map<HostId, std::map<std::uint64_t, UsageWindows>> mUsage;
};

// Applies a message. Returns what it adds to the messages before it; the result is empty if the
// message is stale or was sent by this host.
PeerUpdate
ApplyTrafficUpdate(PeerTable& aTable, const TrafficUpdate& aUpdate, Instant aNow);

// Returns whether `aUpdate` was sent by an incarnation other than the last one received from
// its host. False for this host's own messages.
bool
IsNewIncarnation(const PeerTable& aTable, const TrafficUpdate& aUpdate);

// Records the offset of the sender's wall clock. Must be called after ApplyTrafficUpdate.
void
RecordPeerClock(PeerTable& aTable, const TrafficUpdate& aUpdate, WallTime aWallNow);

// Returns the correction to add to this host's wall clock so that it matches the median clock
// of the live hosts. The median is not affected by a few hosts whose clocks have jumped.
// Returns 0 if the difference is within the tolerance.
Milliseconds
ClockCorrection(const PeerTable& aTable, Instant aNow);

// Returns the other hosts whose last update is recent and that are not leaving.
std::vector<HostId>
LivePeers(const PeerTable& aTable, Instant aNow);

// Returns the number of entry hosts, this one included: those listed in the store and the live
// ones, without those that have announced that they leave.
int
HostCount(const PeerTable& aTable, Instant aNow);

// Returns the fraction of each quota, 0 to 1, that this host and its live peers may use
// together.
double
QuotaShare(const PeerTable& aTable, Instant aNow);

// Returns the interval between traffic updates. It grows with the number of hosts, since each
// host receives the updates of all others.
Milliseconds
TrafficUpdateInterval(const PeerTable& aTable, Instant aNow);

// Returns the endpoints that updates are sent to, each with whether the update includes usage
// windows. Usage is sent to the holder of the duties, which reports it, and to the hosts of
// zone `aZone`, which keep it for the next holder and to which traffic is free of charge. Hosts
// that are listed but have sent no recent update get it too.
std::map<Endpoint, bool>
TrafficUpdateRecipients(const PeerTable& aTable, const AvailabilityZoneId& aZone, Instant aNow);

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
