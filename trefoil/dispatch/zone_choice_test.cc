#include "trefoil/dispatch/zone_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <vector>

namespace trefoil {
namespace {

const Instant kStart{ std::chrono::hours{ 1 } };
constexpr Milliseconds kStep{ 50 };
constexpr ZoneChoiceParameters kParameters{ .mCrossingCost = Milliseconds{ 5 } };
constexpr double kIdleMs = 20;

// Two zones whose servers answer the slower the more of their capacity is used. Each zone has some
// hosts, and a demand in parts of its capacity.
struct Zones
{
  explicit Zones(std::size_t aHosts)
    : mHosts{ std::vector<ZoneChoice>(aHosts), std::vector<ZoneChoice>(aHosts) }
  {
  }

  static double AnswerMs(double aLoad) { return kIdleMs / (1 - std::min(aLoad, 0.97)); }

  // Returns the share of a zone's demand that leaves it.
  double Leaving(std::size_t aZone) const
  {
    double sum = 0;
    for (const ZoneChoice& host : mHosts[aZone]) {
      sum += host.mShare;
    }
    return sum / static_cast<double>(mHosts[aZone].size());
  }

  void Run(Milliseconds aTime, const std::vector<double>& aDemand)
  {
    for (const Instant end = mNow + aTime; mNow < end; mNow += kStep) {
      const double toSecond = aDemand[0] * Leaving(0);
      const double toFirst = aDemand[1] * Leaving(1);
      mLoad = { aDemand[0] - toSecond + toFirst, aDemand[1] - toFirst + toSecond };
      for (std::size_t zone = 0; zone < mHosts.size(); ++zone) {
        for (ZoneChoice& host : mHosts[zone]) {
          std::uniform_real_distribution<double> noise{ 0.5, 1.5 };
          const bool leaves = std::generate_canonical<double, 32>(mRandom) < host.mShare;
          const double ms = AnswerMs(mLoad[leaves ? 1 - zone : zone]) * noise(mRandom);
          RecordZoneTime(
            host, { .mIsOwnZone = !leaves, .mTime = Milliseconds{ std::llround(ms) } }, mNow);
          LeavingShare(host, kParameters, mNow);
        }
        mHighest[zone] = std::max(mHighest[zone], mLoad[zone]);
      }
    }
  }

  std::vector<std::vector<ZoneChoice>> mHosts;
  std::vector<double> mLoad{ 0, 0 };
  std::vector<double> mHighest{ 0, 0 };
  Instant mNow = kStart;
  std::mt19937_64 mRandom{ 7 };
};

// Guards against requests that wait at home while another zone has room, and against hosts that
// leave together and fill the other zone (load: uneven demand of zones, bursts of 1.5 to 1.7
// times).
SCENARIO("two zones with twenty hosts each")
{
  Zones zones{ 20 };
  WHEN("both have room, and their answers differ by less than the crossing costs")
  {
    zones.Run(std::chrono::seconds{ 20 }, { 0.40, 0.42 });
    THEN("nearly everything stays")
    {
      CHECK(zones.Leaving(0) + zones.Leaving(1) < 0.1);
    }
  }
  WHEN("one has more demand than its servers can carry")
  {
    zones.Run(std::chrono::seconds{ 5 }, { 0.4, 0.4 });
    zones.Run(std::chrono::seconds{ 20 }, { 1.1, 0.4 });
    THEN("a part leaves, and both zones keep room")
    {
      CHECK(zones.Leaving(0) > 0.1);
      CHECK(zones.mLoad[0] < 0.95);
      CHECK(zones.mLoad[1] < 0.95);
    }
    THEN("the other zone was never filled by those that left together")
    {
      CHECK(zones.mHighest[1] < 0.97);
    }
    AND_WHEN("the demand is as usual again")
    {
      zones.Run(std::chrono::seconds{ 10 }, { 0.4, 0.4 });
      THEN("they come back")
      {
        CHECK(zones.Leaving(0) < 0.1);
      }
    }
  }
  WHEN("both are full")
  {
    zones.Run(std::chrono::seconds{ 20 }, { 0.95, 0.95 });
    THEN("most requests stay, since leaving gains nothing")
    {
      CHECK(zones.Leaving(0) < 0.5);
      CHECK(zones.Leaving(1) < 0.5);
    }
  }
}

SCENARIO("a host has just started")
{
  ZoneChoice choice;
  THEN("it stays in its zone, without measurements")
  {
    CHECK(LeavingShare(choice, kParameters, kStart) == 0);
    CHECK(LeavingShare(choice, kParameters, kStart + std::chrono::seconds{ 1 }) == 0);
  }
  WHEN("the answers of its zone become slow")
  {
    for (int i = 0; i < 200; ++i) {
      const Milliseconds time{ i < 20 ? 20 : 200 };
      RecordZoneTime(choice, { .mTime = time }, kStart + i * kStep);
      LeavingShare(choice, kParameters, kStart + i * kStep);
    }
    THEN("requests leave")
    {
      CHECK(choice.mShare > 0.5);
    }
    AND_WHEN("no answer is observed for some seconds")
    {
      for (int i = 0; i < 10; ++i) {
        LeavingShare(choice, kParameters, kStart + std::chrono::seconds{ 14 + i });
      }
      THEN("old measurements count as unknown, so that it stays")
      {
        CHECK(choice.mShare == 0);
      }
    }
  }
}

SCENARIO("prompts with shared parts")
{
  THEN("servers are alike for a short one and not for a long one")
  {
    CHECK(IsServedAlike(0, 50'000, kParameters));
    CHECK(IsServedAlike(250, 50'000, kParameters));
    CHECK_FALSE(IsServedAlike(13'300, 157'000, kParameters));
  }
}

} // namespace
} // namespace trefoil
