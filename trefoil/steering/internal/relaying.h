// Asks the hosts of the zone that follow the store, and answers those that ask this one.
#pragma once

#include "trefoil/steering/control_state.h"

namespace trefoil {

// Chooses who follows the store, and asks. Called regularly.
void
RelayStore(ControlState& aState);

void
OnStoreQuery(ControlState& aState, const StoreQuery& aQuery);

void
OnStoreReply(ControlState& aState, const StoreReply& aReply);

// Tells the hosts that ask this one of changes at once.
void
PushStoreChanges(ControlState& aState);

} // namespace trefoil
