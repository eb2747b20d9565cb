// Serves GET /v1/requests/{id}: continues the response of a completion after the event
// Last-Event-ID, on any host that the caller reaches.
#pragma once

#include "trefoil/http_server/http_server.h"
#include "trefoil/node/request_routing.h"

namespace trefoil {

// Serves a caller that reattaches to its completion. Blocks until the response has been written.
void
ServeReattach(const TrafficContext& aContext, HttpExchange& aExchange);

} // namespace trefoil
