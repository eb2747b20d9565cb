// What an operator sees of one entry host, as JSON.
#pragma once

#include "trefoil/http/message.h"
#include "trefoil/node/traffic.h"

namespace trefoil {

HttpAnswer
RenderStatusPage(const TrafficContext& aContext);

} // namespace trefoil
