// Binds sockets to endpoints that no other process shares.
//
//   Poco::Net::ServerSocket socket;
//   BindExclusively(socket, endpoint);
//
// The library's own option for the reuse of addresses also lets other processes of the same user
// bind the endpoint, and the kernel then divides the connections and datagrams among them.
#pragma once

#include "trefoil/base/endpoint.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>

namespace trefoil {

// Binds the socket. Connections of an earlier process that are still being closed do not prevent
// that. Throws Poco::Exception, for instance if another socket is bound to the endpoint.
void
BindExclusively(Poco::Net::ServerSocket& aSocket, const Endpoint& aEndpoint);

// Binds the socket. Throws Poco::Exception, for instance if another socket is bound to the
// endpoint.
void
BindExclusively(Poco::Net::DatagramSocket& aSocket, const Endpoint& aEndpoint);

} // namespace trefoil
