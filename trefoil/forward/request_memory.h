// Says how much memory a request takes in all its stages, so that the budget counts it once.
//
//   ChangeHeld(budget, MemoryKind::kRequests, 0, MemoryOfRequest(request, metadata));
#pragma once

#include "trefoil/forward/forward_codec.h"
#include "trefoil/http/message.h"

#include <cstddef>

namespace trefoil {

// Returns the bytes that a request takes until it ends: itself, what is read from its headers, the
// keys of the parts of its prompt, and the state of its processing. The copy that is being sent to
// a server and the answer are not included.
std::size_t
MemoryOfRequest(const HttpRequest& aRequest, const RequestMetadata& aMetadata);

} // namespace trefoil
