#include "trefoil/steering/totals_messages.h"

#include "trefoil/base/median.h"
#include "trefoil/steering/internal/aggregation_helpers.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <initializer_list>
#include <utility>

namespace trefoil {
namespace {

// The usage windows in a message: the current one and those whose counts may still change.
constexpr std::size_t kUsageWindowsSent = 3;

void
AddUsage(UsageWindows& aSum, const UsageWindows& aAdded)
{
  for (const auto& [window, counts] : aAdded) {
    for (const auto& [account, requests] : counts) {
      aSum[window][account] += requests;
    }
  }
}

std::vector<WindowCount>
NewestWindows(const UsageWindows& aUsage)
{
  std::vector<WindowCount> counts;
  std::size_t windows = 0;
  for (auto window = aUsage.rbegin(); window != aUsage.rend() && windows < kUsageWindowsSent;
       ++window, ++windows) {
    for (const auto& [account, requests] : window->second) {
      counts.push_back({ .mWindow = window->first, .mAccount = account, .mRequests = requests });
    }
  }
  return counts;
}

// The hosts of this zone that report to this host.
struct ZoneMembers
{
  std::vector<const Peer*> mLive;
  std::uint32_t mLeaving = 0;
};

ZoneMembers
MembersOfZone(const PeerTable& aTable, Instant aNow)
{
  ZoneMembers members;
  for (const auto& [host, peer] : aTable.mPeers) {
    if (peer.mUpdate.mZone != aTable.mZone) {
      continue;
    }
    if (peer.mUpdate.mLeaving) {
      members.mLeaving += aTable.mListedHosts.contains(host) ? 1 : 0;
    }
    if (aNow - peer.mLastReceivedAt <= kTotalsMaxAge) {
      members.mLive.push_back(&peer);
    }
  }
  return members;
}

// Returns the usage of this zone without that of one incarnation of `aExcluded`.
UsageWindows
ZoneUsage(const PeerTable& aTable, const TrafficUpdate& aOwnUpdate, const TrafficUpdate* aExcluded)
{
  UsageWindows usage;
  for (const auto& [host, incarnations] : aTable.mUsage) {
    const auto peer = aTable.mPeers.find(host);
    if (peer == aTable.mPeers.end() || peer->second.mUpdate.mZone != aTable.mZone) {
      continue;
    }
    for (const auto& [incarnation, windows] : incarnations) {
      const bool isExcluded =
        aExcluded != nullptr && aExcluded->mHost == host && aExcluded->mIncarnation == incarnation;
      if (!isExcluded) {
        AddUsage(usage, windows);
      }
    }
  }
  if (aExcluded != &aOwnUpdate) {
    for (const WindowCount& count : aOwnUpdate.mUsage) {
      usage[count.mWindow][count.mAccount] += count.mRequests;
    }
  }
  return usage;
}

std::map<BackendServerId, std::uint32_t>
BrokenInZone(const ZoneMembers& aMembers, const TrafficUpdate& aOwnUpdate)
{
  std::map<BackendServerId, std::uint32_t> broken;
  for (const Peer* member : aMembers.mLive) {
    for (const BackendServerId& server : member->mUpdate.mBroken) {
      ++broken[server];
    }
  }
  for (const BackendServerId& server : aOwnUpdate.mBroken) {
    ++broken[server];
  }
  return broken;
}

// Returns for each server the number of hosts that report it, over all zones.
std::map<BackendServerId, std::uint32_t>
BrokenInFleet(const AggregationState& aState,
              std::map<BackendServerId, std::uint32_t> aInZone,
              Instant aNow)
{
  for (const auto& [zone, sums] : aState.mZones) {
    std::map<BackendServerId, std::uint32_t> largest;
    for (const TotalsMessage* message : RecentMessages(sums, aNow)) {
      for (const BrokenServer& server : message->mBroken) {
        largest[server.mServer] = std::max(largest[server.mServer], server.mHosts);
      }
    }
    for (const auto& [server, hosts] : largest) {
      aInZone[server] += hosts;
    }
  }
  return aInZone;
}

std::vector<BrokenServer>
ToBrokenServers(const std::map<BackendServerId, std::uint32_t>& aBroken)
{
  std::vector<BrokenServer> servers;
  servers.reserve(aBroken.size());
  for (const auto& [server, hosts] : aBroken) {
    servers.push_back({ .mServer = server, .mHosts = hosts });
  }
  return servers;
}

// Starts with another part of the members in each round. A full link loses what is sent last, so
// that a fixed order would keep the same hosts without news.
void
RotateMembers(std::vector<const Peer*>& aMembers, std::uint64_t aSequence)
{
  // Within two rounds, each member is in the first half once; within four, in the first quarter.
  constexpr std::array<std::size_t, 4> kFirstQuarters{ 0, 2, 1, 3 };
  const std::size_t first =
    aMembers.size() * kFirstQuarters[aSequence % kFirstQuarters.size()] / kFirstQuarters.size();
  // clang-tidy 14 cannot compile std::ranges::rotate.
  std::rotate(
    aMembers.begin(), aMembers.begin() + static_cast<std::ptrdiff_t>(first), aMembers.end());
}

// Returns how far the median wall clock of the zone is ahead of this host's.
Milliseconds
ZoneClockOffset(const ZoneMembers& aMembers)
{
  std::vector<Milliseconds> offsets{ Milliseconds{ 0 } };
  for (const Peer* member : aMembers.mLive) {
    offsets.push_back(member->mClockOffset);
  }
  return Median(std::move(offsets));
}

Milliseconds
FleetClockOffset(const AggregationState& aState, Milliseconds aInZone, Instant aNow)
{
  std::vector<Milliseconds> offsets{ aInZone };
  for (const auto& [zone, sums] : aState.mZones) {
    if (!RecentMessages(sums, aNow).empty()) {
      offsets.push_back(sums.mClockOffset);
    }
  }
  return Median(std::move(offsets));
}

// Returns the totals of this zone, this host included.
Counters
ZoneCounters(const PeerTable& aTable, const HostReport& aOwnReport)
{
  Counters counters = aTable.mZoneGrowth;
  AddCounters(counters, CountersOf(aOwnReport));
  return counters;
}

void
Subtract(Counters& aSum, const Counters& aPart)
{
  for (const auto& [key, part] : aPart) {
    const auto total = aSum.find(key);
    if (total != aSum.end()) {
      total->second -= std::min(total->second, part);
    }
  }
}

// Returns the endpoints of the aggregators of another zone: those chosen by rank and those that
// have sent totals recently, since hosts can disagree about who is suspected.
std::map<HostId, Endpoint>
ZoneTargets(const PeerTable& aTable,
            const AggregationState& aState,
            const AvailabilityZoneId& aZone,
            Instant aNow)
{
  std::map<HostId, Endpoint> targets;
  const auto add = [&](const HostId& aHost) {
    const auto listed = aTable.mListedHosts.find(aHost);
    if (listed != aTable.mListedHosts.end()) {
      targets[aHost] = listed->second.mEndpoint;
    }
  };
  for (const HostId& host : ZoneAggregators(aTable, aState, aZone, aNow)) {
    add(host);
  }
  const auto sums = aState.mZones.find(aZone);
  if (sums != aState.mZones.end()) {
    for (const TotalsMessage* message : RecentMessages(sums->second, aNow)) {
      add(message->mHost);
    }
  }
  return targets;
}

std::set<AvailabilityZoneId>
OtherZones(const PeerTable& aTable)
{
  std::set<AvailabilityZoneId> zones;
  for (const auto& [host, listed] : aTable.mListedHosts) {
    if (listed.mZone != aTable.mZone && !listed.mZone.Empty()) {
      zones.insert(listed.mZone);
    }
  }
  return zones;
}

// Returns the holder of the duties if it is one of the zone's hosts, otherwise an empty id.
HostId
HolderInZone(const ZoneMembers& aMembers, const TrafficUpdate& aOwnUpdate, Instant aNow)
{
  if (aOwnUpdate.mHoldsDuties) {
    return aOwnUpdate.mHost;
  }
  for (const Peer* member : aMembers.mLive) {
    if (member->mUpdate.mHoldsDuties && aNow - member->mLastReceivedAt <= kHolderMaxAge) {
      return member->mUpdate.mHost;
    }
  }
  return {};
}

// Returns the sums of this zone, this host included.
TotalsMessage
MakeZoneTotals(const PeerTable& aTable,
               const AggregationState& aState,
               const ZoneMembers& aMembers,
               const HostReport& aOwnReport,
               WallTime aWallNow,
               Instant aNow)
{
  const TrafficUpdate& own = aOwnReport.mUpdate;
  const auto live = std::ranges::count_if(
    aMembers.mLive, [](const Peer* aItem) { return !aItem->mUpdate.mLeaving; });
  return { .mHost = aTable.mSelf,
           .mEpoch = aState.mEpoch,
           .mSequence = aState.mSequence,
           .mZone = aTable.mZone,
           .mScope = TotalsScope::kZone,
           .mLeaving = own.mLeaving,
           .mHolder = HolderInZone(aMembers, own, aNow),
           .mLiveHosts = static_cast<std::uint32_t>(live) + (own.mLeaving ? 0 : 1),
           .mLeavingHosts = aMembers.mLeaving + (own.mLeaving ? 1 : 0),
           .mWallMs = UnixMilliseconds(aWallNow + ZoneClockOffset(aMembers)),
           .mCounters = ToCounterTotals(ZoneCounters(aTable, aOwnReport)),
           .mUsage = NewestWindows(ZoneUsage(aTable, own, nullptr)),
           .mBroken = ToBrokenServers(BrokenInZone(aMembers, own)) };
}

// The sums of the fleet, from which the part of each receiver is taken.
struct FleetSums
{
  // All fields that are the same for all receivers.
  TotalsMessage mMessage;
  Counters mCounters;
  UsageWindows mUsageOfOtherZones;
  std::map<BackendServerId, std::uint32_t> mBroken;
};

FleetSums
MakeFleetSums(const PeerTable& aTable,
              const AggregationState& aState,
              const ZoneMembers& aMembers,
              const TotalsMessage& aZoneTotals,
              const HostReport& aOwnReport,
              WallTime aWallNow,
              Instant aNow)
{
  FleetSums fleet{ .mMessage = aZoneTotals, .mCounters = ZoneCounters(aTable, aOwnReport) };
  TotalsMessage& message = fleet.mMessage;
  message.mScope = TotalsScope::kFleet;
  for (const auto& [zone, sums] : aState.mZones) {
    AddCounters(fleet.mCounters, sums.mTotals.mTotals);
    AddUsage(fleet.mUsageOfOtherZones, sums.mUsage);
    if (message.mHolder.Empty()) {
      message.mHolder = HolderIn(sums, aNow);
    }
    message.mLiveHosts += LargestOf(sums, &TotalsMessage::mLiveHosts, aNow);
    message.mLeavingHosts += LargestOf(sums, &TotalsMessage::mLeavingHosts, aNow);
  }
  message.mWallMs =
    UnixMilliseconds(aWallNow + FleetClockOffset(aState, ZoneClockOffset(aMembers), aNow));
  fleet.mBroken = BrokenInFleet(aState, BrokenInZone(aMembers, aOwnReport.mUpdate), aNow);
  return fleet;
}

// Returns the sums of the fleet without `aReceiver`, which has counted `aReceiverPart` of them.
TotalsMessage
FleetTotalsFor(const FleetSums& aSums,
               const PeerTable& aTable,
               const TrafficUpdate& aOwnUpdate,
               const TrafficUpdate& aReceiver,
               const Counters& aReceiverPart)
{
  TotalsMessage message = aSums.mMessage;
  Counters counters = aSums.mCounters;
  Subtract(counters, aReceiverPart);
  message.mCounters = ToCounterTotals(counters);
  auto broken = aSums.mBroken;
  for (const BackendServerId& server : aReceiver.mBroken) {
    const auto found = broken.find(server);
    if (found != broken.end() && found->second > 0) {
      --found->second;
    }
  }
  message.mBroken = ToBrokenServers(broken);
  message.mUsage.clear();
  if (aReceiver.mHoldsDuties) {
    UsageWindows usage = ZoneUsage(aTable, aOwnUpdate, &aReceiver);
    AddUsage(usage, aSums.mUsageOfOtherZones);
    message.mUsage = NewestWindows(usage);
  }
  return message;
}

} // namespace

Datagrams
MakeTotalsMessages(const PeerTable& aTable,
                   AggregationState& aState,
                   const HostReport& aOwnReport,
                   PeerUpdate& aAdded,
                   WallTime aWallNow,
                   Instant aNow)
{
  Datagrams datagrams;
  ZoneMembers members = MembersOfZone(aTable, aNow);
  const auto aggregators = ZoneAggregators(aTable, aState, aTable.mZone, aNow);
  const bool isAggregator = std::ranges::find(aggregators, aTable.mSelf) != aggregators.end();
  if (aState.mWasFrozen || (members.mLive.empty() && !isAggregator)) {
    return datagrams;
  }
  ++aState.mSequence;
  const TotalsMessage zoneTotals =
    MakeZoneTotals(aTable, aState, members, aOwnReport, aWallNow, aNow);
  for (const AvailabilityZoneId& zone : OtherZones(aTable)) {
    for (const auto& [host, endpoint] : ZoneTargets(aTable, aState, zone, aNow)) {
      datagrams.push_back({ .mTo = endpoint, .mMessage = zoneTotals });
      RecordSent(aState, host, aNow);
    }
  }
  const FleetSums sums =
    MakeFleetSums(aTable, aState, members, zoneTotals, aOwnReport, aWallNow, aNow);
  RotateMembers(members.mLive, aState.mSequence);
  for (const Peer* member : members.mLive) {
    datagrams.push_back({ .mTo = member->mUpdate.mEndpoint,
                          .mMessage = FleetTotalsFor(
                            sums, aTable, aOwnReport.mUpdate, member->mUpdate, member->mGrowth) });
  }
  aAdded = ApplyTotals(
    aTable,
    aState,
    FleetTotalsFor(sums, aTable, aOwnReport.mUpdate, aOwnReport.mUpdate, CountersOf(aOwnReport)),
    aWallNow,
    aNow);
  return datagrams;
}

} // namespace trefoil
