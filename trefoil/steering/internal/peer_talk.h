// Tells the other entry hosts what this one knows, and takes in what they tell.
#pragma once

#include "trefoil/steering/control_state.h"

#include <vector>

namespace trefoil {

// Sends the regular news to all hosts.
void
SendNews(ControlState& aState);

// Tells the other hosts of requests with long prompts at once: what they know of a server's backlog
// would be too old by the next regular news.
void
SendDispatches(ControlState& aState, std::vector<DispatchNote> aDispatches);

// Takes in the messages that have arrived.
void
ReadPeers(ControlState& aState);

} // namespace trefoil
