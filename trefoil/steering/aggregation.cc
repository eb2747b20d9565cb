#include "trefoil/steering/aggregation.h"

#include "trefoil/base/digest.h"
#include "trefoil/steering/internal/aggregation_helpers.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <set>

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
// A process whose round runs this long after the previous one was frozen in between.
constexpr Milliseconds kFreezeThreshold{ 1'500 };

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
  return suspected;
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
    return update;
  }
  update.mQuotaUsed = AccountTotalsOf(added, CounterKind::kQuotaUsed);
  update.mQuotaAsked = AccountTotalsOf(added, CounterKind::kQuotaAsked);
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

std::set<Endpoint>
NewsRecipients(const PeerTable& aTable, const AggregationState& aState, bool aIsOwn, Instant aNow)
{
  std::set<Endpoint> recipients;
  if (!UsesAggregation(aTable)) {
    if (aIsOwn) {
      for (const auto& [endpoint, recipient] : TrafficUpdateRecipients(aTable, aNow)) {
        recipients.insert(endpoint);
      }
    }
    return recipients;
  }
  const RelayRecipients relay = RelayRecipientsOf(aTable, aState, aNow);
  if (aIsOwn || relay.mIsAggregator) {
    recipients = relay.mAggregators;
  }
  if (relay.mIsAggregator) {
    recipients.insert(relay.mOtherZones.begin(), relay.mOtherZones.end());
    recipients.insert(relay.mMembers.begin(), relay.mMembers.end());
  }
  return recipients;
}

RelayRecipients
RelayRecipientsOf(const PeerTable& aTable, const AggregationState& aState, Instant aNow)
{
  RelayRecipients recipients;
  const auto addAggregators = [&](std::set<Endpoint>& aEndpoints, const AvailabilityZoneId& aZone) {
    const auto aggregators = ZoneAggregators(aTable, aState, aZone, aNow);
    for (const HostId& host : aggregators) {
      if (host != aTable.mSelf) {
        aEndpoints.insert(aTable.mListedHosts.at(host).mEndpoint);
      }
    }
    return std::ranges::find(aggregators, aTable.mSelf) != aggregators.end();
  };
  recipients.mIsAggregator = addAggregators(recipients.mAggregators, aTable.mZone);
  std::set<AvailabilityZoneId> otherZones;
  for (const auto& [host, listed] : aTable.mListedHosts) {
    if (listed.mZone != aTable.mZone && !listed.mZone.Empty()) {
      otherZones.insert(listed.mZone);
    }
  }
  for (const AvailabilityZoneId& zone : otherZones) {
    addAggregators(recipients.mOtherZones, zone);
  }
  for (const HostId& host : LivePeers(aTable, aNow)) {
    const TrafficUpdate& member = aTable.mPeers.at(host).mUpdate;
    if (member.mZone == aTable.mZone) {
      recipients.mMembers.insert(member.mEndpoint);
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

std::map<HostId, ListedHost>
ListedHostsAfter(const PeerTable& aTable,
                 const AggregationState& aState,
                 std::map<HostId, ListedHost> aListed,
                 Instant aNow)
{
  if (UsesAggregation(aTable) &&
      StatusOfFleet(aTable, aState, aNow).mReachableHosts > static_cast<int>(aListed.size())) {
    aListed.insert(aTable.mListedHosts.begin(), aTable.mListedHosts.end());
  }
  return aListed;
}

bool
IsSharedRecordWriter(const PeerTable& aTable, const AggregationState& aState, Instant aNow)
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
