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
    THEN("on-demand servers are ordered immediately for the missing capacity")
    {
      // Ten servers are needed and four reclaimable ones are left.
      CHECK(OrderedCount(orders, kZoneA, false) == 3);
      CHECK(OrderedCount(orders, kZoneB, false) == 3);
    }
  }
}

SCENARIO("the demand is computed from the totals of the hosts")
{
  ScalingState scaling;
  RecordDemand(scaling, kHost, kService, 1'000'000, kStart);
  RecordDemand(scaling, kHost, kService, 1'200'000, kStart + std::chrono::seconds{ 2 });
  CHECK(PeakDemand(scaling, kService) == Approx(100'000));
  WHEN("a host restarts and its total begins at 0")
  {
    RecordDemand(scaling, kHost, kService, 0, kStart + std::chrono::seconds{ 3 });
    RecordDemand(scaling, kHost, kService, 50'000, kStart + std::chrono::seconds{ 4 });
    THEN("its new demand is added")
    {
      CHECK(PeakDemand(scaling, kService) == Approx(100'000));
    }
  }
  WHEN("the peak is older than the demand window")
  {
    RecordDemand(scaling, kHost, kService, 1'200'000, kStart + std::chrono::seconds{ 40 });
    THEN("it no longer counts")
    {
      CHECK(PeakDemand(scaling, kService) == Approx(0));
    }
  }
}

} // namespace
} // namespace trefoil
