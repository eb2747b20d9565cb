// Applies the operators' orders to evacuate availability zones to the control thread's state, logs
// them and publishes the closed zones to the traffic thread at once.
//
//   OnEvacuationList(state, items, revision);
//   OnEvacuationItems(state, items);
//
// Items of other keys are ignored. Must be called on the control thread.
#pragma once

#include "trefoil/steering/steering_state.h"

#include <cstdint>
#include <vector>

namespace trefoil {

// Applies a complete list of the operators' keys.
void
OnEvacuationList(SteeringState& aState,
                 const std::vector<StoreItem>& aItems,
                 std::int64_t aRevision);

// Applies changes of the operators' keys.
void
OnEvacuationItems(SteeringState& aState, const std::vector<StoreItem>& aItems);

} // namespace trefoil
