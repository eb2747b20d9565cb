// Gathers the candidates for an attempt and chooses one.
#pragma once

#include "trefoil/node/traffic.h"
#include "trefoil/routing/choose.h"
#include "trefoil/service/service_document.h"

#include <optional>
#include <set>

namespace trefoil {

// Returns a backend server of the service that is not in `aExcluded`, else any one of it, nothing
// if the service has none.
std::optional<BackendServerSpec>
PickServer(const TrafficContext& aContext,
           const ServiceDocument& aDocument,
           const std::set<BackendServerId>& aExcluded);

} // namespace trefoil
