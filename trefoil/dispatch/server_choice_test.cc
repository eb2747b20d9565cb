#include "trefoil/dispatch/retry_fund.h"
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
  explicit Servers(std::size_t aCount)
    : mServers(aCount)
    , mStandings(aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      mServers[i].mId = BackendServerId{ fmt::format("engine-{}", i) };
      mServers[i].mZone = i % 2 == 0 ? kZoneA : kZoneB;
    }
  }

  std::vector<ServerCandidate> Candidates() const
  {
    std::vector<ServerCandidate> candidates;
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      candidates.push_back({ .mServer = &mServers[i],
                             .mStanding = &mStandings[i],
                             .mHoldsCache = mHolders.contains(i) });
    }
    return candidates;
  }

  std::vector<RegisteredServer> mServers;
  std::vector<ServerStanding> mStandings;
  // Servers that have read the shared parts.
  std::set<std::size_t> mHolders;
};

SCENARIO("requests of one session reach several hosts")
{
  Servers servers{ 18 };
  const ChoiceTerms terms{ .mZone = kZoneA, .mCacheKey = "session", .mSharedTokens = 13'000 };
  const std::size_t first = *ChooseServer(servers.Candidates(), terms, kNow);
  THEN("all hosts choose the same server, whatever they draw")
  {
    ChoiceTerms other = terms;
    other.mZone = kZoneB;
    other.mDraw = 7;
    CHECK(ChooseServer(servers.Candidates(), other, kNow) == first);
  }
  WHEN("more waits there than reading the session's parts elsewhere costs")
  {
    servers.mStandings[first].mPendingTokens = 40'000;
    THEN("another server takes the request")
    {
      CHECK(ChooseServer(servers.Candidates(), terms, kNow) != first);
    }
  }
  WHEN("less waits there")
  {
    servers.mStandings[first].mPendingTokens = 8'000;
    THEN("the request stays where the parts were read")
    {
      servers.mHolders = { first };
      CHECK(ChooseServer(servers.Candidates(), terms, kNow) == first);
    }
    THEN("it moves if they were read nowhere yet")
    {
      CHECK(ChooseServer(servers.Candidates(), terms, kNow) != first);
    }
    THEN("it moves if another of the session's servers has read them too")
    {
      const std::size_t second = *ChooseServer(servers.Candidates(), terms, kNow);
      servers.mHolders = { first, second };
      CHECK(ChooseServer(servers.Candidates(), terms, kNow) == second);
    }
  }
  WHEN("the server broke off")
  {
    CHECK(NoteOutcome(servers.mStandings[first], DispatchOutcome::kBroken, kNow));
    THEN("it is left out for a while")
    {
      CHECK(ChooseServer(servers.Candidates(), terms, kNow) != first);
      CHECK(ChooseServer(servers.Candidates(), terms, kNow + std::chrono::seconds{ 1 }) == first);
    }
  }
  WHEN("all servers broke off")
  {
    for (ServerStanding& standing : servers.mStandings) {
      NoteOutcome(standing, DispatchOutcome::kBroken, kNow);
    }
    THEN("one is tried all the same")
    {
      CHECK(ChooseServer(servers.Candidates(), terms, kNow).has_value());
    }
  }
}

SCENARIO("a server reads on")
{
  Servers servers{ 18 };
  ChoiceTerms terms{
    .mZone = kZoneA, .mCacheKey = "session", .mSharedTokens = 13'000, .mReadRate = 50'000
  };
  const std::size_t first = *ChooseServer(servers.Candidates(), terms, kNow);
  ServerStanding& busy = servers.mStandings[first];
  Add(busy.mBacklog, 40'000, terms.mReadRate, kNow);
  THEN("what was sent to it moves a request, and after a while no more")
  {
    CHECK(ChooseServer(servers.Candidates(), terms, kNow) != first);
    CHECK(ChooseServer(servers.Candidates(), terms, kNow + std::chrono::seconds{ 1 }) == first);
  }
  WHEN("this host's requests still wait there")
  {
    busy.mPendingTokens = 40'000;
    THEN("it is slower than others, and the request moves all the same")
    {
      CHECK(ChooseServer(servers.Candidates(), terms, kNow + std::chrono::seconds{ 1 }) != first);
    }
  }
}

SCENARIO("what a server has to read is known from what all hosts sent it")
{
  constexpr double kRate = 60'000;
  Backlog backlog;
  Add(backlog, 30'000, kRate, kNow);
  Add(backlog, 30'000, kRate, kNow + Milliseconds{ 250 });
  THEN("it adds up and is read in time")
  {
    CHECK(Left(backlog, kRate, kNow + Milliseconds{ 250 }) == Approx(45'000));
    CHECK(Left(backlog, kRate, kNow + Milliseconds{ 500 }) == Approx(30'000));
    CHECK(Left(backlog, kRate, kNow + std::chrono::seconds{ 5 }) == 0);
  }
}

SCENARIO("the rate of the servers is learned")
{
  ReadRate rate;
  CHECK(RateOf(rate) == Approx(50'000));
  for (int i = 0; i < 500; ++i) {
    NoteRead(rate, 20'000, std::chrono::seconds{ 1 });
    NoteRead(rate, 500, std::chrono::seconds{ 2 });
  }
  THEN("long reads show it, short ones do not count")
  {
    CHECK(RateOf(rate) == Approx(20'000).epsilon(0.05));
  }
}

SCENARIO("other hosts say that servers are broken")
{
  Servers servers{ 9 };
  for (std::size_t i = 0; i < 3; ++i) {
    servers.mStandings[i].mBrokenElsewhere = true;
  }
  const auto avoided = [&servers] {
    std::vector<ServerCandidate> candidates = servers.Candidates();
    AvoidBrokenElsewhere(candidates, kNow);
    return std::ranges::count_if(candidates,
                                 [](const ServerCandidate& aItem) { return aItem.mAvoided; });
  };
  THEN("they are left out")
  {
    CHECK(avoided() == 3);
  }
  WHEN("one of them has just answered this host")
  {
    NoteOutcome(servers.mStandings[1], DispatchOutcome::kServed, kNow);
    THEN("it is used")
    {
      CHECK(avoided() == 2);
    }
  }
  WHEN("that is most of them")
  {
    for (ServerStanding& standing : servers.mStandings) {
      standing.mBrokenElsewhere = true;
    }
    THEN("none is left out")
    {
      CHECK(avoided() == 0);
    }
  }
}

SCENARIO("a host finds that a server is broken")
{
  ServerStanding standing;
  WHEN("it stays silent")
  {
    NoteSilence(standing, kNow);
    THEN("others are told, for a while")
    {
      CHECK(IsBroken(standing, kNow));
      CHECK_FALSE(HasPassed(standing.mAvoidUntil, kNow));
      CHECK_FALSE(IsBroken(standing, kNow + std::chrono::seconds{ 2 }));
    }
  }
  WHEN("it breaks off")
  {
    NoteOutcome(standing, DispatchOutcome::kBroken, kNow);
    CHECK(IsBroken(standing, kNow));
    AND_WHEN("it answers, be it with a failure")
    {
      NoteOutcome(standing, DispatchOutcome::kFailed, kNow);
      THEN("others are not told")
      {
        CHECK_FALSE(IsBroken(standing, kNow));
      }
    }
  }
}

SCENARIO("many hosts with old news of the load overflow from busy servers")
{
  Servers servers{ 40 };
  // All hosts believe that one server is idle and all others have much to read.
  for (ServerStanding& standing : servers.mStandings) {
    Add(standing.mBacklog, 50'000, 0, kNow);
  }
  servers.mStandings[5].mBacklog = {};
  WHEN("requests of many sessions come")
  {
    std::map<std::size_t, int> taken;
    constexpr int kSessions = 400;
    for (int session = 0; session < kSessions; ++session) {
      const ChoiceTerms terms{ .mZone = kZoneA,
                               .mCacheKey = fmt::format("session-{}", session),
                               .mSharedTokens = 13'000 };
      ++taken[*ChooseServer(servers.Candidates(), terms, kNow)];
    }
    THEN("they do not all move to the idle one")
    {
      CHECK(taken[5] < kSessions / 8);
    }
  }
  WHEN("requests of one session come and its first servers get busier in turn")
  {
    const ChoiceTerms terms{ .mZone = kZoneA, .mCacheKey = "session", .mSharedTokens = 13'000 };
    std::set<std::size_t> readers;
    constexpr int kRequests = 60;
    for (int request = 0; request < kRequests; ++request) {
      const std::size_t chosen = *ChooseServer(servers.Candidates(), terms, kNow);
      servers.mStandings[chosen].mPendingTokens += 17'000;
      readers.insert(chosen);
    }
    THEN("few servers read its shared parts")
    {
      CHECK(readers.size() <= 3);
    }
  }
}

SCENARIO("a plain request is sent to the least loaded server near by")
{
  Servers servers{ 4 };
  const ChoiceTerms terms{ .mZone = kZoneB, .mDraw = 2 };
  CHECK(servers.mServers[*ChooseServer(servers.Candidates(), terms, kNow)].mZone == kZoneB);
  WHEN("those of the zone are busy")
  {
    servers.mStandings[1].mInFlight = 3;
    servers.mStandings[3].mInFlight = 3;
    THEN("another zone takes it")
    {
      CHECK(servers.mServers[*ChooseServer(servers.Candidates(), terms, kNow)].mZone == kZoneA);
    }
  }
  WHEN("there are none")
  {
    THEN("none is chosen")
    {
      CHECK_FALSE(ChooseServer({}, terms, kNow).has_value());
    }
  }
}

SCENARIO("the servers of a zone break off together")
{
  ZoneStanding zone;
  CHECK_FALSE(NoteZoneOutcome(zone, BackendServerId{ "e1" }, DispatchOutcome::kBroken, kNow));
  CHECK_FALSE(NoteZoneOutcome(zone, BackendServerId{ "e1" }, DispatchOutcome::kBroken, kNow));
  WHEN("a second one does")
  {
    CHECK(NoteZoneOutcome(zone, BackendServerId{ "e2" }, DispatchOutcome::kBroken, kNow));
    THEN("the zone is avoided for a while")
    {
      CHECK_FALSE(HasPassed(zone.mAvoidUntil, kNow));
    }
  }
  WHEN("one answers in between")
  {
    NoteZoneOutcome(zone, BackendServerId{ "e3" }, DispatchOutcome::kServed, kNow);
    THEN("the second one alone is not the zone")
    {
      CHECK_FALSE(NoteZoneOutcome(zone, BackendServerId{ "e2" }, DispatchOutcome::kBroken, kNow));
    }
  }
}

SCENARIO("nine hosts repeat requests")
{
  const ServiceId service{ "reviews" };
  RetryFund fund =
    MakeRetryFund({ .mRatio = 0.2, .mSlack = 58, .mWindow = std::chrono::seconds{ 10 } });
  for (int i = 0; i < 100; ++i) {
    CountRequest(fund, service, kNow);
  }
  int repeats = 0;
  while (TakeRepeat(fund, service, 9, kNow)) {
    ++repeats;
  }
  THEN("each spends its requests' share and a ninth of the slack")
  {
    CHECK(repeats == 26);
    CHECK_FALSE(TakeRepeat(fund, service, 9, kNow + std::chrono::seconds{ 9 }));
    CHECK(TakeRepeat(fund, service, 9, kNow + std::chrono::seconds{ 11 }));
  }
}

} // namespace
} // namespace trefoil
