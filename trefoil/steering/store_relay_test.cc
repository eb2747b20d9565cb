#include "trefoil/steering/store_relay.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <limits>
#include <set>

namespace trefoil {
namespace {

const Instant kNow{ std::chrono::hours{ 1 } };
const AvailabilityZoneId kZone{ "a" };
constexpr Milliseconds kFreshAge{ 300 };

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
      CHECK(OnRelayReply(relay, relay.mQueryNumber, kFreshAge) == kNow);
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
        CHECK_FALSE(OnRelayReply(relay, firstQuery, kFreshAge).has_value());
      }
    }
  }
  WHEN("changes arrive that were not queried")
  {
    THEN("they confirm no time")
    {
      CHECK_FALSE(OnRelayReply(relay, 0, kFreshAge).has_value());
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
    CHECK(OnRelayReply(relay, relay.mQueryNumber, kFreshAge) == kNow + Milliseconds{ 2 });
  }
}

// Guards against: each zone's watchers watch the store, or all hosts of a fleet wait for each
// other.
SCENARIO("the watchers of the zones query the fleet's watchers")
{
  const HostId first{ "a1" };
  const HostId standby{ "b1" };
  const std::vector<HostId> fleet{ first, standby };
  THEN("the first watches the store, and the others follow it")
  {
    CHECK(PlanRelay(first, { first, HostId{ "a2" } }, fleet) ==
          RelayPlan{ .mRole = RelayRole::kFleetWatcher, .mWatchers = { standby } });
    CHECK(PlanRelay(standby, { standby, HostId{ "b2" } }, fleet) ==
          RelayPlan{ .mRole = RelayRole::kZoneWatcher, .mWatchers = { first } });
    CHECK(PlanRelay(HostId{ "c2" }, { HostId{ "c1" }, HostId{ "c2" } }, fleet) ==
          RelayPlan{ .mRole = RelayRole::kZoneWatcher, .mWatchers = fleet });
  }
  THEN("the other hosts of a zone query the zone's watchers")
  {
    const std::vector<HostId> watchers{ HostId{ "c1" }, HostId{ "c2" } };
    CHECK(PlanRelay(HostId{ "c3" }, watchers, fleet) ==
          RelayPlan{ .mRole = RelayRole::kSubscriber, .mWatchers = watchers });
  }
  THEN("without watchers of the fleet the zone's watch the store")
  {
    CHECK(PlanRelay(first, { first, HostId{ "a2" } }, {}) == RelayPlan{});
    CHECK(PlanRelay(first, {}, {}) == RelayPlan{});
  }
}

// Guards against: a watcher that the store rejects, but that replies, keeps the others from finding
// the one that stands by.
SCENARIO("a watcher's replies are too old")
{
  constexpr Milliseconds kOldAge{ 1'600 };
  StoreRelay relay;
  AdoptPlan(relay,
            { .mRole = RelayRole::kZoneWatcher, .mWatchers = { HostId{ "f1" }, HostId{ "f2" } } },
            0);
  CHECK(NextQueryTarget(relay, kNow) == HostId{ "f1" });
  OnRelayReply(relay, relay.mQueryNumber, kOldAge);
  CHECK(NextQueryTarget(relay, kNow) == HostId{ "f2" });
  CHECK(IsRelayed(relay));
  WHEN("the other one's are fresh")
  {
    OnRelayReply(relay, relay.mQueryNumber, kFreshAge);
    THEN("that one is followed, and the first is tried again after a while")
    {
      int queries = 0;
      while (NextQueryTarget(relay, kNow) == HostId{ "f2" }) {
        OnRelayReply(relay, relay.mQueryNumber, kFreshAge);
        ++queries;
        REQUIRE(queries < 20);
      }
      CHECK(queries >= 5);
      CHECK(IsRelayed(relay));
    }
  }
  WHEN("the other one's are, too")
  {
    OnRelayReply(relay, relay.mQueryNumber, kOldAge);
    NextQueryTarget(relay, kNow);
    THEN("this host watches the store itself until a fresh reply arrives")
    {
      CHECK_FALSE(IsRelayed(relay));
      OnRelayReply(relay, relay.mQueryNumber, kFreshAge);
      CHECK(IsRelayed(relay));
    }
  }
}

// Guards against: the refreshes of all servers fill the messages to other hosts, which then call
// the store themselves; or a host never hears of a change that a refresh seems to repeat.
SCENARIO("a watcher relays changes but not refreshes")
{
  std::map<std::string, Instant> relayedAt;
  const StoreItem item{ .mKey = "servers/e1", .mRevision = 5 };
  const auto keysAt = [&](Instant aWhen, const std::vector<StoreItem>& aItems, bool aIsRefresh) {
    return ChangesToRelay(
             relayedAt, aItems, [aIsRefresh](const StoreItem&) { return aIsRefresh; }, aWhen)
      .size();
  };
  CHECK(keysAt(kNow, { item }, false) == 1);
  THEN("a refresh is left out")
  {
    CHECK(keysAt(kNow + std::chrono::seconds{ 1 }, { item }, true) == 0);
  }
  THEN("a refresh is relayed now and then")
  {
    CHECK(keysAt(kNow + std::chrono::seconds{ 20 }, { item }, true) == 1);
    CHECK(keysAt(kNow + std::chrono::seconds{ 21 }, { item }, true) == 0);
  }
  WHEN("the refreshes of many servers are due together")
  {
    std::vector<StoreItem> items;
    for (int i = 0; i < 94; ++i) {
      items.push_back({ .mKey = fmt::format("servers/e{}", i), .mRevision = 6 });
    }
    CHECK(keysAt(kNow, items, false) == 94);
    THEN("they are spread over several messages, all changes are not")
    {
      int messages = 0;
      std::size_t relayed = 0;
      while (relayed < items.size()) {
        const std::size_t count = keysAt(kNow + std::chrono::seconds{ 16 + messages }, items, true);
        CHECK(count <= 10);
        relayed += count;
        REQUIRE(++messages <= 14);
      }
      CHECK(keysAt(kNow + std::chrono::seconds{ 27 }, items, false) == 94);
    }
  }
  THEN("two changes of a key are relayed, and removals are")
  {
    StoreItem removal = item;
    removal.mRemoved = true;
    CHECK(keysAt(kNow, { item, item }, true) == 2);
    CHECK(keysAt(kNow, { removal }, true) == 1);
    CHECK(relayedAt.empty());
  }
}

// Guards against: a new configuration reaches only the first subscribers of a watcher, since the
// messages to the others are sent together and fill its link; they call the store a second later.
SCENARIO("a watcher pushes changes to all its subscribers")
{
  StoreRelay relay;
  const auto pushedWithin = [&relay](std::size_t aBytes, Milliseconds aTime) {
    int pushed = 0;
    for (Instant now = kNow; now <= kNow + aTime; now += Milliseconds{ 1 }) {
      while (NextPushAt(relay) <= now) {
        RecordPush(relay, aBytes, now);
        ++pushed;
      }
    }
    return pushed;
  };
  WHEN("a document is almost as large as a message may be")
  {
    THEN("the messages take at most half of a link of 10 Mbit/s, and a message more")
    {
      CHECK(pushedWithin(30'000, Milliseconds{ 480 }) <= 11);
    }
    THEN("25 subscribers have it within a part of the 3 s for all hosts")
    {
      CHECK(pushedWithin(30'000, Milliseconds{ 1'250 }) >= 25);
    }
  }
  WHEN("a server has changed")
  {
    THEN("subscribers are told at once")
    {
      CHECK(pushedWithin(500, Milliseconds{ 0 }) >= 25);
    }
  }
}

SCENARIO("a host relays its record of a prefix to another host")
{
  PrefixRecord record;
  ApplyList(record, {}, 100, kNow);
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
