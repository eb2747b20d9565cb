// The status page of one entry host for operators, as JSON.
//
//   HttpAnswer answer = RenderStatusPage(context);
#pragma once

#include "trefoil/http/message.h"
#include "trefoil/node/request_routing.h"

namespace trefoil {

// Returns the page for the newest snapshot.
HttpAnswer
RenderStatusPage(const TrafficContext& aContext);

} // namespace trefoil
