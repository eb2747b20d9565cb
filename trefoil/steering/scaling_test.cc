#include "trefoil/steering/scaling.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>

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
                                                               .mReclaimablePrice = 0.15 } };
  return catalogue;
}

void
AddServers(ServerRegistry& aServers, const AvailabilityZoneId& aZone, bool aReclaimable, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    const BackendServerId id{ fmt::format("{}-{}-{}", aZone.Value(), aReclaimable, i) };
    Learn(aServers,
          { .mId = id,
            .mService = kService,
            .mZone = aZone,
            .mReclaimable = aReclaimable,
            .mRevision = 1 });
  }
}

int
CountOrdered(const std::vector<ServerOrder>& aOrders,
             const AvailabilityZoneId& aZone,
             bool aReclaimable)
{
  const auto found = std::ranges::find_if(aOrders, [&](const ServerOrder& aOrder) {
    return aOrder.mZone == aZone && aOrder.mReclaimable == aReclaimable;
  });
  return found == aOrders.end() ? -1 : found->mCount;
}

SCENARIO("a host takes up the duty while servers still register")
{
  const Catalogue catalogue = MakeCatalogue();
  ServerRegistry servers;
  const ScalingInputs inputs{ &catalogue, &servers, { kZoneA, kZoneB } };
  ScalingState scaling;
  StartScaling(scaling, kStart);
  AddServers(servers, kZoneA, false, 1);
  THEN("nothing is ordered yet")
  {
    CHECK(DueOrders(scaling, inputs, kStart).empty());
  }
  WHEN("the others have registered")
  {
    DueOrders(scaling, inputs, kStart);
    AddServers(servers, kZoneA, false, 4);
    AddServers(servers, kZoneB, false, 4);
    DueOrders(scaling, inputs, kStart + std::chrono::seconds{ 3 });
    const auto orders = DueOrders(scaling, inputs, kStart + kLater);
    THEN(
      "reclaimable ones are ordered for all that run, and none is sent away before they are there")
    {
      CHECK(CountOrdered(orders, kZoneA, true) == 6);
      CHECK(CountOrdered(orders, kZoneB, true) == 6);
      CHECK(CountOrdered(orders, kZoneA, false) == -1);
    }
    AND_WHEN("the reclaimable ones run")
    {
      for (const ServerOrder& order : orders) {
        OnOrderAnswered(scaling, order, true, kStart + kLater);
      }
      AddServers(servers, kZoneA, true, 6);
      AddServers(servers, kZoneB, true, 6);
      const auto fewer = DueOrders(scaling, inputs, kStart + kLater + std::chrono::seconds{ 4 });
      THEN("the lasting ones give way at once but for one in each zone")
      {
        CHECK(CountOrdered(fewer, kZoneA, false) == 1);
        CHECK(CountOrdered(fewer, kZoneB, false) == 1);
      }
    }
  }
}

SCENARIO("the reclaimable servers of a zone are taken away")
{
  const Catalogue catalogue = MakeCatalogue();
  ServerRegistry servers;
  const ScalingInputs inputs{ &catalogue, &servers, { kZoneA, kZoneB } };
  ScalingState scaling;
  StartScaling(scaling, kStart);
  for (const AvailabilityZoneId& zone : { kZoneA, kZoneB }) {
    AddServers(servers, zone, true, 4);
    AddServers(servers, zone, false, 1);
  }
  DueOrders(scaling, inputs, kStart + std::chrono::seconds{ 3 });
  DueOrders(scaling, inputs, kStart + kLater);
  WHEN("no more of them are to be had")
  {
    for (int i = 0; i < 4; ++i) {
      Forget(servers, BackendServerId{ fmt::format("a-true-{}", i) }, 2);
    }
    const Instant now = kStart + kLater + std::chrono::seconds{ 3 };
    const auto orders = DueOrders(scaling, inputs, now);
    THEN("lasting ones are ordered for what is missing at once")
    {
      // Ten were needed; four reclaimable ones are left.
      CHECK(CountOrdered(orders, kZoneA, false) == 3);
      CHECK(CountOrdered(orders, kZoneB, false) == 3);
    }
  }
}

SCENARIO("the demand is taken from the totals of the hosts")
{
  ScalingState scaling;
  NoteDemand(scaling, kHost, kService, 1'000'000, kStart);
  NoteDemand(scaling, kHost, kService, 1'200'000, kStart + std::chrono::seconds{ 2 });
  CHECK(PeakDemand(scaling, kService) == Approx(100'000));
  WHEN("a host starts again and counts from nothing")
  {
    NoteDemand(scaling, kHost, kService, 0, kStart + std::chrono::seconds{ 3 });
    NoteDemand(scaling, kHost, kService, 50'000, kStart + std::chrono::seconds{ 4 });
    THEN("its demand goes on")
    {
      CHECK(PeakDemand(scaling, kService) == Approx(100'000));
    }
  }
  WHEN("the peak is long past")
  {
    NoteDemand(scaling, kHost, kService, 1'200'000, kStart + std::chrono::seconds{ 40 });
    THEN("it is forgotten")
    {
      CHECK(PeakDemand(scaling, kService) == Approx(0));
    }
  }
}

} // namespace
} // namespace trefoil
