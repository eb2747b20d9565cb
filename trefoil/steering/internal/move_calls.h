// Keeps the records of version moves in the store, and the state that operators read there.
#pragma once

#include "trefoil/steering/steering_state.h"

namespace trefoil {

// Decides on the moves if this host may act as the holder of the duties, and makes the calls to the
// store that are due.
void
RunVersionMoves(SteeringState& aState, bool aMayAct);

// Returns the outcomes of each version of a service, summed over all hosts.
std::map<VersionId, VersionOutcomes>
SumOutcomes(const SteeringState& aState, const ServiceId& aService);

} // namespace trefoil
