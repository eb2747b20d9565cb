#include "trefoil/steering/peer_book.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace trefoil {
namespace {

const Instant kNow{ std::chrono::hours{ 1 } };
const ClientAccountId kAccount{ "club" };
const HostId kPeer{ "host-2" };

TrafficUpdate
News(std::uint64_t aIncarnation, std::uint64_t aSequence, std::uint64_t aTotal)
{
  return { .mHost = kPeer,
           .mIncarnation = aIncarnation,
           .mSequence = aSequence,
           .mEndpoint = { .mAddress = "127.0.0.2", .mPort = 7600 },
           .mQuotas = { { .mAccount = kAccount, .mUsed = aTotal } } };
}

SCENARIO("a host hears what another one let through")
{
  PeerBook book{ .mSelf = HostId{ "host-1" } };
  CHECK(IsUnknown(book, News(1, 40, 0)));
  GIVEN("a peer that has run for a long time")
  {
    const PeerUpdate first = TakeNews(book, News(1, 40, 9'000'000), kNow);
    THEN("its past counts nothing")
    {
      CHECK(first.mQuotaUsed.empty());
      CHECK_FALSE(IsUnknown(book, News(1, 41, 0)));
    }
    WHEN("it lets more through")
    {
      const PeerUpdate next = TakeNews(book, News(1, 42, 9'030'000), kNow + Milliseconds{ 500 });
      THEN("the difference counts, though a message was lost")
      {
        CHECK(next.mQuotaUsed.at(kAccount) == 30'000);
      }
      AND_WHEN("an old message comes late")
      {
        const PeerUpdate late = TakeNews(book, News(1, 41, 9'010'000), kNow + Milliseconds{ 600 });
        THEN("it changes nothing")
        {
          CHECK(late.mQuotaUsed.empty());
        }
      }
    }
    WHEN("it was out of touch and used its share of the quota")
    {
      const PeerUpdate next =
        TakeNews(book, News(1, 90, 11'000'000), kNow + std::chrono::seconds{ 12 });
      THEN("that does not count now")
      {
        CHECK(next.mQuotaUsed.empty());
      }
    }
    WHEN("it starts again")
    {
      CHECK(IsUnknown(book, News(2, 1, 0)));
      TakeNews(book, News(2, 1, 20'000), kNow + Milliseconds{ 100 });
      const PeerUpdate again = TakeNews(book, News(2, 2, 35'000), kNow + Milliseconds{ 350 });
      THEN("its new total counts from its first message on")
      {
        CHECK(again.mQuotaUsed.at(kAccount) == 15'000);
      }
    }
  }
}

SCENARIO("a host is cut off from some of the others")
{
  PeerBook book{ .mSelf = HostId{ "host-1" } };
  book.mListed = { { HostId{ "host-1" }, {} },
                   { HostId{ "host-2" }, {} },
                   { HostId{ "host-3" }, {} } };
  TakeNews(book, News(1, 1, 0), kNow);
  THEN("the hosts in touch may use their share of the quotas")
  {
    CHECK(HostCount(book, kNow) == 3);
    CHECK(QuotaShare(book, kNow) == Approx(2.0 / 3));
  }
  WHEN("nothing is heard for a while")
  {
    const Instant later = kNow + std::chrono::seconds{ 2 };
    THEN("the host may use its own share alone")
    {
      CHECK(QuotaShare(book, later) == Approx(1.0 / 3));
    }
  }
  WHEN("the other one stops")
  {
    TrafficUpdate leaving = News(1, 2, 0);
    leaving.mLeaving = true;
    TakeNews(book, leaving, kNow);
    THEN("its share goes to the others")
    {
      CHECK(QuotaShare(book, kNow) == Approx(0.5));
    }
  }
}

SCENARIO("the calendar of some hosts jumps")
{
  PeerBook book{ .mSelf = HostId{ "host-1" } };
  const WallTime wall = FromUnixMilliseconds(1'772'000'000'000);
  const auto hear = [&](const char* aHost, std::int64_t aAheadMs) {
    TrafficUpdate news = News(1, 1, 0);
    news.mHost = HostId{ aHost };
    news.mWallMs = UnixMilliseconds(wall) + aAheadMs;
    TakeNews(book, news, kNow);
    NoteClock(book, news, wall);
  };
  GIVEN("one of five hosts ahead by two seconds")
  {
    hear("host-2", 2'000);
    hear("host-3", 3);
    hear("host-4", -8);
    hear("host-5", 1);
    THEN("the others keep their time")
    {
      CHECK(ClockCorrection(book, kNow) == Milliseconds{ 0 });
    }
  }
  GIVEN("this host behind the others")
  {
    hear("host-2", 2'000);
    hear("host-3", 2'003);
    hear("host-4", 1'998);
    THEN("it takes the time of the others")
    {
      CHECK(ClockCorrection(book, kNow) >= Milliseconds{ 1'998 });
      CHECK(ClockCorrection(book, kNow) <= Milliseconds{ 2'003 });
    }
  }
  GIVEN("a host that starts again while its calendar is back")
  {
    TakeNews(book, News(50, 9, 0), kNow);
    CHECK(IsUnknown(book, News(40, 1, 0)));
    TakeNews(book, News(40, 1, 0), kNow);
    const PeerUpdate next = TakeNews(book, News(40, 2, 500), kNow + Milliseconds{ 250 });
    THEN("it is heard, and a late message of its former life is not")
    {
      CHECK(next.mQuotaUsed.at(kAccount) == 500);
      TakeNews(book, News(50, 10, 9'000), kNow + Milliseconds{ 300 });
      CHECK(book.mPeers.at(kPeer).mUpdate.mIncarnation == 40);
    }
  }
}

SCENARIO("there are many hosts")
{
  PeerBook book{ .mSelf = HostId{ "host-1" } };
  CHECK(NewsInterval(book, kNow) == Milliseconds{ 250 });
  for (int host = 0; host < 72; ++host) {
    book.mListed[HostId{ std::to_string(host) }] = {};
  }
  THEN("each is heard of more rarely, and missed later")
  {
    CHECK(NewsInterval(book, kNow) == Milliseconds{ 1'000 });
    TakeNews(book, News(1, 1, 0), kNow);
    CHECK(LivePeers(book, kNow + std::chrono::seconds{ 3 }).size() == 1);
    CHECK(LivePeers(book, kNow + std::chrono::seconds{ 5 }).empty());
  }
}

SCENARIO("usage of a window is summed over hosts and their incarnations")
{
  PeerBook book{ .mSelf = HostId{ "host-1" } };
  TrafficUpdate news = News(1, 1, 0);
  news.mUsage = { { .mWindow = 7, .mAccount = kAccount, .mRequests = 12 } };
  TakeNews(book, news, kNow);
  news.mIncarnation = 2;
  news.mUsage = { { .mWindow = 7, .mAccount = kAccount, .mRequests = 3 } };
  TakeNews(book, news, kNow);
  CHECK(UsageElsewhere(book, 7).at(kAccount) == 15);
  WHEN("windows before are dropped")
  {
    DropUsageBefore(book, 8);
    THEN("nothing is left")
    {
      CHECK(UsageElsewhere(book, 7).empty());
    }
  }
}

SCENARIO("hosts tell of broken servers")
{
  PeerBook book{ .mSelf = HostId{ "host-0" } };
  const auto tell = [&book](const char* aHost, std::vector<BackendServerId> aServers) {
    TakeNews(book,
             { .mHost = HostId{ aHost },
               .mIncarnation = 1,
               .mSequence = 1,
               .mBroken = std::move(aServers) },
             kNow);
  };
  tell("host-1", { BackendServerId{ "e1" }, BackendServerId{ "e2" } });
  tell("host-2", { BackendServerId{ "e2" } });
  THEN("what one alone says may be its own way")
  {
    CHECK(BrokenElsewhere(book, kNow) == std::set{ BackendServerId{ "e2" } });
  }
  THEN("what they said long ago counts no more")
  {
    CHECK(BrokenElsewhere(book, kNow + std::chrono::seconds{ 10 }).empty());
  }
}

SCENARIO("the usage of a host is told to those that need it")
{
  PeerBook book{ .mSelf = HostId{ "host-0" } };
  const AvailabilityZoneId zone{ "a" };
  const auto endpoint = [](int aHost) {
    return Endpoint{ .mAddress = fmt::format("127.0.0.{}", aHost), .mPort = 7600 };
  };
  const auto hear = [&](int aHost, const char* aZone, bool aHolds) {
    TakeNews(book,
             { .mHost = HostId{ fmt::format("host-{}", aHost) },
               .mIncarnation = 1,
               .mSequence = 1,
               .mEndpoint = endpoint(aHost),
               .mZone = AvailabilityZoneId{ aZone },
               .mHoldsDuties = aHolds },
             kNow);
  };
  hear(1, "a", false);
  hear(2, "b", false);
  hear(3, "b", true);
  book.mListed[HostId{ "host-4" }] = endpoint(4);
  const auto recipients = Recipients(book, zone, kNow);
  THEN("that is the holder of the duties, the own zone, and hosts that were not heard yet")
  {
    CHECK(recipients.at(endpoint(1)));
    CHECK_FALSE(recipients.at(endpoint(2)));
    CHECK(recipients.at(endpoint(3)));
    CHECK(recipients.at(endpoint(4)));
  }
}

} // namespace
} // namespace trefoil
