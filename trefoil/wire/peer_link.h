// Requests between entry hosts over TCP, for messages that do not fit into a datagram.
//
//   absl::StatusOr<Message> answer = CallPeer(peer, DocumentsRequest{}, deadline);
//
//   PeerHandler handler = [](const Message& aRequest) -> std::optional<Message> {
//     return DocumentsReply{};
//   };
//   auto server = PeerServer::Start({ .mListen = endpoint, .mHandler = handler });
//
// Messages are sent in frames (frame.h). Each connection carries one request and at most one
// answer.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"
#include "trefoil/wire/message.h"

#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace trefoil {

// Sends a request and blocks until the answer has arrived or `aDeadline` has passed. Returns
// Unavailable if the connection fails or closes, DeadlineExceeded after a timeout, and
// InvalidArgument if the answer cannot be decoded. The peer may have processed the request after
// any error except one for which WasNotSent() returns true. Thread-safe.
absl::StatusOr<Message>
CallPeer(const Endpoint& aPeer, const Message& aRequest, Instant aDeadline);

// Returns whether an error of CallPeer() means that no byte of the request was sent.
bool
WasNotSent(const absl::Status& aStatus);

// Returns the answer to a request, or std::nullopt to close the connection without an answer.
using PeerHandler = std::function<std::optional<Message>(const Message& aRequest)>;

// Takes over a connection whose first message asks to carry it to a server.
using RelayHandler =
  std::function<void(const Poco::Net::StreamSocket& aSocket, const RelayOpen& aOpen)>;

// A connection by way of another host.
struct RelayLink
{
  RelayStatus mStatus = RelayStatus::kUnreachable;
  // Connected to the server if mStatus is kConnected.
  Poco::Net::StreamSocket mSocket;
};

// Asks a host to carry a connection to a server, and blocks until it has answered or `aDeadline`
// has passed. Returns an error if the host cannot be connected to or does not answer. Thread-safe.
absl::StatusOr<RelayLink>
OpenRelay(const Endpoint& aCarrier, const RelayOpen& aOpen, Instant aDeadline);

struct PeerServerOptions
{
  Endpoint mListen;
  // Called on several threads concurrently.
  PeerHandler mHandler;
  // Called like mHandler. If empty, such connections are closed.
  RelayHandler mOnRelay;
  std::int64_t mMaxConnections = 16;
  // What the requests that are being received may hold together. A connection that exceeds it is
  // closed; the peer sends the request again.
  std::size_t mMaxReceivedBytes = std::size_t{ 256 } << 20;
};

// Accepts connections and answers requests on its own threads until it is destroyed.
class PeerServer
{
public:
  // Starts a server. Returns Unavailable if the endpoint cannot be bound.
  static absl::StatusOr<PeerServer> Start(const PeerServerOptions& aOptions);

  PeerServer(PeerServer&&) noexcept;
  PeerServer& operator=(PeerServer&&) noexcept;
  ~PeerServer();

  // Returns the port that the server listens on.
  std::uint16_t Port() const;

private:
  struct State;
  explicit PeerServer(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace trefoil
