// Finds out whether a direct connection to a server has ended since this host has lost its link to
// the server, or since the server has ended.
//
//   CheckLink(state, server, [](Instant aReachedAt) { ... });
//
// Decides by trefoil/dispatch/link_check.h. All functions must be called on the traffic thread.
#pragma once

#include "trefoil/catalogue/server_registry.h"

#include <functional>

namespace trefoil {

struct TrafficState;

// Checks the link to a server whose connection has just ended. Calls `aOnLost` within some two
// seconds, with the time at which another host last reached the server, if this host has lost its
// link. Does nothing if there are no carriers, or if the link is being checked.
void
CheckLink(TrafficState& aState,
          const RegisteredServer& aServer,
          std::function<void(Instant aReachedAt)> aOnLost);

} // namespace trefoil
