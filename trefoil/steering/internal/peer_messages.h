// Exchanges traffic updates and dispatches with the other entry hosts, and routes received
// messages to their handlers.
#pragma once

#include "trefoil/steering/steering_state.h"

#include <vector>

namespace trefoil {

// Sends a traffic update to all other entry hosts.
void
SendTrafficUpdate(SteeringState& aState);

// Sends evidence about prompts that crash servers to the other entry hosts. `aIsOwn` is whether it
// contains observations of this host; otherwise it is forwarded if this host is an aggregator.
void
SendCrashEvidence(SteeringState& aState, const CrashEvidence& aEvidence, bool aIsOwn);

// Sends the dispatches of requests with long prompts to the other entry hosts immediately. With
// the next regular update they would arrive too late for the backlog that other hosts assume
// for a server.
void
SendDispatches(SteeringState& aState, std::vector<DispatchReport> aDispatches);

// Handles all messages that have arrived on the peer socket. Does not block.
void
ReadPeerMessages(SteeringState& aState);

} // namespace trefoil
