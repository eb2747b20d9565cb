// Serves a request to a plain service: /{service}/... is passed through.
#pragma once

#include "trefoil/http/server.h"
#include "trefoil/node/traffic.h"

namespace trefoil {

void
ServePlain(const TrafficContext& aContext, HttpExchange& aExchange);

} // namespace trefoil
