#include "trefoil/dispatch/allowed_regions.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const RegionId kNorth{ "north" };
const RegionId kSouth{ "south" };
const AvailabilityZoneId kZoneN{ "n" };
const AvailabilityZoneId kZoneS{ "s" };
const AvailabilityZoneId kZoneX{ "x" };

// Guards against requests that leave the regions that their route and account allow.
SCENARIO("a route and an account list the regions that requests may be sent to")
{
  const RegionMap regions{ .mOwn = kSouth, .mZones = { { kZoneN, kNorth }, { kZoneS, kSouth } } };
  GIVEN("neither lists any")
  {
    const AllowedRegions allowed = RegionsAllowedFor({}, nullptr);
    const ClientAccount account;
    CHECK_FALSE(RegionsAllowedFor({}, &account).has_value());
    THEN("all zones may be used, also those without a known region")
    {
      CHECK(MayUseServersIn(allowed, regions, kZoneN));
      CHECK(MayUseServersIn(allowed, {}, kZoneX));
      CHECK(MayPassHostsIn(allowed, {}, kZoneX));
    }
  }
  GIVEN("one of them lists a region")
  {
    const Route route{ .mAllowedRegions = { kNorth } };
    const ClientAccount account{ .mAllowedRegions = { kNorth } };
    const ClientAccount unrestricted;
    const AllowedRegions allowed = RegionsAllowedFor(route, &unrestricted);
    CHECK(allowed == RegionsAllowedFor({}, &account));
    CHECK(allowed == RegionsAllowedFor(route, nullptr));
    THEN("only servers in it get the request, and none in a zone without a known region")
    {
      CHECK(MayUseServersIn(allowed, regions, kZoneN));
      CHECK_FALSE(MayUseServersIn(allowed, regions, kZoneS));
      CHECK_FALSE(MayUseServersIn(allowed, regions, kZoneX));
      CHECK_FALSE(MayUseServersIn(allowed, {}, kZoneN));
    }
    THEN("hosts in it and in the region of the own host may carry the body")
    {
      CHECK(MayPassHostsIn(allowed, regions, kZoneN));
      CHECK(MayPassHostsIn(allowed, regions, kZoneS));
      CHECK_FALSE(MayPassHostsIn(allowed, regions, kZoneX));
      CHECK_FALSE(MayPassHostsIn(allowed, {}, kZoneS));
    }
  }
  GIVEN("both list some")
  {
    const Route route{ .mAllowedRegions = { kNorth, kSouth } };
    const ClientAccount account{ .mAllowedRegions = { kSouth, RegionId{ "west" } } };
    THEN("only regions that both list may be used")
    {
      const AllowedRegions allowed = RegionsAllowedFor(route, &account);
      CHECK(allowed == std::set<RegionId>{ kSouth });
    }
    THEN("without a common region no server may be used")
    {
      const ClientAccount elsewhere{ .mAllowedRegions = { RegionId{ "west" } } };
      const AllowedRegions allowed = RegionsAllowedFor(route, &elsewhere);
      REQUIRE(allowed.has_value());
      CHECK(allowed->empty());
      CHECK_FALSE(MayUseServersIn(allowed, regions, kZoneN));
    }
  }
}

} // namespace
} // namespace trefoil
