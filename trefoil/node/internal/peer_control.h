// The part of the control state that acts together with other entry hosts.
#pragma once

#include "trefoil/node/control_state.h"

namespace trefoil {

// Takes in a message of another entry host and returns the answers.
Datagrams
OnPeerMessage(ControlState& aState, const Message& aMessage, Instant aNow);

// Returns the messages that are due.
Datagrams
OnPeerTimer(ControlState& aState, Instant aNow);

Instant
NextPeerTimer(const ControlState& aState);

} // namespace trefoil
