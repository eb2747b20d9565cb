// The status page of one entry host for operators, as JSON.
//
//   HttpResponse answer = RenderStatusPage(context);
#pragma once

#include "trefoil/http/message.h"
#include "trefoil/node/request_routing.h"

namespace trefoil {

// Returns the page for the newest snapshot.
HttpResponse
RenderStatusPage(const TrafficContext& aContext);

} // namespace trefoil
