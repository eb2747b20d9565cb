// Tells the other hosts how far the moves of services to other versions have come.
#pragma once

#include "trefoil/steering/steering_state.h"
#include "trefoil/wire/move_decision_message.h"

namespace trefoil {

// Sends what this host knows of the moves, with each update while it is new and at longer intervals
// afterwards. A host that misses all messages reads the record in the store.
void
SendMoveDecisions(SteeringState& aState);

// Must be called when the stage of a move has changed here: logs it, publishes the view that
// follows from it, and tells the other hosts at once. `aSource` says how this host knows it.
void
OnMoveStageChanged(SteeringState& aState, const ServiceId& aService, std::string_view aSource);

void
OnMoveDecisionMessage(SteeringState& aState, const MoveDecisionMessage& aMessage);

} // namespace trefoil
