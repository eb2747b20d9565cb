// The part of the control state that handles duties and version moves.
//
//   ControlEffects effects = OnMovesTimer(state, aNow);
//   SetMoveView(state, service, view);
//
// Connects the state machines of trefoil/duty and trefoil/rollout to messages between entry hosts
// and to calls to the store.
#pragma once

#include "trefoil/node/node_control_state.h"

namespace trefoil {

// Returns the initial state. `aWallNow` is the wall-clock time at `aNow`.
MovesState
MakeMovesState(const NodeControlOptions& aOptions, Instant aNow, WallTime aWallNow);

// Performs the duty steps, reports and announcements that are due at `aNow`.
ControlEffects
OnMovesTimer(NodeControlState& aState, Instant aNow);

// Returns when OnMovesTimer is due.
Instant
NextMovesTimer(const NodeControlState& aState);

// Updates the health statistics of versions. Stops traffic to a moving version in which a fault is
// detected, and reports the stop to the other hosts.
ControlEffects
OnAttemptsCompleted(NodeControlState& aState, const AttemptsCompleted& aEvent, Instant aNow);

// Gives up all duties because the host is shutting down.
ControlEffects
OnMovesShutdown(NodeControlState& aState, Instant aNow);

// Applies a message from another host.
ControlEffects
OnMoveMessage(NodeControlState& aState, const HolderAnnouncement& aMessage, Instant aNow);
ControlEffects
OnMoveMessage(NodeControlState& aState, const VersionReport& aMessage, Instant aNow);
ControlEffects
OnMoveMessage(NodeControlState& aState, const PermitGranted& aMessage, Instant aNow);
ControlEffects
OnMoveMessage(NodeControlState& aState, const VersionStopped& aMessage, Instant aNow);

// Applies the result of a lease call, or of a store call of topic kLeases or kMoves.
ControlEffects
OnLeaseCall(NodeControlState& aState, const LeaseCallCompleted& aEvent, Instant aNow);
ControlEffects
OnMovesRead(NodeControlState& aState, const StoreReadCompleted& aEvent, Instant aNow);
ControlEffects
OnMovesWrite(NodeControlState& aState, const StoreWriteCompleted& aEvent, Instant aNow);

// Sets the version move of a service in its view. Versions without a server have no share.
void
SetMoveView(const NodeControlState& aState, const ServiceId& aService, ServiceView& aView);

} // namespace trefoil
