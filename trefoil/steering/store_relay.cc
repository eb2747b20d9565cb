#include "trefoil/steering/store_relay.h"

#include "trefoil/wire/age.h"

#include "trefoil/base/digest.h"

#include <algorithm>
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
// The changes of two prefixes must fit into one datagram of 64 KB.
constexpr std::size_t kMaxRelayedBytes = 30'000;

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

std::optional<HostId>
NextQueryTarget(StoreRelay& aRelay, Instant aNow)
{
  if (aRelay.mWatchers.empty()) {
    return std::nullopt;
  }
  if (!std::exchange(aRelay.mReplyReceived, false)) {
    ++aRelay.mWatcherIndex;
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
OnRelayReply(StoreRelay& aRelay, std::uint64_t aQueryNumber)
{
  if (aQueryNumber == 0 || aQueryNumber != aRelay.mQueryNumber) {
    return std::nullopt;
  }
  aRelay.mReplyReceived = true;
  return aRelay.mQuerySentAt;
}

void
ExpireSubscribers(StoreRelay& aRelay, Instant aNow)
{
  std::erase_if(aRelay.mSubscribers, [aNow](const auto& aItem) {
    return aNow - aItem.second.mLastReceivedAt > kSubscriptionTimeout;
  });
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
