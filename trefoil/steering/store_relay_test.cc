#include "trefoil/steering/store_relay.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <limits>
#include <set>

namespace trefoil {
namespace {

const Instant kNow{ std::chrono::hours{ 1 } };
const AvailabilityZoneId kZone{ "a" };

PeerTable
MakePeerTable(const HostId& aSelf, int aHosts)
{
  PeerTable table{ .mSelf = aSelf, .mZone = kZone };
  for (int i = 0; i < aHosts; ++i) {
    ApplyTrafficUpdate(table,
                       { .mHost = HostId{ fmt::format("host-{}", i) },
                         .mIncarnation = 1,
                         .mSequence = 1,
                         .mZone = i % 2 == 0 ? kZone : AvailabilityZoneId{ "b" } },
                       kNow);
  }
  return table;
}

SCENARIO("the hosts of a zone agree on which of them watch the store")
{
  const std::vector<HostId> watchers =
    StoreWatchers(MakePeerTable(HostId{ "host-0" }, 20), {}, kNow);
  REQUIRE(watchers.size() == 2);
  THEN("each host of the zone selects the same two hosts")
  {
    for (int i = 0; i < 20; i += 2) {
      const HostId self{ fmt::format("host-{}", i) };
      CHECK(StoreWatchers(MakePeerTable(self, 20), {}, kNow) == watchers);
    }
  }
  WHEN("one of the two is no longer live")
  {
    PeerTable table = MakePeerTable(HostId{ "elsewhere" }, 20);
    const Instant later = kNow + std::chrono::seconds{ 10 };
    for (auto& [host, peer] : table.mPeers) {
      peer.mLastReceivedAt = host == watchers.front() ? kNow : later;
    }
    THEN("another host replaces it")
    {
      const std::vector<HostId> next = StoreWatchers(table, {}, later);
      CHECK(next.front() == watchers.back());
      CHECK(next.back() != watchers.front());
    }
  }
  WHEN("the zone has few hosts")
  {
    THEN("each host watches the store itself")
    {
      CHECK(StoreWatchers(MakePeerTable(HostId{ "host-0" }, 5), {}, kNow).empty());
    }
  }
}

SCENARIO("a host queries the watchers of the store")
{
  StoreRelay relay{ .mWatchers = { HostId{ "w1" }, HostId{ "w2" } } };
  CHECK(NextQueryTarget(relay, kNow) == HostId{ "w1" });
  WHEN("the reply arrives")
  {
    THEN("it confirms the time at which the query was sent, and the same watcher is queried next")
    {
      CHECK(OnRelayReply(relay, relay.mQueryNumber) == kNow);
      CHECK(NextQueryTarget(relay, kNow + Milliseconds{ 800 }) == HostId{ "w1" });
    }
  }
  WHEN("no reply arrives")
  {
    THEN("the other watcher is queried next")
    {
      CHECK(NextQueryTarget(relay, kNow + Milliseconds{ 800 }) == HostId{ "w2" });
    }
    AND_WHEN("the reply to the first query arrives late")
    {
      const std::uint64_t firstQuery = relay.mQueryNumber;
      NextQueryTarget(relay, kNow + Milliseconds{ 800 });
      THEN("it confirms no time")
      {
        CHECK_FALSE(OnRelayReply(relay, firstQuery).has_value());
      }
    }
  }
  WHEN("changes arrive that were not queried")
  {
    THEN("they confirm no time")
    {
      CHECK_FALSE(OnRelayReply(relay, 0).has_value());
    }
  }
}

// Guards against a host that the store rejects and that asks only hosts that are rejected too
// (EVACUATE).
SCENARIO("the store does not answer a host that watches it")
{
  StoreRelay relay;
  THEN("it asks nobody while it knows no other host")
  {
    CHECK_FALSE(NextStandIn(relay, {}, kNow).has_value());
  }
  THEN("it asks the other hosts in turn, and their replies confirm the time of the query")
  {
    const std::vector<HostId> peers{ HostId{ "h1" }, HostId{ "h2" }, HostId{ "h3" } };
    std::set<HostId> asked;
    for (int i = 0; i < 3; ++i) {
      asked.insert(*NextStandIn(relay, peers, kNow + Milliseconds{ i }));
    }
    CHECK(asked.size() == 3);
    CHECK(OnRelayReply(relay, relay.mQueryNumber) == kNow + Milliseconds{ 2 });
  }
}

SCENARIO("a host relays its record of a prefix to another host")
{
  PrefixRecord record;
  ApplyList(record, 100, kNow);
  ApplyChanges(record, { { .mKey = "servers/e1", .mRevision = 101 } }, 101, kNow, true);
  const Instant relayedAt = kNow + Milliseconds{ 700 };
  WHEN("the changes fit into a datagram")
  {
    const RelayedPrefix relayed = MakeRelayedPrefix(record, 100, relayedAt);
    THEN("the receiver gets the changes and the age of the record")
    {
      const PrefixUpdate update = MakePrefixUpdate(relayed, relayedAt);
      CHECK(update.mItemsSince == 100);
      CHECK(update.mItems.size() == 1);
      CHECK(update.mConfirmedAt == kNow);
      CHECK_FALSE(MakePrefixUpdate(relayed, std::nullopt).mConfirmedAt.has_value());
    }
  }
  WHEN("the age of the record is out of range")
  {
    RelayedPrefix relayed = MakeRelayedPrefix(record, 100, relayedAt);
    relayed.mAgeMs = std::numeric_limits<std::int64_t>::max();
    THEN("the record does not count as confirmed lately")
    {
      CHECK(MakePrefixUpdate(relayed, relayedAt).mConfirmedAt <
            relayedAt - std::chrono::hours{ 1 });
    }
  }
  WHEN("the changes are too large for a datagram")
  {
    ApplyChanges(record,
                 { { .mKey = "servers/e2", .mValue = std::string(60'000, 'x'), .mRevision = 102 } },
                 102,
                 kNow,
                 true);
    THEN("the changes are left out, so that the receiver calls the store")
    {
      const RelayedPrefix relayed = MakeRelayedPrefix(record, 100, relayedAt);
      CHECK(relayed.mItemsSince == -1);
      CHECK(relayed.mItems.empty());
      CHECK(relayed.mLastChange == 102);
    }
  }
}

} // namespace
} // namespace trefoil
