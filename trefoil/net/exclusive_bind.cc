#include "trefoil/net/exclusive_bind.h"

#include <Poco/Net/SocketAddress.h>

namespace trefoil {

void
BindExclusively(Poco::Net::ServerSocket& aSocket, const Endpoint& aEndpoint)
{
  constexpr bool kReuseAddress = true;
  constexpr bool kReusePort = false;
  aSocket.bind(
    Poco::Net::SocketAddress{ aEndpoint.mAddress, aEndpoint.mPort }, kReuseAddress, kReusePort);
}

void
BindExclusively(Poco::Net::DatagramSocket& aSocket, const Endpoint& aEndpoint)
{
  // Datagram sockets that reuse their address share it.
  constexpr bool kReuseAddress = false;
  aSocket.bind(Poco::Net::SocketAddress{ aEndpoint.mAddress, aEndpoint.mPort }, kReuseAddress);
}

} // namespace trefoil
