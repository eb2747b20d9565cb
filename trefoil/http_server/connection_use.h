// Decides whether a process may accept a connection or begin a request, so that descriptors are
// left for the connections to servers that requests take.
//
//   const ConnectionLimits limits{ .mMax = 400 };
//   if (MayAccept(limits, use)) { ... }
//
// Pure functions over plain structs, thread-safe.
#pragma once

#include <cstddef>

namespace trefoil {

struct ConnectionLimits
{
  // All connections together.
  std::size_t mMax = 0;
  // The connections to servers that a request takes.
  std::size_t mPerRequest = 1;
};

struct ConnectionUse
{
  // Connections of clients, those included that only receive their last answer.
  std::size_t mClients = 0;
  // Those of mClients that have not sent their first request yet.
  std::size_t mNewClients = 0;
  // Requests in hand.
  std::size_t mRequests = 0;
  // Connections to servers that are open, the idle ones included.
  std::size_t mServers = 0;
  // All others.
  std::size_t mOthers = 0;
};

// Returns the connections that are open or will be when each new client has sent a request.
std::size_t
NeededConnections(const ConnectionLimits& aLimits, const ConnectionUse& aUse);

// Returns whether a further connection may be accepted. The first one always may.
bool
MayAccept(const ConnectionLimits& aLimits, const ConnectionUse& aUse);

// Returns whether a request may begin that `aUse` does not count yet. That of a single client
// always may.
bool
MayBeginRequest(const ConnectionLimits& aLimits, const ConnectionUse& aUse);

} // namespace trefoil
