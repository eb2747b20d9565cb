// Serves completions: generates the response on an engine, resumes it on another engine when one
// is lost, and streams it to the caller if the request says so.
#pragma once

#include "trefoil/backend/engine_client.h"
#include "trefoil/http_server/http_server.h"
#include "trefoil/node/request_routing.h"

namespace trefoil {

// Serves a completion request of the form `aForm`. Blocks until the response has been written.
void
ServeCompletion(const TrafficContext& aContext, HttpExchange& aExchange, CompletionApi aForm);

} // namespace trefoil
