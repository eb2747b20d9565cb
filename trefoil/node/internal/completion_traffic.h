// Serves a completion: streams tokens from an engine and resumes on another when one is lost.
#pragma once

#include "trefoil/backend/engine_client.h"
#include "trefoil/http/server.h"
#include "trefoil/node/traffic.h"

namespace trefoil {

void
ServeCompletion(const TrafficContext& aContext, HttpExchange& aExchange, CompletionForm aForm);

} // namespace trefoil
