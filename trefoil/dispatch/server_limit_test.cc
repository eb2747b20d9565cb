#include "trefoil/dispatch/server_limit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <fmt/format.h>
#include <limits>
#include <rapidcheck.h>

namespace trefoil {
namespace {

const Instant kNow{ std::chrono::hours{ 1 } };
const BackendServerId kServer{ "e1" };

constexpr StatedLimit
Limited(double aPerSecond)
{
  return { .mKind = LimitStatement::kLimited, .mPerSecond = aPerSecond };
}

std::vector<HostId>
MakeHosts(std::size_t aCount)
{
  std::vector<HostId> hosts;
  for (std::size_t i = 0; i < aCount; ++i) {
    hosts.emplace_back(fmt::format("host-{}", i));
  }
  return hosts;
}

// Hosts that know the limit of one server and send it as many requests as it permits.
struct Fleet
{
  Fleet(std::size_t aHosts, double aPerSecond)
    : mHosts(MakeHosts(aHosts))
    , mLimits(aHosts)
    , mPerSecond(aPerSecond)
  {
    for (ServerLimit& limit : mLimits) {
      ObserveLimit(limit, { .mStated = Limited(aPerSecond), .mRequestSentAt = kNow }, kNow);
    }
  }

  // Sends what the permits allow at `aNow`.
  void Send(Instant aNow)
  {
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      const RefillRate part =
        PartOfLimit(mPerSecond, RankOfHost(mHosts, mHosts[i], kServer), mHosts.size());
      while (HasPermit(mLimits[i], part, aNow)) {
        UsePermit(mLimits[i]);
        mSent.push_back(aNow);
      }
    }
  }

  // Returns the largest number of requests in 4 s.
  std::size_t LargestBurst() const
  {
    std::size_t largest = 0;
    std::deque<Instant> window;
    for (const Instant sent : mSent) {
      window.push_back(sent);
      while (sent - window.front() > std::chrono::seconds{ 4 }) {
        window.pop_front();
      }
      largest = std::max(largest, window.size());
    }
    return largest;
  }

  std::vector<HostId> mHosts;
  std::vector<ServerLimit> mLimits;
  double mPerSecond;
  std::vector<Instant> mSent;
};

// Guards against a server that gets far more requests than it states, because each host looks at
// its own requests only (LIMIT).
SCENARIO("all hosts together use a server that limits its requests")
{
  const std::size_t hosts = GENERATE(1, 9, 295);
  const double perSecond = GENERATE(0.0, 0.3, 1.5, 20.0, 700.0);
  CAPTURE(hosts, perSecond);
  Fleet fleet{ hosts, perSecond };
  GIVEN("hosts that send whenever they may")
  {
    for (int step = 0; step < 2'000; ++step) {
      fleet.Send(kNow + Milliseconds{ 10 * step });
    }
    THEN("no 4 s exceed one and a half times the limit and five requests")
    {
      CHECK(static_cast<double>(fleet.LargestBurst()) <= 1.5 * perSecond * 4 + 5);
    }
    THEN("most of the limit is used")
    {
      CHECK(static_cast<double>(fleet.mSent.size()) >= 0.75 * perSecond * 20 - 1);
    }
  }
  GIVEN("hosts that send nothing for a minute and then at once")
  {
    for (int step = 0; step < 500; ++step) {
      fleet.Send(kNow + std::chrono::minutes{ 1 } + Milliseconds{ 10 * step });
    }
    THEN("no 4 s exceed one and a half times the limit and five requests")
    {
      CHECK(static_cast<double>(fleet.LargestBurst()) <= 1.5 * perSecond * 4 + 5);
    }
  }
}

TEST_CASE("A limit is divided among the hosts")
{
  SECTION("the parts of all hosts add up to less than the limit")
  {
    const bool passed = rc::check([] {
      const auto hosts = *rc::gen::inRange<std::size_t>(1, 400);
      const double limit = *rc::gen::inRange(1, 100'000) / 64.0;
      double sum = 0;
      for (std::size_t rank = 0; rank < hosts; ++rank) {
        sum += PartOfLimit(limit, rank, hosts).mPerSecond;
      }
      RC_ASSERT(sum <= std::max(limit, 0.2));
      RC_ASSERT(sum >= 0.8 * limit);
    });
    CHECK(passed);
  }
  SECTION("each host has its own rank")
  {
    const auto hosts = MakeHosts(40);
    std::vector<bool> taken(hosts.size());
    for (const HostId& host : hosts) {
      const std::size_t rank = RankOfHost(hosts, host, kServer);
      REQUIRE(rank < hosts.size());
      CHECK_FALSE(taken[rank]);
      taken[rank] = true;
    }
  }
  SECTION("a host that joins takes permits from few others")
  {
    const auto hosts = MakeHosts(41);
    const std::vector<HostId> before{ hosts.begin(), hosts.end() - 1 };
    const auto moved = std::ranges::count_if(before, [&](const HostId& aHost) {
      const std::size_t was = RankOfHost(before, aHost, kServer);
      return RankOfHost(hosts, aHost, kServer) > was + 1;
    });
    CHECK(moved == 0);
  }
  SECTION("limits that are very large or not above 0 are divided, too")
  {
    CHECK(PartOfLimit(std::numeric_limits<double>::max(), 3, 9).mPerSecond > 1e6);
    CHECK(PartOfLimit(0, 0, 9).mPerSecond > 0);
    CHECK(PartOfLimit(0, 1, 9).mMax == 0);
  }
}

SCENARIO("a server states a limit and later none")
{
  ServerLimit limit;
  REQUIRE(ObserveLimit(limit, { .mStated = Limited(2), .mRequestSentAt = kNow }, kNow));
  const Instant later = kNow + std::chrono::seconds{ 1 };
  THEN("it is limited")
  {
    CHECK(IsLimited(limit, later));
  }
  THEN("the limit must be reported, and what repeats it only now and then")
  {
    CHECK(TakeReportDue(limit, kNow));
    CHECK(TakeReportDue(limit, kNow + Milliseconds{ 500 }));
    ObserveLimit(limit, { .mStated = Limited(2), .mRequestSentAt = later }, later);
    CHECK(TakeReportDue(limit, kNow + std::chrono::seconds{ 4 }));
    CHECK_FALSE(TakeReportDue(limit, kNow + std::chrono::seconds{ 8 }));
  }
  WHEN("an answer to a request from before states none")
  {
    ObserveLimit(limit, { .mRequestSentAt = kNow - Milliseconds{ 5 } }, later);
    THEN("it is limited still")
    {
      CHECK(IsLimited(limit, later));
    }
  }
  WHEN("an answer to a later request states none")
  {
    CHECK(ObserveLimit(limit, { .mRequestSentAt = kNow + Milliseconds{ 5 } }, later));
    THEN("the limit has ended, and that is reported")
    {
      CHECK_FALSE(IsLimited(limit, later));
      CHECK(TakeReportDue(limit, later));
    }
    THEN("an older report of another host does not restore it")
    {
      MergeLimit(limit, { .mStated = Limited(2), .mStatedAt = kNow + Milliseconds{ 3 } }, 0, later);
      CHECK_FALSE(IsLimited(limit, later));
    }
  }
  WHEN("the statement of an answer cannot be read")
  {
    ObserveLimit(limit,
                 { .mStated = { .mKind = LimitStatement::kUnreadable }, .mRequestSentAt = later },
                 later);
    THEN("the last one holds")
    {
      CHECK(IsLimited(limit, later));
      CHECK(limit.mStated == Limited(2));
    }
  }
  WHEN("another host reports that it has ended")
  {
    CHECK(MergeLimit(limit, { .mStatedAt = later }, 0, later));
    THEN("this host uses the server freely, too")
    {
      CHECK_FALSE(IsLimited(limit, later));
    }
  }
  WHEN("the server starts again")
  {
    THEN("it has no limit, and reports about its former life are ignored")
    {
      CHECK(StartLimitIncarnation(limit, 7));
      CHECK_FALSE(IsLimited(limit, later));
      CHECK_FALSE(MergeLimit(limit, { .mStated = Limited(2), .mStatedAt = later }, 0, later));
      CHECK_FALSE(IsLimited(limit, later));
    }
  }
  WHEN("no host hears of the server any more")
  {
    THEN("the limit is forgotten, so that it is asked again")
    {
      CHECK_FALSE(IsLimited(limit, kNow + std::chrono::minutes{ 1 }));
    }
  }
}

SCENARIO("all servers of a service are limited")
{
  const PermitSum full{ .mAvailable = 6, .mMax = 6 };
  const PermitSum scarce{ .mAvailable = 2, .mMax = 6 };
  THEN("the last permits are kept for the most urgent requests")
  {
    CHECK(CoversUrgency(full, 0.75));
    CHECK(CoversUrgency(scarce, 0));
    CHECK_FALSE(CoversUrgency(scarce, 0.75));
    CHECK_FALSE(CoversUrgency({ .mAvailable = 0.5, .mMax = 6 }, 0));
  }
  THEN("a host with one permit gives it to any request")
  {
    CHECK(CoversUrgency({ .mAvailable = 1, .mMax = 1 }, 0.75));
  }
}

} // namespace
} // namespace trefoil
