// Converts the outcomes of a service's versions by route to counters that hosts exchange, and back.
//
//   AddRouteCounters(report.mCounters, service, versions);
//   AddRouteTotal(versions, service, key, total);
//
// Pure functions.
#pragma once

#include "trefoil/forward/traffic_view.h"
#include "trefoil/steering/merged_totals.h"

#include <cstdint>
#include <map>
#include <vector>

namespace trefoil {

// Appends the counters of each route and version of `aService`.
void
AddRouteCounters(std::vector<CounterTotal>& aCounters,
                 const ServiceId& aService,
                 const std::map<VersionId, VersionOutcomes>& aVersions);

// Adds a counter to the outcomes of its version. Has no effect if the counter is of another
// service, or not of a route.
void
AddRouteTotal(std::map<VersionId, VersionOutcomes>& aVersions,
              const ServiceId& aService,
              const CounterKey& aKey,
              std::uint64_t aTotal);

} // namespace trefoil
