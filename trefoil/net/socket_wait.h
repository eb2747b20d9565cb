// Waits for a socket on the calling thread.
//
//   ConnectBefore(socket, address, deadline);
//   if (WaitUntilReadable(socket, Now() + kReadTimeout)) { ... }
//
// The functions of the library open a second descriptor for each wait.
#pragma once

#include "trefoil/base/instant.h"

#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace trefoil {

// Returns whether bytes, an end or an error can be read from the socket before `aDeadline`, a value
// of Now.
bool
WaitUntilReadable(const Poco::Net::Socket& aSocket, Instant aDeadline);

// Connects a new socket. Throws Poco::TimeoutException if the connection is not established before
// `aDeadline`, a value of Now, and another Poco::Exception if it is refused.
void
ConnectBefore(Poco::Net::StreamSocket& aSocket,
              const Poco::Net::SocketAddress& aAddress,
              Instant aDeadline);

} // namespace trefoil
