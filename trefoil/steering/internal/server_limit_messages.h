// Exchanges the limits that servers state with the other entry hosts.
#pragma once

#include "trefoil/steering/steering_state.h"
#include "trefoil/wire/message.h"

#include <vector>

namespace trefoil {

// Sends limits that servers have stated to this host.
void
SendServerLimits(SteeringState& aState, const std::vector<LimitReport>& aReports);

// Posts the limits to the traffic thread and forwards them if this host relays the message.
void
OnServerLimitMessage(SteeringState& aState, const ServerLimitMessage& aMessage);

} // namespace trefoil
