// Gathers what a choice depends on, and chooses the backend server for an attempt.
#pragma once

#include "trefoil/node/traffic.h"
#include "trefoil/routing/prefix_index.h"
#include "trefoil/service/service_document.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace trefoil {

// What a request says about its work. Empty for a plain service.
struct WorkHint
{
  std::string_view mPrompt;
  std::int64_t mExpectedTokens = 0;
};

// Returns the weight of each version that may take traffic: its share in the document.
std::vector<VersionWeight>
VersionWeights(const ServiceDocument& aDocument);

// Returns the weights as the move of the service has them now, the document's if none is known.
std::vector<VersionWeight>
VersionWeights(const Snapshot& aSnapshot, const ServiceDocument& aDocument);

// Returns the servers of a document as routing sees them from the zone `aZone`.
std::vector<RoutableServer>
RoutableServers(const ServiceDocument& aDocument, const AvailabilityZoneId& aZone);

// Returns a backend server of the service that is not in `aExcluded`, else any one of it, nothing
// if the service has none.
std::optional<BackendServerSpec>
PickServer(const TrafficContext& aContext,
           const ServiceDocument& aDocument,
           const std::set<BackendServerId>& aExcluded,
           const WorkHint& aHint = {});

} // namespace trefoil
