#include "trefoil/dispatch/server_limit.h"
#include "trefoil/dispatch/warm_up.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <random>
#include <vector>

namespace trefoil {
namespace {

const Instant kNow{ std::chrono::hours{ 1 } };
const BackendServerId kServer{ "e1" };
constexpr Milliseconds kStep{ 10 };
// The requests in any second that the platform tolerates beyond the rate.
constexpr double kOverage = 1.5;
constexpr double kSlack = 5;

RegisteredServer
Registration(std::int64_t aRevision, int aRemainingMs, std::int64_t aIncarnation = 1)
{
  return { .mId = kServer,
           .mIncarnation = aIncarnation,
           .mRemainingWarmUp = Milliseconds{ aRemainingMs },
           .mRevision = aRevision };
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

// The largest time from the use of a permit to the arrival of the request at the server.
constexpr int kMaxConnectMs = 300;

// One entry host, which sends the cold server whatever it may.
struct ModelHost
{
  HostId mId;
  std::size_t mListed = 0;
  std::size_t mRank = 0;
  WarmUp mWarmUp;
  Instant mListedSince;
};

// Hosts that decide by their own lists and clocks of arrival only: no host hears of another's
// requests. The hosts need not reach each other.
struct Fleet
{
  Fleet(std::size_t aHosts, double aPerSecond, std::uint64_t aSeed)
    : mPerSecond(aPerSecond)
    , mRandom(aSeed)
  {
    const std::vector<HostId> all = MakeHosts(aHosts);
    for (const HostId& host : all) {
      mHosts.push_back({ .mId = host });
      SetList(mHosts.back(), all, kNow - Milliseconds{ 60'000 });
    }
  }

  int Draw(int aMax) { return static_cast<int>(mRandom() % static_cast<std::uint64_t>(aMax + 1)); }

  void UpdatePart(ModelHost& aHost, Instant aNow) const
  {
    if (aHost.mListed == 0) {
      SetPart(aHost.mWarmUp, {}, aNow);
      return;
    }
    SetPart(aHost.mWarmUp,
            PartOfWarmUpLimit(mPerSecond,
                              { .mRank = aHost.mRank,
                                .mHosts = aHost.mListed,
                                .mIsSettled = aNow - aHost.mListedSince >= Milliseconds{ 4'000 } }),
            aNow);
  }

  void SetList(ModelHost& aHost, const std::vector<HostId>& aList, Instant aNow) const
  {
    if (aHost.mListed == 0) {
      aHost.mListedSince = aNow;
    }
    aHost.mListed = aList.size();
    aHost.mRank = RankOfHost(aList, aHost.mId, kServer);
    UpdatePart(aHost, aNow);
  }

  void Register(ModelHost& aHost, const RegisteredServer& aServer, Instant aNow) const
  {
    ObserveRegistration(aHost.mWarmUp, aServer, {}, aNow);
    UpdatePart(aHost, aNow);
  }

  // Starts a host anew. It knows the server and the other hosts once it has read them.
  void Restart(ModelHost& aHost) const { aHost = { .mId = aHost.mId }; }

  // Sends what the permits allow at `aNow`, each request after the time in which its connection is
  // opened.
  void Send(Instant aNow)
  {
    for (ModelHost& host : mHosts) {
      if (!IsWarmingUp(host.mWarmUp, aNow)) {
        continue;
      }
      UpdatePart(host, aNow);
      while (mHasRequests && HasPermit(host.mWarmUp, aNow)) {
        UsePermit(host.mWarmUp);
        const Milliseconds delay{ mOpensConnections && Draw(3) == 0 ? Draw(kMaxConnectMs) : 0 };
        DelayNextPermit(host.mWarmUp, delay);
        mArrivals.push_back(aNow + delay);
      }
    }
  }

  // Runs the hosts, with `aChange` before each step.
  template<typename Change>
  void Run(Milliseconds aTime, const Change& aChange)
  {
    for (Milliseconds at{ 0 }; at < aTime; at += kStep) {
      aChange(at);
      Send(kNow + at);
    }
  }

  // Returns the largest number of requests that reach the server in a second.
  std::size_t LargestSecond()
  {
    std::ranges::sort(mArrivals);
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < mArrivals.size(); ++i) {
      while (mArrivals[i] - mArrivals[first] > Milliseconds{ 1'000 }) {
        ++first;
      }
      largest = std::max(largest, i - first + 1);
    }
    return largest;
  }

  bool KeepsLimit()
  {
    return static_cast<double>(LargestSecond()) <= kOverage * mPerSecond + kSlack;
  }

  double mPerSecond;
  bool mHasRequests = true;
  bool mOpensConnections = true;
  std::mt19937_64 mRandom;
  std::vector<ModelHost> mHosts;
  std::vector<Instant> mArrivals;
};

// Guards against a server that crashes while it warms up, because the hosts together send it more
// than it bears (COLD).
SCENARIO("all hosts together use a server that warms up")
{
  const std::uint64_t seed = GENERATE(range(1, 9));
  const std::size_t hosts = GENERATE(1, 7, 68, 76, 84);
  const double perSecond = GENERATE(0.05, 1.9, 7.7, 9.9, 30.0);
  CAPTURE(seed, hosts, perSecond);
  Fleet fleet{ hosts, perSecond, seed };
  std::vector<Milliseconds> arrival;
  for (std::size_t i = 0; i < hosts; ++i) {
    arrival.emplace_back(fleet.Draw(60) * kStep.count());
  }
  // Each host learns of the server at its own time, and once more by the same entry.
  const auto registerAll = [&](Milliseconds aAt) {
    for (std::size_t i = 0; i < hosts; ++i) {
      if (aAt == arrival[i] || aAt == arrival[i] + Milliseconds{ 400 }) {
        fleet.Register(fleet.mHosts[i], Registration(5, 6'000), kNow + aAt);
      }
    }
  };
  const std::vector<HostId> all = MakeHosts(hosts);
  const std::vector<HostId> larger = MakeHosts(hosts + 1);

  GIVEN("hosts with the same list")
  {
    fleet.Run(Milliseconds{ 6'000 }, registerAll);
    THEN("no second exceeds the limit, and most of it is used")
    {
      CHECK(fleet.KeepsLimit());
      CHECK(static_cast<double>(fleet.mArrivals.size()) >= 0.6 * perSecond * 5 - 1);
    }
  }
  GIVEN("hosts that get no requests for a while and then many")
  {
    fleet.mOpensConnections = false;
    fleet.Run(Milliseconds{ 6'000 }, [&](Milliseconds aAt) {
      registerAll(aAt);
      fleet.mHasRequests = aAt >= Milliseconds{ 3'000 };
    });
    THEN("what was saved up does not exceed the limit")
    {
      CHECK(fleet.KeepsLimit());
    }
  }
  GIVEN("hosts that learn that one has joined or left at different times")
  {
    fleet.Run(Milliseconds{ 6'000 }, [&](Milliseconds aAt) {
      registerAll(aAt);
      for (ModelHost& host : fleet.mHosts) {
        if (fleet.Draw(300) == 0) {
          fleet.SetList(host, fleet.Draw(1) == 0 ? all : larger, kNow + aAt);
        }
      }
    });
    THEN("no second exceeds the limit")
    {
      CHECK(fleet.KeepsLimit());
    }
  }
  GIVEN("hosts that restart within the second, again and again")
  {
    fleet.Run(Milliseconds{ 6'000 }, [&](Milliseconds aAt) {
      registerAll(aAt);
      for (ModelHost& host : fleet.mHosts) {
        if (fleet.Draw(100) == 0) {
          fleet.Restart(host);
          fleet.Register(host, Registration(6, 6'000), kNow + aAt);
        } else if (host.mListed == 0 && fleet.Draw(10) == 0) {
          fleet.SetList(host, all, kNow + aAt);
        }
      }
    });
    THEN("no second exceeds the limit")
    {
      CHECK(fleet.KeepsLimit());
    }
  }
  GIVEN("a quarter of the hosts, which reach neither the store nor the others any more")
  {
    const std::size_t cut = hosts / 4;
    fleet.Run(Milliseconds{ 6'000 }, [&](Milliseconds aAt) {
      registerAll(aAt);
      if (aAt == Milliseconds{ 2'000 }) {
        for (std::size_t i = cut; i < hosts; ++i) {
          fleet.SetList(fleet.mHosts[i],
                        { all.begin() + static_cast<std::ptrdiff_t>(cut), all.end() },
                        kNow + aAt);
        }
      }
    });
    THEN("both sides together keep the limit")
    {
      CHECK(fleet.KeepsLimit());
    }
  }
  GIVEN("hosts that all start within two seconds, and list those that have started before them")
  {
    std::vector<Milliseconds> startsAt;
    for (ModelHost& host : fleet.mHosts) {
      fleet.Restart(host);
      startsAt.emplace_back(fleet.Draw(200) * kStep.count());
    }
    fleet.Run(Milliseconds{ 6'000 }, [&](Milliseconds aAt) {
      for (std::size_t i = 0; i < hosts; ++i) {
        if (aAt == startsAt[i] || aAt == startsAt[i] + Milliseconds{ 2'500 }) {
          std::vector<HostId> listed;
          for (std::size_t j = 0; j < hosts; ++j) {
            if (startsAt[j] <= aAt) {
              listed.push_back(all[j]);
            }
          }
          fleet.SetList(fleet.mHosts[i], listed, kNow + aAt);
          fleet.Register(fleet.mHosts[i], Registration(6, 6'000), kNow + aAt);
        }
      }
    });
    THEN("no second exceeds the limit")
    {
      CHECK(fleet.KeepsLimit());
    }
  }
  GIVEN("a server that has been cold, was warm for a while and is cold again")
  {
    fleet.Run(Milliseconds{ 8'000 }, [&](Milliseconds aAt) {
      for (std::size_t i = 0; i < hosts; ++i) {
        if (aAt == arrival[i]) {
          fleet.Register(fleet.mHosts[i], Registration(5, 2'000), kNow + aAt);
        } else if (aAt == arrival[i] + Milliseconds{ 5'000 }) {
          fleet.Register(fleet.mHosts[i], Registration(9, 3'000, 2), kNow + aAt);
        }
      }
    });
    THEN("what was saved up meanwhile is not used")
    {
      CHECK(fleet.KeepsLimit());
    }
  }
}

SCENARIO("a host learns how long a server warms up")
{
  WarmUp warmUp;
  REQUIRE_FALSE(IsWarmingUp(warmUp, kNow));
  REQUIRE(ObserveRegistration(warmUp, Registration(5, 3'000), {}, kNow));
  SetPart(warmUp, { .mPerSecond = 1, .mMax = 1 }, kNow);
  const auto after = [](int aMs) { return kNow + Milliseconds{ aMs }; };
  THEN("the server is cold for as long, counted from the arrival")
  {
    CHECK(IsWarmingUp(warmUp, after(2'999)));
    CHECK_FALSE(IsWarmingUp(warmUp, after(3'000)));
  }
  THEN("the host begins without permits")
  {
    CHECK_FALSE(HasPermit(warmUp, kNow));
    CHECK(HasPermit(warmUp, after(1'000)));
  }
  WHEN("the same entry arrives once more, or an older one late")
  {
    CHECK_FALSE(ObserveRegistration(warmUp, Registration(5, 3'000), {}, after(2'000)));
    CHECK_FALSE(ObserveRegistration(warmUp, Registration(4, 9'000), {}, after(2'000)));
    THEN("the warm-up ends when it would have")
    {
      CHECK_FALSE(IsWarmingUp(warmUp, after(3'000)));
    }
  }
  WHEN("a later entry states a shorter time")
  {
    CHECK_FALSE(ObserveRegistration(warmUp, Registration(6, 500), {}, after(1'000)));
    THEN("the warm-up ends sooner")
    {
      CHECK_FALSE(IsWarmingUp(warmUp, after(1'500)));
    }
  }
  WHEN("a later entry of the cold server prolongs the time")
  {
    CHECK(HasPermit(warmUp, after(1'000)));
    CHECK_FALSE(ObserveRegistration(warmUp, Registration(6, 3'000, 2), {}, after(1'000)));
    THEN("the permits go on")
    {
      CHECK(HasPermit(warmUp, after(1'000)));
      CHECK(IsWarmingUp(warmUp, after(3'999)));
    }
  }
  WHEN("the server restarts and does not state that it warms up")
  {
    RegisteredServer restarted = Registration(9, 0, 2);
    restarted.mRemainingWarmUp.reset();
    CHECK(ObserveRegistration(warmUp, restarted, Milliseconds{ 2'000 }, after(5'000)));
    THEN("it is taken to be cold for the time of the service")
    {
      CHECK(IsWarmingUp(warmUp, after(6'999)));
      CHECK_FALSE(IsWarmingUp(warmUp, after(7'000)));
    }
  }
  WHEN("its health answer states a longer time, and an entry from before it arrives afterwards")
  {
    CHECK_FALSE(ObserveHealth(warmUp, Milliseconds{ 3'000 }, after(2'000)));
    CHECK_FALSE(ObserveRegistration(warmUp, Registration(6, 0), {}, after(2'100)));
    THEN("the answer holds")
    {
      CHECK(IsWarmingUp(warmUp, after(4'999)));
    }
  }
  WHEN("its health answer states that it is warm")
  {
    CHECK_FALSE(ObserveHealth(warmUp, Milliseconds{ 0 }, after(1'000)));
    THEN("the entry holds, since it can be newer")
    {
      CHECK(IsWarmingUp(warmUp, after(2'999)));
    }
  }
  WHEN("the connection of a request takes long")
  {
    REQUIRE(HasPermit(warmUp, after(1'000)));
    UsePermit(warmUp);
    DelayNextPermit(warmUp, Milliseconds{ 300 });
    THEN("the next permit follows as much later")
    {
      CHECK_FALSE(HasPermit(warmUp, after(2'290)));
      CHECK(HasPermit(warmUp, after(2'310)));
    }
  }
  WHEN("this host loses its part to another one and gets it back")
  {
    SetPart(warmUp, {}, after(1'000));
    SetPart(warmUp, { .mPerSecond = 1, .mMax = 1 }, after(1'200));
    THEN("it begins without permits")
    {
      CHECK_FALSE(HasPermit(warmUp, after(2'100)));
      CHECK(HasPermit(warmUp, after(2'200)));
    }
  }
}

} // namespace
} // namespace trefoil
