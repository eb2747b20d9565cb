// Performs the duties that one entry host at a time holds for the fleet: usage reports, server
// orders and version moves.
#pragma once

#include "trefoil/steering/steering_state.h"

namespace trefoil {

// Starts to campaign for the duties.
void
CampaignForDuties(SteeringState& aState);

// Ends the host's lease, and with it the duties, and stops campaigning.
void
ResignDuties(SteeringState& aState);

// Must be called when the store was restored from a copy.
void
OnStoreRestored(SteeringState& aState);

// Must be called when another host reports that it holds the duties.
void
OnHolderSeen(SteeringState& aState);

// Performs what is due if this host holds the duties; otherwise only updates that status.
// Called after each traffic report and after some answers of the store.
void
RunDuties(SteeringState& aState);

} // namespace trefoil
