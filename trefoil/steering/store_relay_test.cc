#include "trefoil/steering/store_relay.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace trefoil {
namespace {

const Instant kNow{ std::chrono::hours{ 1 } };
const AvailabilityZoneId kZone{ "a" };

PeerBook
BookOf(const HostId& aSelf, int aHosts)
{
  PeerBook book{ .mSelf = aSelf };
  for (int i = 0; i < aHosts; ++i) {
    TakeNews(book,
             { .mHost = HostId{ fmt::format("host-{}", i) },
               .mIncarnation = 1,
               .mSequence = 1,
               .mZone = i % 2 == 0 ? kZone : AvailabilityZoneId{ "b" } },
             kNow);
  }
  return book;
}

SCENARIO("hosts of a zone agree on who follows the store")
{
  const std::vector<HostId> watchers = StoreWatchers(BookOf(HostId{ "host-0" }, 20), kZone, kNow);
  REQUIRE(watchers.size() == 2);
  THEN("each host of the zone finds the same two, of the zone")
  {
    for (int i = 0; i < 20; i += 2) {
      const HostId self{ fmt::format("host-{}", i) };
      CHECK(StoreWatchers(BookOf(self, 20), kZone, kNow) == watchers);
    }
  }
  WHEN("one of them has not been heard of for a while")
  {
    PeerBook book = BookOf(HostId{ "elsewhere" }, 20);
    const Instant later = kNow + std::chrono::seconds{ 10 };
    for (auto& [host, peer] : book.mPeers) {
      peer.mHeardAt = host == watchers.front() ? kNow : later;
    }
    THEN("another one takes its place")
    {
      const std::vector<HostId> next = StoreWatchers(book, kZone, later);
      CHECK(next.front() == watchers.back());
      CHECK(next.back() != watchers.front());
    }
  }
  WHEN("the zone has few hosts")
  {
    THEN("each follows the store for itself")
    {
      CHECK(StoreWatchers(BookOf(HostId{ "host-0" }, 5), kZone, kNow).empty());
    }
  }
}

SCENARIO("a host asks those that follow the store")
{
  StoreRelay relay{ .mWatchers = { HostId{ "w1" }, HostId{ "w2" } } };
  CHECK(NextQuestion(relay, kNow) == HostId{ "w1" });
  WHEN("the reply comes")
  {
    THEN("what it says is counted from when the question was sent")
    {
      CHECK(OnRelayReply(relay, relay.mNumber) == kNow);
      CHECK(NextQuestion(relay, kNow + Milliseconds{ 800 }) == HostId{ "w1" });
    }
  }
  WHEN("no reply comes")
  {
    THEN("the other one is asked next")
    {
      CHECK(NextQuestion(relay, kNow + Milliseconds{ 800 }) == HostId{ "w2" });
    }
    AND_WHEN("the reply to the former question comes late")
    {
      const std::uint64_t former = relay.mNumber;
      NextQuestion(relay, kNow + Milliseconds{ 800 });
      THEN("it proves no time")
      {
        CHECK_FALSE(OnRelayReply(relay, former).has_value());
      }
    }
  }
  WHEN("changes come unasked")
  {
    THEN("they prove no time")
    {
      CHECK_FALSE(OnRelayReply(relay, 0).has_value());
    }
  }
}

SCENARIO("what a host knows of the store is told to another one")
{
  PrefixRecord record;
  NoteList(record, 100, kNow);
  NoteChanges(record, { { .mKey = "servers/e1", .mRevision = 101 } }, 101, kNow, true);
  const Instant told = kNow + Milliseconds{ 700 };
  WHEN("with the changes")
  {
    const RelayedPrefix relayed = ToRelayed(record, 100, told);
    THEN("age and changes arrive")
    {
      const PrefixUpdate news = FromRelayed(relayed, told);
      CHECK(news.mItemsSince == 100);
      CHECK(news.mItems.size() == 1);
      CHECK(news.mCurrentAt == kNow);
      CHECK_FALSE(FromRelayed(relayed, std::nullopt).mCurrentAt.has_value());
    }
  }
  WHEN("the changes are too large for a datagram")
  {
    NoteChanges(record,
                { { .mKey = "servers/e2", .mValue = std::string(60'000, 'x'), .mRevision = 102 } },
                102,
                kNow,
                true);
    THEN("the receiver is told to ask the store")
    {
      const RelayedPrefix relayed = ToRelayed(record, 100, told);
      CHECK(relayed.mItemsSince == -1);
      CHECK(relayed.mItems.empty());
      CHECK(relayed.mLastChange == 102);
    }
  }
}

} // namespace
} // namespace trefoil
