// Chooses the backend server for an attempt from the newest snapshot and the routing tables.
#pragma once

#include "trefoil/node/request_routing.h"
#include "trefoil/request/crash_tracker.h"
#include "trefoil/routing/prefix_index.h"
#include "trefoil/service/service_document.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace trefoil {

// The expected work of a request. Empty for a plain service.
struct WorkHint
{
  std::string_view mPrompt;
  std::int64_t mExpectedTokens = 0;
};

// Returns the weight of each version that may receive traffic: its share in the document.
std::vector<VersionWeight>
VersionWeights(const ServiceDocument& aDocument);

// Returns the weights according to the current version move of the service in `aSnapshot`, or
// those of the document if there is no move.
std::vector<VersionWeight>
VersionWeights(const Snapshot& aSnapshot, const ServiceDocument& aDocument);

// Returns the routing properties of the servers of a document, as seen from the zone `aZone`.
std::vector<RoutableServer>
RoutableServers(const ServiceDocument& aDocument, const AvailabilityZoneId& aZone);

// Returns a backend server of the service that is not in `aExcluded`, or any eligible one if all
// of them are excluded. Returns std::nullopt if the service has no eligible server or the snapshot
// does not become up to date in time, for which it blocks for a limited time.
std::optional<BackendServerSpec>
PickServer(const TrafficContext& aContext,
           const ServiceDocument& aDocument,
           const std::set<BackendServerId>& aExcluded,
           const WorkHint& aHint = {});

// Returns whether the service has a server that is up and not in `aExcluded`.
bool
HasServerUp(const TrafficContext& aContext,
            const ServiceDocument& aDocument,
            const std::set<BackendServerId>& aExcluded);

// Returns the server for a request that must run alone, none of `aExcluded`. Rendezvous hashing by
// the request's key makes all hosts choose the same server while they exclude the same ones.
std::optional<BackendServerSpec>
PickServerForSuspect(const ServiceDocument& aDocument,
                     const std::set<BackendServerId>& aExcluded,
                     SuspectKey aRequest);

} // namespace trefoil
