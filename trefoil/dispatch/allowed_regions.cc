#include "trefoil/dispatch/allowed_regions.h"

#include <algorithm>
#include <iterator>

namespace trefoil {
namespace {

// Returns the region of the zone; empty if it is not known.
RegionId
RegionOf(const RegionMap& aRegions, const AvailabilityZoneId& aZone)
{
  const auto region = aRegions.mZones.find(aZone);
  return region == aRegions.mZones.end() ? RegionId{} : region->second;
}

} // namespace

AllowedRegions
RegionsAllowedFor(const Route& aRoute, const ClientAccount* aAccount)
{
  const std::set<RegionId>& ofRoute = aRoute.mAllowedRegions;
  if (aAccount == nullptr || aAccount->mAllowedRegions.empty()) {
    return ofRoute.empty() ? AllowedRegions{} : AllowedRegions{ ofRoute };
  }
  const std::set<RegionId>& ofAccount = aAccount->mAllowedRegions;
  if (ofRoute.empty()) {
    return ofAccount;
  }
  std::set<RegionId> both;
  std::ranges::set_intersection(ofRoute, ofAccount, std::inserter(both, both.end()));
  return both;
}

bool
MayUseServersIn(const AllowedRegions& aAllowed,
                const RegionMap& aRegions,
                const AvailabilityZoneId& aZone)
{
  if (!aAllowed.has_value()) {
    return true;
  }
  const RegionId region = RegionOf(aRegions, aZone);
  return !region.Empty() && aAllowed->contains(region);
}

bool
MayPassHostsIn(const AllowedRegions& aAllowed,
               const RegionMap& aRegions,
               const AvailabilityZoneId& aZone)
{
  if (MayUseServersIn(aAllowed, aRegions, aZone)) {
    return true;
  }
  const RegionId region = RegionOf(aRegions, aZone);
  return !region.Empty() && region == aRegions.mOwn;
}

} // namespace trefoil
