#include "trefoil/steering/scaling.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <fmt/format.h>
#include <rapidcheck.h>

namespace trefoil {
namespace {

const ServiceId kService{ "reviews" };
const AvailabilityZoneId kZoneA{ "a" };
const AvailabilityZoneId kZoneB{ "b" };
const HostId kHost{ "host-1" };
const Instant kStart{ std::chrono::hours{ 1 } };
constexpr Milliseconds kLater{ 4'000 };

Catalogue
MakeCatalogue()
{
  Catalogue catalogue;
  catalogue.mServices[kService] = { .mName = kService,
                                    .mScaling = ScalingBounds{ .mMin = 1,
                                                               .mMax = 10,
                                                               .mBootTime = Milliseconds{ 4'000 },
                                                               .mReclaimablePriceRatio = 0.15 } };
  return catalogue;
}

void
AddServers(ServerRegistry& aServers, const AvailabilityZoneId& aZone, bool aReclaimable, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    const BackendServerId id{ fmt::format("{}-{}-{}", aZone.Value(), aReclaimable, i) };
    RegisterServer(aServers,
                   { .mId = id,
                     .mService = kService,
                     .mZone = aZone,
                     .mReclaimable = aReclaimable,
                     .mRevision = 1 });
  }
}

int
OrderedCount(const std::vector<ServerOrder>& aOrders,
             const AvailabilityZoneId& aZone,
             bool aReclaimable)
{
  const auto found = std::ranges::find_if(aOrders, [&](const ServerOrder& aOrder) {
    return aOrder.mZone == aZone && aOrder.mReclaimable == aReclaimable;
  });
  return found == aOrders.end() ? -1 : found->mCount;
}

SCENARIO("a host takes over the duty while servers are still registering")
{
  const Catalogue catalogue = MakeCatalogue();
  ServerRegistry servers;
  const ScalingInputs inputs{ &catalogue, &servers, { kZoneA, kZoneB } };
  ScalingState scaling;
  ResetScaling(scaling, kStart);
  AddServers(servers, kZoneA, false, 1);
  THEN("no server is ordered yet")
  {
    CHECK(DueOrders(scaling, inputs, kStart).empty());
  }
  WHEN("the other servers have registered")
  {
    DueOrders(scaling, inputs, kStart);
    AddServers(servers, kZoneA, false, 4);
    AddServers(servers, kZoneB, false, 4);
    DueOrders(scaling, inputs, kStart + std::chrono::seconds{ 3 });
    const auto orders = DueOrders(scaling, inputs, kStart + kLater);
    THEN("reclaimable servers are ordered to replace all, and no running server is released yet")
    {
      CHECK(OrderedCount(orders, kZoneA, true) == 6);
      CHECK(OrderedCount(orders, kZoneB, true) == 6);
      CHECK(OrderedCount(orders, kZoneA, false) == -1);
    }
    AND_WHEN("the reclaimable servers run")
    {
      for (const ServerOrder& order : orders) {
        OnOrderAnswered(scaling, order, true, kStart + kLater);
      }
      AddServers(servers, kZoneA, true, 6);
      AddServers(servers, kZoneB, true, 6);
      const auto fewer = DueOrders(scaling, inputs, kStart + kLater + std::chrono::seconds{ 4 });
      THEN("all on-demand servers but one in each zone are released immediately")
      {
        CHECK(OrderedCount(fewer, kZoneA, false) == 1);
        CHECK(OrderedCount(fewer, kZoneB, false) == 1);
      }
    }
  }
}

SCENARIO("the reclaimable servers of a zone are reclaimed")
{
  const Catalogue catalogue = MakeCatalogue();
  ServerRegistry servers;
  const ScalingInputs inputs{ &catalogue, &servers, { kZoneA, kZoneB } };
  ScalingState scaling;
  ResetScaling(scaling, kStart);
  for (const AvailabilityZoneId& zone : { kZoneA, kZoneB }) {
    AddServers(servers, zone, true, 4);
    AddServers(servers, zone, false, 1);
  }
  DueOrders(scaling, inputs, kStart + std::chrono::seconds{ 3 });
  DueOrders(scaling, inputs, kStart + kLater);
  WHEN("no others are available")
  {
    for (int i = 0; i < 4; ++i) {
      DeregisterServer(servers, BackendServerId{ fmt::format("a-true-{}", i) }, 2);
    }
    const Instant now = kStart + kLater + std::chrono::seconds{ 3 };
    const auto orders = DueOrders(scaling, inputs, now);
    THEN("on-demand servers are ordered for all that is lost if the other zone is reclaimed too")
    {
      // Ten servers are needed. Of ten allowed in each zone, six may be reclaimable.
      CHECK(OrderedCount(orders, kZoneA, false) == 4);
      CHECK(OrderedCount(orders, kZoneB, false) == 4);
    }
  }
}

SCENARIO("a zone has no room for all the servers of an order")
{
  const Catalogue catalogue = MakeCatalogue();
  ServerRegistry servers;
  const ScalingInputs inputs{ &catalogue, &servers, { kZoneA, kZoneB } };
  ScalingState scaling;
  ResetScaling(scaling, kStart);
  AddServers(servers, kZoneA, false, 7);
  AddServers(servers, kZoneB, false, 1);
  const auto at = [](int aSeconds) { return kStart + std::chrono::seconds{ aSeconds }; };
  DueOrders(scaling, inputs, at(3));
  for (const ServerOrder& order : DueOrders(scaling, inputs, at(4))) {
    OnOrderAnswered(scaling, order, true, at(4));
  }
  WHEN("the other servers have left it")
  {
    for (int i = 4; i < 7; ++i) {
      DeregisterServer(servers, BackendServerId{ fmt::format("a-false-{}", i) }, 2);
    }
    const auto orders = DueOrders(scaling, inputs, at(7));
    THEN("the order is repeated at once, and that of a zone with room after its boot time")
    {
      CHECK(OrderedCount(orders, kZoneA, true) > 0);
      CHECK(OrderedCount(orders, kZoneB, true) == -1);
    }
  }
}

// Guards against servers that are ordered where they get no requests, against a zone whose load
// finds too few servers elsewhere, and against requests that an order for fewer servers ends.
SCENARIO("a zone is evacuated")
{
  const AvailabilityZoneId zoneC{ "c" };
  const Catalogue catalogue = MakeCatalogue();
  ServerRegistry servers;
  ScalingInputs inputs{ &catalogue, &servers, { kZoneA, kZoneB, zoneC } };
  ScalingState scaling;
  ResetScaling(scaling, kStart);
  const auto at = [](int aSeconds) { return kStart + std::chrono::seconds{ aSeconds }; };
  for (const AvailabilityZoneId& zone : inputs.mZones) {
    AddServers(servers, zone, true, 3);
    AddServers(servers, zone, false, 1);
  }
  DueOrders(scaling, inputs, at(3));
  for (const ServerOrder& order : DueOrders(scaling, inputs, at(4))) {
    OnOrderAnswered(scaling, order, true, at(4));
  }
  AddServers(servers, kZoneA, true, 6);
  AddServers(servers, kZoneB, true, 6);
  AddServers(servers, zoneC, true, 6);
  const auto planned = [&] {
    int count = 0;
    for (const auto& [zone, plan] : PlanServers(inputs, catalogue.mServices.at(kService), 8)) {
      count += plan.mReclaimable;
    }
    return count;
  };
  const int before = planned();
  inputs.mEvacuatedZones = { kZoneA };
  THEN("what is needed is planned in the others")
  {
    const auto plan = PlanServers(inputs, catalogue.mServices.at(kService), 8);
    CHECK_FALSE(plan.contains(kZoneA));
    CHECK(plan.size() == 2);
    CHECK(planned() >= before - 3);
  }
  THEN("what is missing is ordered in the others at once, and nothing in the zone, more or fewer")
  {
    for (int i = 0; i < 9; ++i) {
      DeregisterServer(servers, BackendServerId{ fmt::format("b-true-{}", i) }, 2);
    }
    // The last orders of the zone were sent 2 s before.
    const auto orders = DueOrders(scaling, inputs, at(6));
    CHECK(OrderedCount(orders, zoneC, false) == 4);
    for (int second = 7; second < 60; ++second) {
      const auto later = DueOrders(scaling, inputs, at(second));
      CHECK(OrderedCount(later, kZoneA, true) == -1);
      CHECK(OrderedCount(later, kZoneA, false) == -1);
    }
  }
  THEN("its servers stay for the delay of a release after the evacuation was taken back")
  {
    AddServers(servers, kZoneA, false, 6);
    scaling.mOrders[{ kService, kZoneA, true }].mAcceptedCount = 9;
    for (int second = 5; second < 40; ++second) {
      DueOrders(scaling, inputs, at(second));
    }
    inputs.mEvacuatedZones.clear();
    CHECK(OrderedCount(DueOrders(scaling, inputs, at(40)), kZoneA, true) == -1);
    CHECK(OrderedCount(DueOrders(scaling, inputs, at(42)), kZoneA, true) == -1);
  }
  WHEN("all zones are evacuated")
  {
    inputs.mEvacuatedZones = { kZoneA, kZoneB, zoneC };
    THEN("no order is sent")
    {
      CHECK(DueOrders(scaling, inputs, at(50)).empty());
    }
  }
}

// Guards against orders that end the servers of the version that a service is moved to: a host that
// takes over the duty counts the servers of both versions, and needs fewer.
SCENARIO("a host takes over the duty while a service moves to another version")
{
  const Catalogue catalogue = MakeCatalogue();
  ServerRegistry servers;
  ScalingInputs inputs{ &catalogue, &servers, { kZoneA, kZoneB } };
  inputs.mMoving = { { kService, kStart } };
  ScalingState scaling;
  ResetScaling(scaling, kStart);
  AddServers(servers, kZoneA, false, 9);
  AddServers(servers, kZoneB, false, 9);
  const auto at = [](int aSeconds) { return kStart + std::chrono::seconds{ aSeconds }; };
  const auto ordersOnDemand = [&](int aSeconds) {
    return std::ranges::any_of(DueOrders(scaling, inputs, at(aSeconds)),
                               [](const ServerOrder& aOrder) { return !aOrder.mReclaimable; });
  };
  for (int second = 0; second < 30; ++second) {
    CHECK_FALSE(ordersOnDemand(second));
  }
  WHEN("more servers are needed than run, all versions together")
  {
    for (const AvailabilityZoneId& zone : { kZoneA, kZoneB }) {
      for (int i = 1; i < 9; ++i) {
        DeregisterServer(
          servers, BackendServerId{ fmt::format("{}-false-{}", zone.Value(), i) }, 2);
      }
    }
    THEN("more are ordered, once those of the new version have had time to start")
    {
      CHECK(ordersOnDemand(40));
      inputs.mMoving.at(kService) = at(45);
      CHECK_FALSE(ordersOnDemand(46));
    }
  }
  WHEN("the move has ended")
  {
    inputs.mMoving.clear();
    AddServers(servers, kZoneA, true, 6);
    AddServers(servers, kZoneB, true, 6);
    THEN("fewer servers are ordered")
    {
      CHECK(ordersOnDemand(40));
    }
  }
}

SCENARIO("many servers take long to register")
{
  const Catalogue catalogue = MakeCatalogue();
  ServerRegistry servers;
  const ScalingInputs inputs{ &catalogue, &servers, { kZoneA, kZoneB } };
  ScalingState scaling;
  ResetScaling(scaling, kStart);
  AddServers(servers, kZoneA, false, 4);
  DueOrders(scaling, inputs, kStart);
  WHEN("more of them appear after the others")
  {
    AddServers(servers, kZoneA, false, 8);
    CHECK(DueOrders(scaling, inputs, kStart + kLater).empty());
    THEN("none is ordered until no more appear, and none is released")
    {
      const auto orders = DueOrders(scaling, inputs, kStart + kLater + std::chrono::seconds{ 1 });
      CHECK(OrderedCount(orders, kZoneA, true) == 6);
      CHECK(ServersNeeded(scaling, inputs, kService, kStart + kLater) == 8);
    }
  }
}

ServiceLoad
PromptLoad(double aTokens)
{
  return { .mPromptTokens = aTokens, .mBusyMs = aTokens / 100 };
}

SCENARIO("the demand is computed from the totals of the hosts")
{
  ScalingState scaling;
  RecordDemand(scaling, kHost, kService, PromptLoad(1'000'000), kStart);
  RecordDemand(scaling, kHost, kService, PromptLoad(1'200'000), kStart + std::chrono::seconds{ 2 });
  CHECK(PeakDemand(scaling, kService).mTokensPerSecond == Approx(100'000));
  CHECK(PeakDemand(scaling, kService).mConcurrentRequests == Approx(1));
  WHEN("a host restarts and its total begins at 0")
  {
    RecordDemand(scaling, kHost, kService, {}, kStart + std::chrono::seconds{ 3 });
    RecordDemand(scaling, kHost, kService, PromptLoad(50'000), kStart + std::chrono::seconds{ 4 });
    THEN("its new demand is added")
    {
      CHECK(PeakDemand(scaling, kService).mTokensPerSecond == Approx(100'000));
    }
  }
  WHEN("the peak is older than the demand window")
  {
    RecordDemand(
      scaling, kHost, kService, PromptLoad(1'200'000), kStart + std::chrono::seconds{ 40 });
    THEN("it no longer counts")
    {
      CHECK(PeakDemand(scaling, kService).mTokensPerSecond == Approx(0));
    }
  }
}

// Records a constant load for `aSeconds`, with the prefills of a server that reads `aTokensPerMs`.
void
RunLoad(ScalingState& aScaling,
        double aTokensPerSecond,
        double aConcurrentRequests,
        double aTokensPerMs,
        int aSeconds)
{
  for (int second = 0; second <= aSeconds; ++second) {
    RecordDemand(aScaling,
                 kHost,
                 kService,
                 { .mPromptTokens = aTokensPerSecond * second,
                   .mPrefillTokens = aTokensPerSecond * second,
                   .mPrefillMs = aTokensPerSecond * second / aTokensPerMs,
                   .mBusyMs = aConcurrentRequests * 1'000 * second },
                 kStart + std::chrono::seconds{ second });
  }
}

SCENARIO("the servers of two services differ in speed")
{
  const Catalogue catalogue = MakeCatalogue();
  ServerRegistry servers;
  const ScalingInputs inputs{ &catalogue, &servers, { kZoneA, kZoneB } };
  const Instant later = kStart + std::chrono::seconds{ 20 };
  const auto needed = [&](double aTokensPerMs) {
    ScalingState scaling;
    ResetScaling(scaling, kStart);
    RunLoad(scaling, 1'000'000, 1, aTokensPerMs, 20);
    return ServersNeeded(scaling, inputs, kService, later);
  };
  THEN("the slower one gets more servers for the same prompts")
  {
    CHECK(needed(20) > 2 * needed(60));
    CHECK(needed(60) > needed(200));
  }
  const bool passed = rc::check("the prefill rate is learned from the answers", [] {
    const double tokensPerMs = *rc::gen::inRange(5, 300);
    ScalingState scaling;
    // 300 s of prefills of all servers together.
    RunLoad(scaling, tokensPerMs * 1'000 * 15, 1, tokensPerMs, 20);
    const double learned = PrefillTokensPerServer(scaling, kService) / 1'000;
    RC_ASSERT(std::abs(learned - tokensPerMs) < 0.1 * tokensPerMs + 2);
  });
  CHECK(passed);
}

SCENARIO("the work of a service is decoding rather than prefill")
{
  const Catalogue catalogue = MakeCatalogue();
  ServerRegistry servers;
  for (const auto& zone : { kZoneA, kZoneB }) {
    for (int i = 0; i < 4; ++i) {
      RegisterServer(servers,
                     { .mId = BackendServerId{ fmt::format("{}-{}", zone.Value(), i) },
                       .mService = kService,
                       .mZone = zone,
                       .mSlots = 32,
                       .mRevision = 1 });
    }
  }
  const ScalingInputs inputs{ &catalogue, &servers, { kZoneA, kZoneB } };
  ScalingState scaling;
  ResetScaling(scaling, kStart);
  // Short prompts whose answers are long: 320 of them are under way at any time.
  RunLoad(scaling, 1'000, 320, 60, 20);
  THEN("the slots that the requests occupy decide the number of servers")
  {
    const int needed =
      ServersNeeded(scaling, inputs, kService, kStart + std::chrono::seconds{ 20 });
    CHECK(needed > 320 / 32);
    CHECK(needed < 2 * 320 / 32);
  }
}

SCENARIO("requests pile up at faulty servers for a few seconds")
{
  ScalingState scaling;
  const auto record = [&](int aSecond, double aBusyMs) {
    RecordDemand(scaling,
                 kHost,
                 kService,
                 { .mPromptTokens = 1'000.0 * aSecond, .mBusyMs = aBusyMs },
                 kStart + std::chrono::seconds{ aSecond });
  };
  double busyMs = 0;
  for (int second = 0; second <= 20; second += 2) {
    busyMs += second == 10 ? 1'600'000 : 100'000;
    record(second, busyMs);
  }
  THEN("the concurrent requests of the other periods decide")
  {
    CHECK(PeakDemand(scaling, kService).mConcurrentRequests == Approx(50));
  }
}

SCENARIO("the first requests arrive long after the hosts have started")
{
  const Catalogue catalogue = MakeCatalogue();
  ServerRegistry servers;
  const ScalingInputs inputs{ &catalogue, &servers, { kZoneA, kZoneB } };
  ScalingState scaling;
  ResetScaling(scaling, kStart);
  AddServers(servers, kZoneA, false, 4);
  AddServers(servers, kZoneB, false, 4);
  DueOrders(scaling, inputs, kStart);
  DueOrders(scaling, inputs, kStart + kLater);
  const auto needed = [&](int aSecond) {
    return ServersNeeded(scaling, inputs, kService, kStart + std::chrono::seconds{ aSecond });
  };
  THEN("the servers are kept, since their absence of work says nothing")
  {
    RunLoad(scaling, 0, 0, 60, 60);
    CHECK(needed(60) == 8);
  }
  WHEN("a few requests have arrived")
  {
    RunLoad(scaling, 10'000, 0.1, 60, 6);
    THEN("the demand is not known yet")
    {
      CHECK(needed(6) == 8);
    }
  }
  WHEN("the load has been measured for a while")
  {
    RunLoad(scaling, 10'000, 0.1, 60, 14);
    THEN("it decides")
    {
      CHECK(needed(14) == 1);
    }
  }
}

} // namespace
} // namespace trefoil
