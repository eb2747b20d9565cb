// Decides where a request may be sent whose route or client account is restricted to regions.
//
//   AllowedRegions allowed = RegionsAllowedFor(route, account);
//   if (MayUseServersIn(allowed, regions, server.mZone)) { ... }
//
// A zone whose region is not known counts as not allowed. Pure functions.
#pragma once

#include "trefoil/catalogue/catalogue.h"

#include <map>
#include <optional>
#include <set>

namespace trefoil {

// The regions of a deployment, as the settings of a host state them.
struct RegionMap
{
  // The region of the host itself; empty if it is not known.
  RegionId mOwn;
  std::map<AvailabilityZoneId, RegionId> mZones;
};

// The regions whose servers may get a request; std::nullopt if it is not restricted.
using AllowedRegions = std::optional<std::set<RegionId>>;

// Returns the regions that both the route and the account allow; one that lists none allows all.
// `aAccount` is null for an anonymous request.
AllowedRegions
RegionsAllowedFor(const Route& aRoute, const ClientAccount* aAccount);

// Returns whether servers of the zone may get the request.
bool
MayUseServersIn(const AllowedRegions& aAllowed,
                const RegionMap& aRegions,
                const AvailabilityZoneId& aZone);

// Returns whether other hosts in the zone may get the body of the request, to carry it to a server:
// also those in the region of this host, which the client has chosen itself.
bool
MayPassHostsIn(const AllowedRegions& aAllowed,
               const RegionMap& aRegions,
               const AvailabilityZoneId& aZone);

} // namespace trefoil
