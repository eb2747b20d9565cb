// The part of the control state that is shared with other entry hosts: membership, configuration
// and the health of backend servers.
//
//   ControlEffects effects = OnPeerTimer(state, aNow);
//   Instant next = NextPeerTimer(state);
#pragma once

#include "trefoil/node/node_control_state.h"
#include "trefoil/node/snapshot.h"

namespace trefoil {

// Appends a SendMessage for each datagram.
void
AppendSendMessages(ControlEffects& aEffects, Datagrams aDatagrams);

// Applies a message from another entry host and returns the datagrams to send in reply.
Datagrams
OnPeerMessage(NodeControlState& aState, const Message& aMessage, Instant aNow);

// Performs the actions that are due at `aNow`.
ControlEffects
OnPeerTimer(NodeControlState& aState, Instant aNow);

// Returns when OnPeerTimer is due.
Instant
NextPeerTimer(const NodeControlState& aState);

// Must be called after the documents in force may have changed. Announces their newest revision and
// updates the published copy and the set of polled servers.
void
OnDocumentsChanged(NodeControlState& aState, Instant aNow);

// Appends the fetch of documents from another host that is due, if any.
void
AppendFetch(NodeControlState& aState, ControlEffects& aEffects, Instant aNow);

// Sets the fields of a snapshot that this part owns.
void
SetPeerFields(const NodeControlState& aState, Snapshot& aSnapshot);

} // namespace trefoil
