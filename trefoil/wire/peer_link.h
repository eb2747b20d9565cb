// Requests from entry host to entry host over TCP, for what is too long for a datagram.
//
//   absl::StatusOr<Message> answer = AskPeer(peer, DocumentsWanted{}, Now() + kPeerLimit);
//   auto server = PeerServer::Start({ .mListen = endpoint, .mHandler = [](const Message& aMessage)
//   { return std::optional<Message>{ DocumentsOffered{} }; } });
//
// A frame is four bytes of length, little endian, and an encoded message. One request and one
// answer a connection.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"
#include "trefoil/wire/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace trefoil {

// Sends a request and waits for the answer. Returns Unavailable or DeadlineExceeded; the request
// may have arrived all the same unless it is Unavailable with "connect" in its text.
absl::StatusOr<Message>
AskPeer(const Endpoint& aPeer, const Message& aRequest, Instant aDeadline);

// Returns whether a status of AskPeer says that no byte of the request was sent.
bool
WasNotSent(const absl::Status& aStatus);

// Returns the answer to a request, nothing to close the connection without one.
using PeerHandler = std::function<std::optional<Message>(const Message& aRequest)>;

struct PeerServerOptions
{
  Endpoint mListen;
  // Runs on several threads at once.
  PeerHandler mHandler;
  std::int64_t mMaxConnections = 16;
};

// Answers requests until it is destroyed.
class PeerServer
{
public:
  // Returns Unavailable if the endpoint cannot be bound.
  static absl::StatusOr<PeerServer> Start(const PeerServerOptions& aOptions);

  PeerServer(PeerServer&&) noexcept;
  PeerServer& operator=(PeerServer&&) noexcept;
  ~PeerServer();

  std::uint16_t Port() const;

private:
  struct State;
  explicit PeerServer(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace trefoil
