#include "trefoil/steering/internal/datagrams.h"

#include "trefoil/wire/codec.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace trefoil {

void
SendBytes(SteeringState& aState, const Endpoint& aTo, std::string_view aBytes)
{
  try {
    aState.mPeerSocket.sendTo(aBytes.data(),
                              static_cast<int>(aBytes.size()),
                              Poco::Net::SocketAddress{ aTo.mAddress, aTo.mPort });
  } catch (const Poco::Exception& error) {
    aState.mLog.Write(LogSeverity::kRoutine,
                      LogEvent::kInputRejected,
                      "input=message_to peer={} reason=\"{}\"",
                      ToText(aTo),
                      error.displayText());
  }
}

void
SendDatagram(SteeringState& aState, const Endpoint& aTo, const Message& aMessage)
{
  SendBytes(aState, aTo, Encode(aMessage));
}

} // namespace trefoil
