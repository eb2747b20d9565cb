#include "trefoil/dispatch/retry_budget.h"
#include "trefoil/dispatch/server_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <map>
#include <set>

namespace trefoil {
namespace {

const Instant kNow{ std::chrono::hours{ 1 } };
const AvailabilityZoneId kZoneA{ "a" };
const AvailabilityZoneId kZoneB{ "b" };

struct Servers
{
  explicit Servers(std::size_t aSum)
    : mServers(aSum)
    , mStatuses(aSum)
  {
    for (std::size_t i = 0; i < aSum; ++i) {
      mServers[i].mId = BackendServerId{ fmt::format("engine-{}", i) };
      mServers[i].mZone = i % 2 == 0 ? kZoneA : kZoneB;
    }
  }

  std::vector<ServerCandidate> Candidates() const
  {
    std::vector<ServerCandidate> candidates;
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      candidates.push_back({ .mServer = &mServers[i],
                             .mServerStatus = &mStatuses[i],
                             .mHoldsCache = mCacheHolders.contains(i) });
    }
    return candidates;
  }

  std::vector<RegisteredServer> mServers;
  std::vector<ServerStatus> mStatuses;
  // Indexes of the servers that hold the shared parts in their cache.
  std::set<std::size_t> mCacheHolders;
};

// Guards against requests that wait for a slow cold server while a warm one is as free.
SCENARIO("a server warms up")
{
  Servers servers{ 2 };
  servers.mServers[1].mZone = kZoneA;
  ChoiceParameters parameters{ .mZone = kZoneA, .mSharedTokens = 1'000 };
  const auto choose = [&](std::size_t aCold) {
    std::vector<ServerCandidate> candidates = servers.Candidates();
    candidates[aCold].mIsWarmingUp = true;
    return ChooseServer(candidates, parameters, kNow);
  };
  WHEN("a warm server is as free")
  {
    THEN("requests with and without shared parts go to the warm one")
    {
      CHECK(choose(0) == 1);
      CHECK(choose(1) == 0);
      parameters.mCacheKey = "session";
      const std::size_t preferred = *ChooseServer(servers.Candidates(), parameters, kNow);
      servers.mStatuses[preferred].mPendingTokens = 1;
      CHECK(choose(preferred) == 1 - preferred);
    }
  }
  WHEN("the warm one has much more to do")
  {
    servers.mStatuses[1].mInFlight = 3;
    THEN("the cold one is used")
    {
      CHECK(choose(0) == 0);
    }
  }
}

SCENARIO("requests of one session arrive at several hosts")
{
  Servers servers{ 18 };
  const ChoiceParameters parameters{ .mZone = kZoneA,
                                     .mCacheKey = "session",
                                     .mSharedTokens = 13'000 };
  const std::size_t preferred = *ChooseServer(servers.Candidates(), parameters, kNow);
  THEN("all hosts choose the same server, whatever their zone and random value")
  {
    ChoiceParameters other = parameters;
    other.mZone = kZoneB;
    other.mRandomValue = 7;
    CHECK(ChooseServer(servers.Candidates(), other, kNow) == preferred);
  }
  WHEN("more tokens wait there than prefilling the shared parts elsewhere costs")
  {
    servers.mStatuses[preferred].mPendingTokens = 40'000;
    THEN("another server is chosen")
    {
      CHECK(ChooseServer(servers.Candidates(), parameters, kNow) != preferred);
    }
  }
  WHEN("fewer tokens wait there")
  {
    servers.mStatuses[preferred].mPendingTokens = 8'000;
    THEN("the server that holds the shared parts is still chosen")
    {
      servers.mCacheHolders = { preferred };
      CHECK(ChooseServer(servers.Candidates(), parameters, kNow) == preferred);
    }
    THEN("another server is chosen if none holds the shared parts")
    {
      CHECK(ChooseServer(servers.Candidates(), parameters, kNow) != preferred);
    }
    THEN("another server of the session is chosen if it holds the shared parts too")
    {
      const std::size_t second = *ChooseServer(servers.Candidates(), parameters, kNow);
      servers.mCacheHolders = { preferred, second };
      CHECK(ChooseServer(servers.Candidates(), parameters, kNow) == second);
    }
  }
  WHEN("the server broke the connection")
  {
    CHECK(RecordServerOutcome(servers.mStatuses[preferred], DispatchOutcome::kBroken, kNow));
    THEN("it is avoided and chosen again after 1 s")
    {
      CHECK(ChooseServer(servers.Candidates(), parameters, kNow) != preferred);
      CHECK(ChooseServer(servers.Candidates(), parameters, kNow + std::chrono::seconds{ 1 }) ==
            preferred);
    }
  }
  WHEN("all servers broke their connections")
  {
    for (ServerStatus& status : servers.mStatuses) {
      RecordServerOutcome(status, DispatchOutcome::kBroken, kNow);
    }
    THEN("a server is chosen nevertheless")
    {
      CHECK(ChooseServer(servers.Candidates(), parameters, kNow).has_value());
    }
  }
}

SCENARIO("a server prefills its backlog")
{
  Servers servers{ 18 };
  ChoiceParameters parameters{
    .mZone = kZoneA, .mCacheKey = "session", .mSharedTokens = 13'000, .mPrefillRate = 50'000
  };
  const std::size_t preferred = *ChooseServer(servers.Candidates(), parameters, kNow);
  ServerStatus& busy = servers.mStatuses[preferred];
  AddToBacklog(busy.mBacklog, 40'000, parameters.mPrefillRate, kNow);
  THEN("another server is chosen until the backlog has been prefilled")
  {
    CHECK(ChooseServer(servers.Candidates(), parameters, kNow) != preferred);
    CHECK(ChooseServer(servers.Candidates(), parameters, kNow + std::chrono::seconds{ 1 }) ==
          preferred);
  }
  WHEN("requests of this host still wait there")
  {
    busy.mPendingTokens = 40'000;
    THEN("it is slower than estimated, and another server is chosen")
    {
      CHECK(ChooseServer(servers.Candidates(), parameters, kNow + std::chrono::seconds{ 1 }) !=
            preferred);
    }
  }
}

SCENARIO("a server's backlog is estimated from the dispatches of all hosts")
{
  constexpr double kRate = 60'000;
  PrefillBacklog backlog;
  AddToBacklog(backlog, 30'000, kRate, kNow);
  AddToBacklog(backlog, 30'000, kRate, kNow + Milliseconds{ 250 });
  THEN("the backlog is the sum of the dispatches and decreases at the prefill rate")
  {
    CHECK(RemainingTokens(backlog, kRate, kNow + Milliseconds{ 250 }) == Approx(45'000));
    CHECK(RemainingTokens(backlog, kRate, kNow + Milliseconds{ 500 }) == Approx(30'000));
    CHECK(RemainingTokens(backlog, kRate, kNow + std::chrono::seconds{ 5 }) == 0);
  }
}

SCENARIO("the prefill rate of the servers is estimated")
{
  PrefillRate rate;
  CHECK(TokensPerSecond(rate) == Approx(50'000));
  for (int i = 0; i < 500; ++i) {
    RecordPrefill(rate, 20'000, std::chrono::seconds{ 1 });
    RecordPrefill(rate, 500, std::chrono::seconds{ 2 });
  }
  THEN("long prefills determine the estimate and short ones are ignored")
  {
    CHECK(TokensPerSecond(rate) == Approx(20'000).epsilon(0.05));
  }
}

SCENARIO("other hosts report servers as broken")
{
  Servers servers{ 9 };
  for (std::size_t i = 0; i < 3; ++i) {
    servers.mStatuses[i].mReportedBroken = true;
  }
  const auto avoided = [&servers] {
    std::vector<ServerCandidate> candidates = servers.Candidates();
    AvoidReportedBroken(candidates, kNow);
    return std::ranges::count_if(candidates,
                                 [](const ServerCandidate& aItem) { return aItem.mAvoided; });
  };
  THEN("they are avoided")
  {
    CHECK(avoided() == 3);
  }
  WHEN("one of them has just served this host")
  {
    RecordServerOutcome(servers.mStatuses[1], DispatchOutcome::kServed, kNow);
    THEN("it is not avoided")
    {
      CHECK(avoided() == 2);
    }
  }
  WHEN("more than half of the servers are reported")
  {
    for (ServerStatus& status : servers.mStatuses) {
      status.mReportedBroken = true;
    }
    THEN("none is avoided")
    {
      CHECK(avoided() == 0);
    }
  }
}

SCENARIO("a host detects that a server is broken")
{
  ServerStatus status;
  WHEN("it does not respond")
  {
    RecordSilence(status, kNow);
    THEN("it is avoided, and reported as broken for 2 s")
    {
      CHECK(IsBroken(status, kNow));
      CHECK_FALSE(HasPassed(status.mAvoidUntil, kNow));
      CHECK_FALSE(IsBroken(status, kNow + std::chrono::seconds{ 2 }));
    }
  }
  WHEN("it breaks the connection")
  {
    RecordServerOutcome(status, DispatchOutcome::kBroken, kNow);
    CHECK(IsBroken(status, kNow));
    AND_WHEN("it responds, even with a failure")
    {
      RecordServerOutcome(status, DispatchOutcome::kFailed, kNow);
      THEN("it is not reported as broken")
      {
        CHECK_FALSE(IsBroken(status, kNow));
      }
    }
  }
}

SCENARIO("many hosts with stale load estimates divert requests from busy servers")
{
  Servers servers{ 40 };
  // All hosts have the same estimate: one server is idle and all others have a long backlog.
  for (ServerStatus& status : servers.mStatuses) {
    AddToBacklog(status.mBacklog, 50'000, 0, kNow);
  }
  servers.mStatuses[5].mBacklog = {};
  WHEN("requests of many sessions arrive")
  {
    std::map<std::size_t, int> dispatched;
    constexpr int kSessions = 400;
    for (int session = 0; session < kSessions; ++session) {
      const ChoiceParameters parameters{ .mZone = kZoneA,
                                         .mCacheKey = fmt::format("session-{}", session),
                                         .mSharedTokens = 13'000 };
      ++dispatched[*ChooseServer(servers.Candidates(), parameters, kNow)];
    }
    THEN("they are not all sent to the idle server")
    {
      CHECK(dispatched[5] < kSessions / 8);
    }
  }
  WHEN("requests of one session arrive and each chosen server becomes busier")
  {
    const ChoiceParameters parameters{ .mZone = kZoneA,
                                       .mCacheKey = "session",
                                       .mSharedTokens = 13'000 };
    std::set<std::size_t> holders;
    constexpr int kRequests = 60;
    for (int request = 0; request < kRequests; ++request) {
      const std::size_t chosen = *ChooseServer(servers.Candidates(), parameters, kNow);
      servers.mStatuses[chosen].mPendingTokens += 17'000;
      holders.insert(chosen);
    }
    THEN("at most three servers prefill its shared parts")
    {
      CHECK(holders.size() <= 3);
    }
  }
}

SCENARIO("a request without a cache key is sent to the least loaded server of the zone")
{
  Servers servers{ 4 };
  const ChoiceParameters parameters{ .mZone = kZoneB, .mRandomValue = 2 };
  CHECK(servers.mServers[*ChooseServer(servers.Candidates(), parameters, kNow)].mZone == kZoneB);
  WHEN("the servers of the zone are busy")
  {
    servers.mStatuses[1].mInFlight = 3;
    servers.mStatuses[3].mInFlight = 3;
    THEN("a server of another zone is chosen")
    {
      CHECK(servers.mServers[*ChooseServer(servers.Candidates(), parameters, kNow)].mZone ==
            kZoneA);
    }
  }
  WHEN("there are no candidates")
  {
    THEN("no server is chosen")
    {
      CHECK_FALSE(ChooseServer({}, parameters, kNow).has_value());
    }
  }
}

SCENARIO("several servers of a zone break their connections")
{
  ZoneStatus zone;
  CHECK_FALSE(RecordZoneOutcome(zone, BackendServerId{ "e1" }, DispatchOutcome::kBroken, kNow));
  CHECK_FALSE(RecordZoneOutcome(zone, BackendServerId{ "e1" }, DispatchOutcome::kBroken, kNow));
  WHEN("a second server does")
  {
    CHECK(RecordZoneOutcome(zone, BackendServerId{ "e2" }, DispatchOutcome::kBroken, kNow));
    THEN("the zone is avoided")
    {
      CHECK_FALSE(HasPassed(zone.mAvoidUntil, kNow));
    }
  }
  WHEN("another server of the zone responds in between")
  {
    RecordZoneOutcome(zone, BackendServerId{ "e3" }, DispatchOutcome::kServed, kNow);
    THEN("the second server alone does not make the zone avoided")
    {
      CHECK_FALSE(RecordZoneOutcome(zone, BackendServerId{ "e2" }, DispatchOutcome::kBroken, kNow));
    }
  }
}

SCENARIO("nine hosts retry requests")
{
  const ServiceId service{ "reviews" };
  ServiceRetryBudget budget =
    MakeServiceRetryBudget({ .mRatio = 0.2, .mSlack = 58, .mWindow = std::chrono::seconds{ 10 } });
  for (int i = 0; i < 100; ++i) {
    CountServiceRequest(budget, service, kNow);
  }
  int retries = 0;
  while (ConsumeServiceRetry(budget, service, 9, kNow)) {
    ++retries;
  }
  THEN("each may retry its fraction of requests plus a ninth of the slack")
  {
    CHECK(retries == 26);
    CHECK_FALSE(ConsumeServiceRetry(budget, service, 9, kNow + std::chrono::seconds{ 9 }));
    CHECK(ConsumeServiceRetry(budget, service, 9, kNow + std::chrono::seconds{ 11 }));
  }
}

} // namespace
} // namespace trefoil
