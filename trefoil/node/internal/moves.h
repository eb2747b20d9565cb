// The part of the control state that holds duties and moves versions.
//
//   ControlEffects effects = OnMovesTimer(state, aNow);
//   AddMoveShares(state, service, view);
//
// Connects trefoil/duty and trefoil/rollout with messages and calls to the store.
#pragma once

#include "trefoil/node/control_state.h"

namespace trefoil {

// Starts the state. `aWallNow` is the calendar time at `aNow`.
MovesState
MakeMovesState(const ControlOptions& aOptions, Instant aNow, WallTime aWallNow);

ControlEffects
OnMovesTimer(ControlState& aState, Instant aNow);

// Returns when OnMovesTimer is due.
Instant
NextMovesTimer(const ControlState& aState);

ControlEffects
OnOutcomes(ControlState& aState, const OutcomesSeen& aEvent, Instant aNow);

ControlEffects
OnMovesStop(ControlState& aState, Instant aNow);

ControlEffects
OnMoveMessage(ControlState& aState, const DutiesHeld& aMessage, Instant aNow);
ControlEffects
OnMoveMessage(ControlState& aState, const VersionReport& aMessage, Instant aNow);
ControlEffects
OnMoveMessage(ControlState& aState, const PermitGranted& aMessage, Instant aNow);
ControlEffects
OnMoveMessage(ControlState& aState, const VersionStopped& aMessage, Instant aNow);

ControlEffects
OnLeaseCall(ControlState& aState, const LeaseCallDone& aEvent, Instant aNow);
ControlEffects
OnMovesRead(ControlState& aState, const StoreReadDone& aEvent, Instant aNow);
ControlEffects
OnMovesWrite(ControlState& aState, const StoreWriteDone& aEvent, Instant aNow);

// Puts the shares of a service's versions into its view.
void
AddMoveShares(const ControlState& aState, const ServiceId& aService, ServiceView& aView);

} // namespace trefoil
