// Exchanges the events of backend servers' streams with the other entry hosts.
#pragma once

#include "trefoil/steering/steering_state.h"
#include "trefoil/wire/message.h"

namespace trefoil {

// Sends what this host has received from servers since it was last called, at most once in two
// seconds.
void
SendServerEvents(SteeringState& aState);

// Posts the events to the traffic thread and forwards them if this host relays the message.
void
OnServerEventsMessage(SteeringState& aState, const ServerEventsMessage& aMessage);

} // namespace trefoil
