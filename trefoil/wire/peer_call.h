// Calls between entry hosts over TCP: a message there, a message back.
//
//   auto server = PeerServer::Start({ .mListen = endpoint, .mAnswer = [](const Message& aMessage) {
//   return ...; } });
//   auto connection = PeerConnection::Connect(peer, Now() + kPeerLimit);
//   absl::StatusOr<Message> reply = connection->Call(message, Now() + kPeerLimit);
//
// A frame is four bytes of length, little endian, and an encoded message (codec.h).
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"
#include "trefoil/net/listener.h"
#include "trefoil/wire/message.h"

#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <memory>
#include <optional>

namespace trefoil {

// A connection to another entry host. Belongs to one thread.
class PeerConnection
{
public:
  // Returns Unavailable if no connection comes up; nothing has been sent then.
  static absl::StatusOr<PeerConnection> Connect(const Endpoint& aPeer, Instant aDeadline);

  // Returns the reply. After an error the peer may have received the message, and the connection
  // is of no further use.
  absl::StatusOr<Message> Call(const Message& aMessage, Instant aDeadline);

private:
  explicit PeerConnection(const Poco::Net::StreamSocket& aSocket)
    : mSocket(aSocket)
  {
  }

  Poco::Net::StreamSocket mSocket;
};

struct PeerServerOptions
{
  Endpoint mListen;
  // Runs on many threads at once. Nothing closes the connection.
  std::function<std::optional<Message>(const Message& aMessage)> mAnswer;
  std::int64_t mMostConnections = 1024;
};

// Answers calls until it is destroyed.
class PeerServer
{
public:
  // Returns Unavailable if the endpoint cannot be bound.
  static absl::StatusOr<PeerServer> Start(PeerServerOptions aOptions);

  std::uint16_t Port() const { return mListener.Port(); }

private:
  PeerServer(std::unique_ptr<PeerServerOptions> aOptions, Listener aListener)
    : mOptions(std::move(aOptions))
    , mListener(std::move(aListener))
  {
  }

  std::unique_ptr<PeerServerOptions> mOptions;
  Listener mListener;
};

} // namespace trefoil
