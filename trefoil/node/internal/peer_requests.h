// Answers the requests that other entry hosts send over TCP, except those about streams
// (peer_streams.h).
#pragma once

#include "trefoil/node/snapshot.h"
#include "trefoil/wire/message.h"

#include <optional>

namespace trefoil {

// Returns the reply to a request for documents, or std::nullopt for another kind of message.
// Thread-safe.
std::optional<Message>
AnswerPeerRequest(const SnapshotCell& aSnapshots, const Message& aRequest);

} // namespace trefoil
