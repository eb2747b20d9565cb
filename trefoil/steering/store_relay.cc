#include "trefoil/steering/store_relay.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// Hosts of a zone that follow the store, so that the loss of one leaves another.
constexpr std::size_t kWatchersInZone = 2;
// In a zone of fewer hosts each follows the store: the calls saved cost less than the delay.
constexpr std::size_t kMinHosts = 4;
constexpr const char* kRankKey = "store";
// A host that has asked for longer than several of its intervals asks no more.
constexpr Milliseconds kSubscribed{ 3'000 };
// The changes of two prefixes fit a datagram of 64 KB.
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
StoreWatchers(const PeerBook& aBook, const AvailabilityZoneId& aZone, Instant aNow)
{
  std::vector<HostId> hosts{ aBook.mSelf };
  for (const HostId& host : LivePeers(aBook, aNow)) {
    if (aBook.mPeers.at(host).mUpdate.mZone == aZone) {
      hosts.push_back(host);
    }
  }
  if (hosts.size() < kMinHosts) {
    return {};
  }
  std::ranges::sort(hosts, std::greater<>{}, [](const HostId& aHost) {
    return std::pair{ RendezvousScore(aHost.Value(), kRankKey), aHost };
  });
  hosts.resize(kWatchersInZone);
  return hosts;
}

std::optional<HostId>
NextQuestion(StoreRelay& aRelay, Instant aNow)
{
  if (aRelay.mWatchers.empty()) {
    return std::nullopt;
  }
  if (!std::exchange(aRelay.mAnswered, false)) {
    ++aRelay.mAsked;
  }
  ++aRelay.mNumber;
  aRelay.mAskedAt = aNow;
  return aRelay.mWatchers[aRelay.mAsked % aRelay.mWatchers.size()];
}

std::optional<Instant>
OnRelayReply(StoreRelay& aRelay, std::uint64_t aNumber)
{
  if (aNumber == 0 || aNumber != aRelay.mNumber) {
    return std::nullopt;
  }
  aRelay.mAnswered = true;
  return aRelay.mAskedAt;
}

void
DropSilentSubscribers(StoreRelay& aRelay, Instant aNow)
{
  std::erase_if(aRelay.mSubscribers,
                [aNow](const auto& aItem) { return aNow - aItem.second.mHeardAt > kSubscribed; });
}

RelayedPrefix
ToRelayed(const PrefixRecord& aRecord, std::int64_t aSince, Instant aNow)
{
  RelayedPrefix relayed{
    .mRevision = aRecord.mRevision,
    .mLastChange = aRecord.mLastChange,
    .mAgeMs = std::chrono::duration_cast<Milliseconds>(aNow - aRecord.mCurrentAt).count()
  };
  auto changes = ChangesSince(aRecord, aSince);
  if (!changes.has_value() || BytesOf(*changes) > kMaxRelayedBytes) {
    return relayed;
  }
  relayed.mItemsSince = aSince;
  relayed.mItems = std::move(*changes);
  return relayed;
}

PrefixUpdate
FromRelayed(const RelayedPrefix& aRelayed, std::optional<Instant> aAskedAt)
{
  PrefixUpdate news{ .mRevision = aRelayed.mRevision,
                     .mLastChange = aRelayed.mLastChange,
                     .mItems = aRelayed.mItems };
  if (aRelayed.mItemsSince >= 0) {
    news.mItemsSince = aRelayed.mItemsSince;
  }
  if (aAskedAt.has_value() && aRelayed.mAgeMs >= 0) {
    news.mCurrentAt = *aAskedAt - Milliseconds{ aRelayed.mAgeMs };
  }
  return news;
}

} // namespace trefoil
