#include "trefoil/steering/aggregation.h"

#include "trefoil/base/digest.h"
#include "trefoil/base/median.h"
#include "trefoil/wire/crash_report_conversion.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <initializer_list>

namespace trefoil {
namespace {

// With two aggregators in a zone, the loss of one interrupts nothing.
constexpr std::size_t kAggregatorsPerZone = 2;
constexpr const char* kRankKey = "aggregator";
// An aggregator that has not answered for this long is suspected to be down: three update
// intervals, since datagrams can be lost.
constexpr Milliseconds kAnswerTimeout{ 1'500 };
// How long a suspected aggregator is left out. Then it is tried again beside the others.
constexpr Milliseconds kSuspicionTime{ 5'000 };
// An aggregator that shuts down is left out until its entry has disappeared from the store.
constexpr Milliseconds kLeavingTime{ 20'000 };
// Totals that have not been updated for longer do not count as in touch.
constexpr Milliseconds kTotalsMaxAge{ 2'000 };
// An older announcement of the holder does not show that it is still alive.
constexpr Milliseconds kHolderMaxAge{ 750 };
// A process whose round runs this long after the previous one was frozen in between.
constexpr Milliseconds kFreezeThreshold{ 1'500 };
// A crash is forwarded for this long, since a datagram can be lost.
constexpr Milliseconds kCrashForwardTime{ 3'000 };
// Crash reports in a message. They are some 100 bytes each and are sent to all hosts of a zone.
constexpr std::size_t kMaxCrashesForwarded = 48;
// The number of hosts that must report a server as broken. A single host may have lost only its own
// network path to the server.
constexpr std::uint32_t kMinBrokenReports = 2;
// The usage windows in a message: the current one and those whose counts may still change.
constexpr std::size_t kUsageWindowsSent = 3;

bool
IsSuspected(const AggregationState& aState, const HostId& aHost, Instant aNow)
{
  const auto contact = aState.mContacts.find(aHost);
  return contact != aState.mContacts.end() && !HasPassed(contact->second.mSuspectedUntil, aNow);
}

bool
HasAnswered(const AggregationState& aState, const HostId& aHost, Instant aNow)
{
  const auto contact = aState.mContacts.find(aHost);
  return contact != aState.mContacts.end() && contact->second.mLastHeardAt.has_value() &&
         aNow - *contact->second.mLastHeardAt <= kAnswerTimeout;
}

std::vector<HostId>
RankedHosts(const PeerTable& aTable, const AvailabilityZoneId& aZone)
{
  std::vector<std::pair<std::uint64_t, HostId>> ranked;
  for (const auto& [host, listed] : aTable.mListedHosts) {
    if (listed.mZone == aZone) {
      ranked.emplace_back(RendezvousScore(host.Value(), kRankKey), host);
    }
  }
  std::ranges::sort(ranked, std::greater<>{});
  std::vector<HostId> hosts;
  hosts.reserve(ranked.size());
  for (auto& [score, host] : ranked) {
    hosts.push_back(std::move(host));
  }
  return hosts;
}

void
MergeUsage(UsageWindows& aMerged, const std::vector<WindowCount>& aCounts)
{
  for (const WindowCount& count : aCounts) {
    std::int64_t& requests = aMerged[count.mWindow][count.mAccount];
    requests = std::max(requests, count.mRequests);
  }
}

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

std::int64_t
CountCrashes(const CrashReport& aReport)
{
  std::int64_t crashes = 0;
  for (const ServerCrashes& server : aReport.mCrashes) {
    crashes += server.mCrashes;
  }
  return crashes;
}

void
KeepCrash(ForwardedCrashes& aCrashes, const CrashReport& aReport, Instant aNow)
{
  const auto [found, inserted] = aCrashes.try_emplace({ aReport.mHost, aReport.mDigest });
  const CrashReport& known = found->second.mReport;
  // A repeated report does not prolong the forwarding.
  if (inserted || std::pair{ aReport.mCleared, CountCrashes(aReport) } >
                    std::pair{ known.mCleared, CountCrashes(known) }) {
    found->second = { .mReport = aReport, .mForwardUntil = aNow + kCrashForwardTime };
  }
}

// Returns the reports to forward. If connections to many servers break at once, these are the
// requests with the most crashes and the latest of the others.
std::vector<CrashReport>
SelectCrashes(std::initializer_list<const ForwardedCrashes*> aCrashes, Instant aNow)
{
  std::map<std::string, std::int64_t> crashesByDigest;
  std::vector<const ForwardedCrash*> selected;
  for (const ForwardedCrashes* crashes : aCrashes) {
    for (const auto& [key, crash] : *crashes) {
      if (!HasPassed(crash.mForwardUntil, aNow)) {
        crashesByDigest[key.second] += CountCrashes(crash.mReport);
        selected.push_back(&crash);
      }
    }
  }
  if (selected.size() > kMaxCrashesForwarded) {
    std::ranges::sort(selected, std::greater<>{}, [&](const ForwardedCrash* aItem) {
      return std::pair{ crashesByDigest[aItem->mReport.mDigest], aItem->mForwardUntil };
    });
    selected.resize(kMaxCrashesForwarded);
  }
  std::vector<CrashReport> reports;
  reports.reserve(selected.size());
  for (const ForwardedCrash* crash : selected) {
    reports.push_back(crash->mReport);
  }
  return reports;
}

// Returns the newest messages of a zone's or the fleet's aggregators that are not too old.
std::vector<const TotalsMessage*>
RecentMessages(const ZoneSums& aSums, Instant aNow)
{
  std::vector<const TotalsMessage*> recent;
  for (const auto& [host, received] : aSums.mMessages) {
    if (aNow - received.first <= kTotalsMaxAge) {
      recent.push_back(&received.second);
    }
  }
  return recent;
}

// Returns the largest value of a field in the recent messages; 0 if there are none.
std::uint32_t
LargestOf(const ZoneSums& aSums, std::uint32_t TotalsMessage::*aField, Instant aNow)
{
  std::uint32_t largest = 0;
  for (const TotalsMessage* message : RecentMessages(aSums, aNow)) {
    largest = std::max(largest, message->*aField);
  }
  return largest;
}

// Returns the holder of the duties as announced by a zone, empty if there is no recent
// announcement.
HostId
HolderIn(const ZoneSums& aSums, Instant aNow)
{
  for (const auto& [host, received] : aSums.mMessages) {
    if (!received.second.mHolder.Empty() && aNow - received.first <= kHolderMaxAge) {
      return received.second.mHolder;
    }
  }
  return {};
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

// Starts a new epoch if the process was frozen. What its members counted meanwhile arrives at once
// afterwards and must not look like new traffic, so the members are taken for new ones.
void
RestartAfterFreeze(PeerTable& aTable, AggregationState& aState, Instant aNow)
{
  const bool frozen = aState.mLastRunAt != Instant{} && aNow - aState.mLastRunAt > kFreezeThreshold;
  aState.mLastRunAt = aNow;
  if (frozen) {
    for (auto& [host, contact] : aState.mContacts) {
      contact.mAwaitingSince.reset();
    }
  }
  // The messages that waited during the freeze are read before the round that follows.
  if (std::exchange(aState.mWasFrozen, frozen) && !frozen) {
    ++aState.mEpoch;
    aTable.mZoneGrowth.clear();
    aTable.mPeers.clear();
  }
}

void
ExpireSums(ZoneSums& aSums, Instant aNow)
{
  ExpireSources(aSums.mTotals, kTotalsMaxAge, aNow);
  std::erase_if(aSums.mMessages,
                [aNow](const auto& aItem) { return aNow - aItem.second.first > kTotalsMaxAge; });
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
           .mCrashes = SelectCrashes({ &aState.mZoneCrashes }, aNow),
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
  message.mCrashes = SelectCrashes({ &aState.mZoneCrashes, &aState.mOtherCrashes }, aNow);
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

std::vector<HostId>
ZoneAggregators(const PeerTable& aTable,
                const AggregationState& aState,
                const AvailabilityZoneId& aZone,
                Instant aNow)
{
  std::vector<HostId> chosen;
  std::size_t answering = 0;
  for (const HostId& host : RankedHosts(aTable, aZone)) {
    if (IsSuspected(aState, host, aNow)) {
      continue;
    }
    const bool hasRank = chosen.size() < kAggregatorsPerZone;
    const bool answers = host == aTable.mSelf ? hasRank : HasAnswered(aState, host, aNow);
    if (hasRank || (answers && answering < kAggregatorsPerZone)) {
      const auto position =
        answers ? chosen.begin() + static_cast<std::ptrdiff_t>(answering) : chosen.end();
      chosen.insert(position, host);
      answering += answers ? 1 : 0;
    }
  }
  return chosen;
}

void
RecordSent(AggregationState& aState, const HostId& aHost, Instant aNow)
{
  AggregatorContact& contact = aState.mContacts[aHost];
  if (!contact.mAwaitingSince.has_value()) {
    contact.mAwaitingSince = aNow;
  }
}

std::vector<HostId>
BeginAggregationRound(PeerTable& aTable, AggregationState& aState, Instant aNow)
{
  RestartAfterFreeze(aTable, aState, aNow);
  std::vector<HostId> suspected;
  for (auto& [host, contact] : aState.mContacts) {
    if (contact.mAwaitingSince.has_value() && aNow - *contact.mAwaitingSince > kAnswerTimeout) {
      contact.mAwaitingSince.reset();
      contact.mSuspectedUntil = aNow + kSuspicionTime;
      suspected.push_back(host);
    }
  }
  std::erase_if(aState.mContacts,
                [&](const auto& aItem) { return !aTable.mListedHosts.contains(aItem.first); });
  ExpireSums(aState.mFleet, aNow);
  for (auto& [zone, sums] : aState.mZones) {
    ExpireSums(sums, aNow);
  }
  const auto isOver = [aNow](const auto& aItem) {
    return HasPassed(aItem.second.mForwardUntil, aNow);
  };
  std::erase_if(aState.mZoneCrashes, isOver);
  std::erase_if(aState.mOtherCrashes, isOver);
  return suspected;
}

void
RecordZoneCrashes(AggregationState& aState, const std::vector<CrashReport>& aCrashes, Instant aNow)
{
  for (const CrashReport& crash : aCrashes) {
    KeepCrash(aState.mZoneCrashes, crash, aNow);
  }
}

Datagrams
MakeTotalsMessages(const PeerTable& aTable,
                   AggregationState& aState,
                   const HostReport& aOwnReport,
                   PeerUpdate& aAdded,
                   WallTime aWallNow,
                   Instant aNow)
{
  Datagrams datagrams;
  const ZoneMembers members = MembersOfZone(aTable, aNow);
  const auto aggregators = ZoneAggregators(aTable, aState, aTable.mZone, aNow);
  const bool isAggregator = std::ranges::find(aggregators, aTable.mSelf) != aggregators.end();
  if (aState.mWasFrozen || (members.mLive.empty() && !isAggregator)) {
    return datagrams;
  }
  RecordZoneCrashes(aState, aOwnReport.mUpdate.mCrashes, aNow);
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

PeerUpdate
ApplyTotals(const PeerTable& aTable,
            AggregationState& aState,
            const TotalsMessage& aMessage,
            WallTime aWallNow,
            Instant aNow)
{
  PeerUpdate update;
  const bool isOwnZone = aMessage.mZone == aTable.mZone;
  if (isOwnZone != (aMessage.mScope == TotalsScope::kFleet)) {
    // The sums of this host's own zone come with those of the fleet.
    return update;
  }
  ZoneSums& sums = isOwnZone ? aState.mFleet : aState.mZones[aMessage.mZone];
  const auto previous = sums.mMessages.find(aMessage.mHost);
  if (previous != sums.mMessages.end() && previous->second.second.mEpoch == aMessage.mEpoch &&
      previous->second.second.mSequence >= aMessage.mSequence) {
    return update;
  }
  AggregatorContact& contact = aState.mContacts[aMessage.mHost];
  contact.mAwaitingSince.reset();
  contact.mLastHeardAt = aNow;
  contact.mSuspectedUntil = aMessage.mLeaving ? aNow + kLeavingTime : aNow;
  const Counters added = MergeTotals(sums.mTotals,
                                     { aMessage.mHost, aMessage.mEpoch },
                                     aMessage.mSequence,
                                     FromCounterTotals(aMessage.mCounters),
                                     aNow);
  MergeUsage(sums.mUsage, aMessage.mUsage);
  sums.mMessages[aMessage.mHost] = { aNow, aMessage };
  sums.mClockOffset = Milliseconds{ aMessage.mWallMs - UnixMilliseconds(aWallNow) };
  if (!isOwnZone) {
    for (const CrashReport& crash : aMessage.mCrashes) {
      KeepCrash(aState.mOtherCrashes, crash, aNow);
    }
    return update;
  }
  update.mQuotaUsed = AccountTotalsOf(added, CounterKind::kQuotaUsed);
  update.mQuotaAsked = AccountTotalsOf(added, CounterKind::kQuotaAsked);
  for (const CrashReport& crash : aMessage.mCrashes) {
    if (crash.mHost != aTable.mSelf) {
      update.mCrashes.push_back(ToCrashCount(crash));
    }
  }
  return update;
}

std::vector<std::pair<HostId, ListedHost>>
AggregatedUpdateRecipients(const PeerTable& aTable, const AggregationState& aState, Instant aNow)
{
  std::vector<std::pair<HostId, ListedHost>> recipients;
  for (const HostId& host : ZoneAggregators(aTable, aState, aTable.mZone, aNow)) {
    if (host != aTable.mSelf) {
      recipients.emplace_back(host, aTable.mListedHosts.at(host));
    }
  }
  for (const auto& [host, listed] : aTable.mListedHosts) {
    if (listed.mZone.Empty() && host != aTable.mSelf) {
      recipients.emplace_back(host, listed);
    }
  }
  return recipients;
}

FleetStatus
StatusOfFleet(const PeerTable& aTable, const AggregationState& aState, Instant aNow)
{
  FleetStatus status;
  if (!UsesAggregation(aTable)) {
    status.mHosts = HostCount(aTable, aNow);
    status.mReachableHosts = static_cast<int>(LivePeers(aTable, aNow).size()) + 1;
    status.mClockCorrection = ClockCorrection(aTable, aNow);
    status.mBroken = ServersReportedBroken(aTable, aNow);
    return status;
  }
  const auto live = static_cast<int>(LargestOf(aState.mFleet, &TotalsMessage::mLiveHosts, aNow));
  const auto leaving =
    static_cast<int>(LargestOf(aState.mFleet, &TotalsMessage::mLeavingHosts, aNow));
  status.mReachableHosts = std::max(1, live);
  status.mHosts =
    std::max(status.mReachableHosts, static_cast<int>(aTable.mListedHosts.size()) - leaving);
  for (const TotalsMessage* message : RecentMessages(aState.mFleet, aNow)) {
    for (const BrokenServer& server : message->mBroken) {
      if (server.mHosts >= kMinBrokenReports) {
        status.mBroken.insert(server.mServer);
      }
    }
  }
  if (!RecentMessages(aState.mFleet, aNow).empty()) {
    status.mClockCorrection = ToleratedClockOffset(aState.mFleet.mClockOffset);
  }
  return status;
}

bool
IsQuotaRecordWriter(const PeerTable& aTable, const AggregationState& aState, Instant aNow)
{
  if (!UsesAggregation(aTable)) {
    return std::ranges::all_of(LivePeers(aTable, aNow),
                               [&aTable](const HostId& aHost) { return aTable.mSelf < aHost; });
  }
  const bool isFirstZone = std::ranges::all_of(aState.mZones, [&](const auto& aItem) {
    return aTable.mZone < aItem.first || RecentMessages(aItem.second, aNow).empty();
  });
  const auto aggregators = ZoneAggregators(aTable, aState, aTable.mZone, aNow);
  const auto first = std::ranges::min_element(aggregators);
  return isFirstZone && first != aggregators.end() && *first == aTable.mSelf;
}

const Counters&
CountersOfOthers(const PeerTable& aTable, const AggregationState& aState)
{
  return UsesAggregation(aTable) ? aState.mFleet.mTotals.mTotals : aTable.mGrowth;
}

std::map<ClientAccountId, std::int64_t>
UsageOfFleet(const PeerTable& aTable, const AggregationState& aState, std::int64_t aWindow)
{
  if (!UsesAggregation(aTable)) {
    return UsageOfPeers(aTable, aWindow);
  }
  // Each of the two can miss hosts, but neither counts a request twice.
  auto counts = UsageOfPeers(aTable, aWindow);
  const auto window = aState.mFleet.mUsage.find(aWindow);
  if (window != aState.mFleet.mUsage.end()) {
    for (const auto& [account, requests] : window->second) {
      counts[account] = std::max(counts[account], requests);
    }
  }
  return counts;
}

std::optional<HostId>
HolderToReportTo(const PeerTable& aTable, const AggregationState& aState, Instant aNow)
{
  const HostId holder = HolderIn(aState.mFleet, aNow);
  if (holder.Empty() || holder == aTable.mSelf) {
    return std::nullopt;
  }
  return holder;
}

void
DropAggregatedUsageBefore(AggregationState& aState, std::int64_t aWindow)
{
  const auto drop = [aWindow](UsageWindows& aUsage) {
    aUsage.erase(aUsage.begin(), aUsage.lower_bound(aWindow));
  };
  drop(aState.mFleet.mUsage);
  for (auto& [zone, sums] : aState.mZones) {
    drop(sums.mUsage);
  }
}

} // namespace trefoil
