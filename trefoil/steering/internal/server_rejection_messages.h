// Exchanges rejections of brittle servers with the other entry hosts.
#pragma once

#include "trefoil/steering/steering_state.h"
#include "trefoil/wire/message.h"

#include <vector>

namespace trefoil {

// Sends rejections that this host has received from servers.
void
SendServerRejections(SteeringState& aState, const std::vector<RejectionReport>& aReports);

// Posts the rejections to the traffic thread and forwards them if this host relays the message.
void
OnServerRejectionMessage(SteeringState& aState, const ServerRejectionMessage& aMessage);

} // namespace trefoil
