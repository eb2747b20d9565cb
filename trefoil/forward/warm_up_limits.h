// The limits of servers that warm up, on a traffic thread: what the registered servers and their
// answers about their health state, this host's part, and the log.
//
//   ApplyRegisteredWarmUps(state);
//   const bool isLimited = IsLimitedByWarmUp(state, server, now);
//   if (!isLimited || TakeWarmUpPermit(state, server, now)) { ... }
//
// Decides by trefoil/dispatch/warm_up.h. Without a rate in the configuration, no server is limited.
// All functions must be called on the traffic thread.
#pragma once

#include "trefoil/forward/traffic_state.h"

namespace trefoil {

// Takes the servers and the list of hosts of a new view into account.
void
ApplyRegisteredWarmUps(TrafficState& aState);

// Takes an answer of the server about its health into account, which arrives now.
void
ApplyWarmUpOfHealth(TrafficState& aState, const RegisteredServer& aServer, Milliseconds aRemaining);

// Returns whether the server is cold, and its service limits such servers.
bool
IsLimitedByWarmUp(const TrafficState& aState, const RegisteredServer& aServer, Instant aNow);

// Refills and returns this host's permits for a server that is limited by its warm-up. The next one
// is available when the server is warm, at the latest.
PermitSum
WarmUpPermits(TrafficState& aState, const RegisteredServer& aServer, Instant aNow);

// Uses a permit for a server that is limited by its warm-up. Returns false if none is left.
bool
TakeWarmUpPermit(TrafficState& aState, const RegisteredServer& aServer, Instant aNow);

// Logs the servers that have become warm.
void
LogEndedWarmUps(TrafficState& aState, Instant aNow);

} // namespace trefoil
