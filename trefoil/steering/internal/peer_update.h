// Tells the traffic thread what the other hosts have reported.
#pragma once

#include "trefoil/steering/steering_state.h"

namespace trefoil {

// Publishes what was collected since the last call, with the servers that are reported as broken
// now.
void
PublishPeerUpdate(SteeringState& aState);

} // namespace trefoil
