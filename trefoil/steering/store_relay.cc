#include "trefoil/steering/store_relay.h"

#include "trefoil/wire/age.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <set>
#include <utility>

namespace trefoil {
namespace {

// Hosts of a zone that watch the store: with two, the loss of one leaves another.
constexpr std::size_t kWatchersPerZone = 2;
// In a zone with fewer hosts each one watches the store: the calls saved would not be worth the
// delay.
constexpr std::size_t kMinHostsToRelay = 4;
constexpr const char* kRankKey = "store";
// A subscriber that has sent no query for several of its query intervals has stopped querying.
constexpr Milliseconds kSubscriptionTimeout{ 3'000 };
// With two, the loss of a zone leaves another.
constexpr std::size_t kWatchersPerFleet = 2;
// Ages of the records in replies beyond which these are not fresh. A sound watcher's record is at
// most two waits of a watch, or the time for which changes are gathered, old; that of a zone's
// watcher one query interval more.
constexpr Milliseconds kMaxFleetWatcherAge{ 1'500 };
constexpr Milliseconds kMaxZoneWatcherAge{ 1'900 };
// After this many fresh replies in sequence a zone's watcher queries the first one again: while it
// follows the one that stands by, its own record is older.
constexpr std::size_t kRepliesToReturn = 10;
// The store may return several changes of a key as one, so that two hosts that watch it see
// different ones. A refresh is relayed once in this time, so that a difference ends.
constexpr Milliseconds kRefreshRelayInterval{ 15'000 };
// At most so many at a time: servers that were listed together are due together, and would not fit
// into a message.
constexpr int kMaxRefreshesAtOnce = 10;
// The changes of two prefixes must fit into one datagram of 64 KB.
constexpr std::size_t kMaxRelayedBytes = 30'000;
// Pushes use at most half of a link of 10 Mbit/s, the slowest that an entry host is expected to
// have, and may be ahead of that by one large message.
constexpr std::size_t kPushedBytesPerMs = 625;
constexpr Milliseconds kMaxPushesAhead{ 25 };

std::size_t
BytesOf(const std::vector<StoreItem>& aItems)
{
  std::size_t bytes = 0;
  for (const StoreItem& item : aItems) {
    bytes += sizeof(StoreItem) + item.mKey.size() + item.mValue.size();
  }
  return bytes;
}

} // namespace

std::vector<HostId>
StoreWatchers(const PeerTable& aTable, const AggregationState& aAggregation, Instant aNow)
{
  if (UsesAggregation(aTable)) {
    auto aggregators = ZoneAggregators(aTable, aAggregation, aTable.mZone, aNow);
    aggregators.resize(std::min(aggregators.size(), kWatchersPerZone));
    return aggregators;
  }
  std::vector<HostId> hosts{ aTable.mSelf };
  for (const HostId& host : LivePeers(aTable, aNow)) {
    if (aTable.mPeers.at(host).mUpdate.mZone == aTable.mZone) {
      hosts.push_back(host);
    }
  }
  if (hosts.size() < kMinHostsToRelay) {
    return {};
  }
  std::ranges::sort(hosts, std::greater<>{}, [](const HostId& aHost) {
    return std::pair{ RendezvousScore(aHost.Value(), kRankKey), aHost };
  });
  hosts.resize(kWatchersPerZone);
  return hosts;
}

std::vector<HostId>
FleetWatchers(const PeerTable& aTable, const AggregationState& aAggregation, Instant aNow)
{
  if (!UsesAggregation(aTable)) {
    return {};
  }
  std::set<AvailabilityZoneId> zones{ aTable.mZone };
  for (const auto& [host, listed] : aTable.mListedHosts) {
    if (!listed.mZone.Empty()) {
      zones.insert(listed.mZone);
    }
  }
  std::vector<HostId> hosts;
  for (const AvailabilityZoneId& zone : zones) {
    const auto aggregators = ZoneAggregators(aTable, aAggregation, zone, aNow);
    if (!aggregators.empty()) {
      hosts.push_back(aggregators.front());
    }
  }
  std::ranges::sort(hosts, std::greater<>{}, [](const HostId& aHost) {
    return std::pair{ RendezvousScore(aHost.Value(), kRankKey), aHost };
  });
  hosts.resize(std::min(hosts.size(), kWatchersPerFleet));
  return hosts;
}

RelayPlan
PlanRelay(const HostId& aSelf,
          const std::vector<HostId>& aZoneWatchers,
          const std::vector<HostId>& aFleetWatchers)
{
  if (aZoneWatchers.empty()) {
    return {};
  }
  if (std::ranges::find(aZoneWatchers, aSelf) == aZoneWatchers.end()) {
    return { .mRole = RelayRole::kSubscriber, .mWatchers = aZoneWatchers };
  }
  std::vector<HostId> others = aFleetWatchers;
  std::erase(others, aSelf);
  if (others.empty()) {
    return {};
  }
  const bool isFirst = aFleetWatchers.front() == aSelf;
  return { .mRole = isFirst ? RelayRole::kFleetWatcher : RelayRole::kZoneWatcher,
           .mWatchers = std::move(others) };
}

bool
AdoptPlan(StoreRelay& aRelay, RelayPlan aPlan, std::size_t aFirstIndex)
{
  if (aPlan == RelayPlan{ .mRole = aRelay.mRole, .mWatchers = aRelay.mWatchers }) {
    return false;
  }
  aRelay.mRole = aPlan.mRole;
  aRelay.mWatchers = std::move(aPlan.mWatchers);
  aRelay.mWatcherIndex = aFirstIndex;
  aRelay.mMissedReplies = 0;
  aRelay.mFreshReplies = 0;
  return true;
}

bool
IsRelayed(const StoreRelay& aRelay)
{
  switch (aRelay.mRole) {
    case RelayRole::kWatcher:
    case RelayRole::kFleetWatcher:
      return false;
    case RelayRole::kZoneWatcher:
      return aRelay.mMissedReplies < aRelay.mWatchers.size();
    case RelayRole::kSubscriber:
      return true;
  }
  return false;
}

std::optional<HostId>
NextQueryTarget(StoreRelay& aRelay, Instant aNow)
{
  if (aRelay.mWatchers.empty()) {
    return std::nullopt;
  }
  if (!std::exchange(aRelay.mReplyReceived, false)) {
    ++aRelay.mWatcherIndex;
    ++aRelay.mMissedReplies;
    aRelay.mFreshReplies = 0;
  } else if (aRelay.mRole == RelayRole::kZoneWatcher && aRelay.mFreshReplies >= kRepliesToReturn) {
    aRelay.mWatcherIndex = 0;
    aRelay.mFreshReplies = 0;
  }
  ++aRelay.mQueryNumber;
  aRelay.mQuerySentAt = aNow;
  return aRelay.mWatchers[aRelay.mWatcherIndex % aRelay.mWatchers.size()];
}

std::optional<HostId>
NextStandIn(StoreRelay& aRelay, const std::vector<HostId>& aPeers, Instant aNow)
{
  if (aPeers.empty()) {
    return std::nullopt;
  }
  ++aRelay.mQueryNumber;
  aRelay.mQuerySentAt = aNow;
  return aPeers[aRelay.mQueryNumber % aPeers.size()];
}

std::optional<Instant>
OnRelayReply(StoreRelay& aRelay, std::uint64_t aQueryNumber, Milliseconds aAge)
{
  if (aQueryNumber == 0 || aQueryNumber != aRelay.mQueryNumber) {
    return std::nullopt;
  }
  const Milliseconds maxAge =
    aRelay.mRole == RelayRole::kSubscriber ? kMaxZoneWatcherAge : kMaxFleetWatcherAge;
  if (!aRelay.mReplyReceived && aAge <= maxAge) {
    aRelay.mReplyReceived = true;
    aRelay.mMissedReplies = 0;
    ++aRelay.mFreshReplies;
  }
  if (aRelay.mRole == RelayRole::kFleetWatcher) {
    return std::nullopt;
  }
  return aRelay.mQuerySentAt;
}

bool
LacksChanges(const RelaySubscriber& aSubscriber,
             const PrefixRecord& aOperators,
             const PrefixRecord& aServers)
{
  return aSubscriber.mOperatorRevision < aOperators.mLastChange ||
         aSubscriber.mServerRevision < aServers.mLastChange;
}

void
RecordPush(StoreRelay& aRelay, std::size_t aBytes, Instant aNow)
{
  const auto microseconds = static_cast<std::int64_t>(aBytes * 1'000 / kPushedBytesPerMs);
  aRelay.mPushedUntil =
    std::max(aRelay.mPushedUntil, aNow) + std::chrono::microseconds{ microseconds };
}

Instant
NextPushAt(const StoreRelay& aRelay)
{
  return aRelay.mPushedUntil - kMaxPushesAhead;
}

void
ExpireSubscribers(StoreRelay& aRelay, Instant aNow)
{
  std::erase_if(aRelay.mSubscribers, [aNow](const auto& aItem) {
    return aNow - aItem.second.mLastReceivedAt > kSubscriptionTimeout;
  });
}

std::vector<StoreItem>
ChangesToRelay(std::map<std::string, Instant>& aRelayedAt,
               const std::vector<StoreItem>& aItems,
               const std::function<bool(const StoreItem&)>& aIsRefresh,
               Instant aNow)
{
  // Of several changes of a key, the last may repeat what an earlier one has changed.
  std::map<std::string, int> changesOfKey;
  for (const StoreItem& item : aItems) {
    ++changesOfKey[item.mKey];
  }
  std::vector<StoreItem> relayed;
  int refreshes = 0;
  for (const StoreItem& item : aItems) {
    if (item.mRemoved) {
      aRelayedAt.erase(item.mKey);
      relayed.push_back(item);
      continue;
    }
    Instant& relayedAt = aRelayedAt.try_emplace(item.mKey, aNow).first->second;
    const bool isChange = changesOfKey[item.mKey] > 1 || !aIsRefresh(item);
    const bool isDue = aNow - relayedAt >= kRefreshRelayInterval && refreshes < kMaxRefreshesAtOnce;
    if (isChange || isDue) {
      refreshes += isChange ? 0 : 1;
      relayedAt = aNow;
      relayed.push_back(item);
    }
  }
  return relayed;
}

RelayedPrefix
MakeRelayedPrefix(const PrefixRecord& aRecord, std::int64_t aSinceRevision, Instant aNow)
{
  RelayedPrefix relayed{
    .mRevision = aRecord.mRevision,
    .mLastChange = aRecord.mLastChange,
    .mAgeMs = std::chrono::duration_cast<Milliseconds>(aNow - aRecord.mConfirmedAt).count()
  };
  auto changes = ChangesSince(aRecord, aSinceRevision);
  if (!changes.has_value() || BytesOf(*changes) > kMaxRelayedBytes) {
    return relayed;
  }
  relayed.mItemsSince = aSinceRevision;
  relayed.mItems = std::move(*changes);
  return relayed;
}

PrefixUpdate
MakePrefixUpdate(const RelayedPrefix& aRelayed, std::optional<Instant> aQuerySentAt)
{
  PrefixUpdate update{ .mRevision = aRelayed.mRevision,
                       .mLastChange = aRelayed.mLastChange,
                       .mItems = aRelayed.mItems };
  if (aRelayed.mItemsSince >= 0) {
    update.mItemsSince = aRelayed.mItemsSince;
  }
  if (aQuerySentAt.has_value() && aRelayed.mAgeMs >= 0) {
    update.mConfirmedAt = *aQuerySentAt - BoundedAge(aRelayed.mAgeMs);
  }
  return update;
}

} // namespace trefoil
