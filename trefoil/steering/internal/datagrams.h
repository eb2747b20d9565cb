// Sends messages to other entry hosts.
#pragma once

#include "trefoil/steering/control_state.h"
#include "trefoil/wire/message.h"

#include <string_view>

namespace trefoil {

// A message that cannot be sent is logged; all of them are followed by newer ones.
void
SendBytes(ControlState& aState, const Endpoint& aTo, std::string_view aBytes);

void
SendDatagram(ControlState& aState, const Endpoint& aTo, const Message& aMessage);

} // namespace trefoil
