// Serves requests to plain services: /{service}/... is forwarded to a backend server.
#pragma once

#include "trefoil/http_server/http_server.h"
#include "trefoil/node/request_routing.h"

namespace trefoil {

// Serves a request to a plain service. Blocks until the response has been written. A request that
// is not repeatable and carries an idempotency key is dispatched at most once.
void
ServePlain(const TrafficContext& aContext, HttpExchange& aExchange);

} // namespace trefoil
