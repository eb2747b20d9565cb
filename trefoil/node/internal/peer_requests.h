// Answers what other entry hosts ask over TCP.
#pragma once

#include "trefoil/node/snapshot.h"
#include "trefoil/wire/message.h"

#include <optional>

namespace trefoil {

// Returns the answer to a request, nothing for a kind that is no request. Runs on several threads
// at once.
std::optional<Message>
AnswerPeer(const SnapshotCell& aSnapshots, const Message& aRequest);

} // namespace trefoil
