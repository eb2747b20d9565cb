// Carries connections between other entry hosts, which have lost their own paths, and backend
// servers.
//
//   RelayCarrier carrier{ loop, { .mDecide = decide } };
//   carrier.Carry(acceptedSocket);
//
// The other host names a server (wire/relay_message.h). After a connection to it is established,
// the carrier passes on the bytes of both sides unchanged, and does not know what they mean. If the
// server closes its connection, the other host's one is closed after the last byte; if it resets
// it, or this process ends, the other host's one is reset, so that an answer that was cut off does
// not look complete. If the other host ends its connection, the server's one is closed at once. All
// functions must be called on the thread of the event loop.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/reactor/byte_stream.h"
#include "trefoil/wire/relay_message.h"

#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_set>

namespace trefoil {

// The answer to a RelayOpen: the endpoint to connect to if mStatus is kConnected, otherwise why the
// connection is declined.
struct RelayDecision
{
  RelayStatus mStatus = RelayStatus::kUnknownServer;
  Endpoint mServer;
};

struct RelayCarrierOptions
{
  std::function<RelayDecision(const RelayOpen&)> mDecide;
  // Returns whether another request may be sent on the connection. Called when the other host sends
  // bytes first, or after the server has sent some; the connection is ended if not. Requests on a
  // connection follow each other, so that such bytes begin one.
  std::function<bool(const RelayOpen&)> mMayBegin;
  // Called once for each RelayOpen when its answer is known.
  std::function<void(const RelayOpen&, RelayStatus)> mOnAnswered;
  StreamOptions mServerOptions;
};

class RelayCarrier
{
public:
  RelayCarrier(EventLoop& aLoop, RelayCarrierOptions aOptions);
  // Ends all connections.
  ~RelayCarrier();
  RelayCarrier(const RelayCarrier&) = delete;
  RelayCarrier& operator=(const RelayCarrier&) = delete;

  // Takes over a connection that another host has opened.
  void Carry(const Poco::Net::StreamSocket& aSocket);
  // Takes over a connection from which `aOpen` has been read.
  void Carry(const Poco::Net::StreamSocket& aSocket, const RelayOpen& aOpen);
  // Ends all connections. The other hosts see a reset.
  void CloseAll();

  // Returns the number of connections of other hosts, those included that name no server yet.
  std::size_t Carried() const { return mConnections.size(); }
  // Returns the number of bytes that wait to be sent.
  std::size_t BufferedBytes() const;

private:
  struct Connection;
  using ConnectionPointer = std::shared_ptr<Connection>;

  ConnectionPointer Adopt(const Poco::Net::StreamSocket& aSocket);
  void OnOpenBytes(const ConnectionPointer& aConnection);
  void OnOpen(const ConnectionPointer& aConnection, const RelayOpen& aOpen);
  void ConnectToServer(const ConnectionPointer& aConnection, const Endpoint& aServer);
  void OnServerConnected(const ConnectionPointer& aConnection);
  void OnHostBytes(const ConnectionPointer& aConnection);
  void OnServerEnd(const ConnectionPointer& aConnection, StreamEnd aEnd);
  void Answer(const ConnectionPointer& aConnection, RelayStatus aStatus);
  // Ends both sides at once.
  void End(const ConnectionPointer& aConnection);
  // Closes the other host's side after what is buffered for it has been sent.
  void EndAfterSending(const ConnectionPointer& aConnection);
  // Closes the other host's side properly; nothing waits to be sent.
  void Forget(const ConnectionPointer& aConnection);

  EventLoop& mLoop;
  RelayCarrierOptions mOptions;
  std::unordered_set<ConnectionPointer> mConnections;
};

} // namespace trefoil
