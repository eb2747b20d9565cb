// Serves GET /v1/requests/{id}: takes a completion up again, from after the Last-Event-ID, on
// whichever host the caller reaches.
#pragma once

#include "trefoil/http/server.h"
#include "trefoil/node/traffic.h"

namespace trefoil {

void
ServeReattach(const TrafficContext& aContext, HttpExchange& aExchange);

} // namespace trefoil
