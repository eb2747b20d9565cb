// The part of the control state that acts together with other entry hosts: membership,
// configuration and the health of backend servers.
#pragma once

#include "trefoil/node/control_state.h"
#include "trefoil/node/snapshot.h"

namespace trefoil {

void
AddDatagrams(ControlEffects& aEffects, Datagrams aDatagrams);

// Takes in a message of another entry host and returns the answers.
Datagrams
OnPeerMessage(ControlState& aState, const Message& aMessage, Instant aNow);

// Returns what is due.
ControlEffects
OnPeerTimer(ControlState& aState, Instant aNow);

Instant
NextPeerTimer(const ControlState& aState);

// Takes over the documents in force after some may have changed.
void
OnDocumentsChanged(ControlState& aState, Instant aNow);

// Adds the fetch of documents that is due.
void
AddFetch(ControlState& aState, ControlEffects& aEffects, Instant aNow);

// Writes what this part knows into a snapshot.
void
FillPeerPart(const ControlState& aState, Snapshot& aSnapshot);

} // namespace trefoil
