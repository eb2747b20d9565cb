// Opens connections to backend servers on the paths that work, and finds out which these are.
//
//   auto connection = AcquireIdleConnection(state, server, policy, regions);
//   if (!connection) {
//     connection = OpenConnection(state, server, regions, [](bool aIsOpen) { ... });
//   }
//
// A server that this host cannot connect to is asked for by way of another host
// (wire/relay_message.h), which carries the bytes of the connection. All functions must be called
// on the traffic thread.
#pragma once

#include "trefoil/forward/traffic_state.h"
#include "trefoil/relay/relay_carrier.h"
#include "trefoil/relay/relay_limits.h"

#include <functional>
#include <memory>

namespace trefoil {

// Returns whether other hosts may carry connections for this one.
bool
HasCarriers(const TrafficState& aState);

// Returns how the server can be reached; kDirect if a connection to it is open and may still work.
ServerReach
ReachOfServer(const TrafficState& aState, const RegisteredServer& aServer, Instant aNow);

// Returns an idle connection on a path that works, or null. `aRegions` restricts the hosts that
// carry it.
std::shared_ptr<ServerConnection>
AcquireIdleConnection(TrafficState& aState,
                      const RegisteredServer& aServer,
                      ReusePolicy aPolicy,
                      const AllowedRegions& aRegions);

// Opens a connection. Unless its stream is closed before, `aOnEnd` is called once from the event
// loop: with true when the server can receive a request, and with false if no connection to it was
// established. The server has received nothing then. `aRegions` restricts the hosts that may carry
// it; without an allowed one the connection is direct.
std::shared_ptr<ServerConnection>
OpenConnection(TrafficState& aState,
               const RegisteredServer& aServer,
               const AllowedRegions& aRegions,
               std::function<void(bool aIsOpen)> aOnEnd);

// Returns a new direct connection, although direct paths may be known to have failed. `aOnEnd` is
// as for OpenConnection.
std::shared_ptr<ServerConnection>
OpenDirectConnection(TrafficState& aState,
                     const RegisteredServer& aServer,
                     std::function<void(bool aIsOpen)> aOnEnd);

// Returns a new connection by way of another host, although the direct path may work, or null if no
// carrier can be asked now. `aOnEnd` is as for OpenConnection.
std::shared_ptr<ServerConnection>
OpenRelayedConnection(TrafficState& aState,
                      const RegisteredServer& aServer,
                      std::function<void(bool aIsOpen)> aOnEnd);

// Opens another connection on the same path, to find out whether it still works after a connection
// was reset or has become silent. Does nothing if a direct path is known to have failed.
void
CheckPath(TrafficState& aState, const RegisteredServer& aServer, const ServerConnection& aSuspect);

// Records that the server has answered on the connection.
void
RecordPathAnswer(TrafficState& aState,
                 const RegisteredServer& aServer,
                 const ServerConnection& aConnection);

// Records that the server has left a request on the connection unanswered. Returns whether this
// host is cut off from servers, so that the server is not to blame.
bool
RecordPathUnanswered(TrafficState& aState,
                     const RegisteredServer& aServer,
                     const ServerConnection& aConnection);

// Closes idle connections whose carrier is gone or leaves, and removes outdated knowledge.
void
SweepPaths(TrafficState& aState, Instant aNow);

// Decides whether this host carries a connection for another one. `aLoad` is what it uses.
RelayDecision
DecideRelay(const TrafficState& aState, const RelayOpen& aOpen, const RelayLoad& aLoad);

// Returns whether another request may pass on a connection that this host carries: not if the zone
// of its server is evacuated.
bool
MayCarryRequest(const TrafficState& aState, const RelayOpen& aOpen);

// Records the answer that another host was given.
void
RecordRelayAnswer(TrafficState& aState, const RelayOpen& aOpen, RelayStatus aStatus);

} // namespace trefoil
