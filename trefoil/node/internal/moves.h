// The part of the control state that handles duties and version moves.
//
//   ControlEffects effects = OnMovesTimer(state, aNow);
//   SetMoveView(state, service, view);
//
// Connects the state machines of trefoil/duty and trefoil/rollout to messages between entry hosts
// and to calls to the store.
#pragma once

#include "trefoil/node/control_state.h"

namespace trefoil {

// Returns the initial state. `aWallNow` is the wall-clock time at `aNow`.
MovesState
MakeMovesState(const ControlOptions& aOptions, Instant aNow, WallTime aWallNow);

// Performs the duty steps, reports and announcements that are due at `aNow`.
ControlEffects
OnMovesTimer(ControlState& aState, Instant aNow);

// Returns when OnMovesTimer is due.
Instant
NextMovesTimer(const ControlState& aState);

// Updates the health statistics of versions. Stops traffic to a moving version in which a fault is
// detected, and reports the stop to the other hosts.
ControlEffects
OnAttemptsCompleted(ControlState& aState, const OutcomesSeen& aEvent, Instant aNow);

// Gives up all duties because the host is shutting down.
ControlEffects
OnMovesShutdown(ControlState& aState, Instant aNow);

// Applies a message from another host.
ControlEffects
OnMoveMessage(ControlState& aState, const DutiesHeld& aMessage, Instant aNow);
ControlEffects
OnMoveMessage(ControlState& aState, const VersionReport& aMessage, Instant aNow);
ControlEffects
OnMoveMessage(ControlState& aState, const PermitGranted& aMessage, Instant aNow);
ControlEffects
OnMoveMessage(ControlState& aState, const VersionStopped& aMessage, Instant aNow);

// Applies the result of a lease call, or of a store call of topic kLeases or kMoves.
ControlEffects
OnLeaseCall(ControlState& aState, const LeaseCallCompleted& aEvent, Instant aNow);
ControlEffects
OnMovesRead(ControlState& aState, const StoreReadCompleted& aEvent, Instant aNow);
ControlEffects
OnMovesWrite(ControlState& aState, const StoreWriteCompleted& aEvent, Instant aNow);

// Sets the version move of a service in its view. Versions without a server have no share.
void
SetMoveView(const ControlState& aState, const ServiceId& aService, ServiceView& aView);

} // namespace trefoil
