// Sends messages to other entry hosts over UDP.
#pragma once

#include "trefoil/steering/steering_state.h"
#include "trefoil/wire/message.h"

#include <string_view>

namespace trefoil {

// Sends one datagram. A failure is logged and not reported to the caller, since each message is
// followed by a newer one.
void
SendBytes(SteeringState& aState, const Endpoint& aTo, std::string_view aBytes);

// Encodes and sends a message, as SendBytes does.
void
SendDatagram(SteeringState& aState, const Endpoint& aTo, const Message& aMessage);

} // namespace trefoil
