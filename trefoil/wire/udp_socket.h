// Sends and receives UDP datagrams.
//
//   absl::StatusOr<UdpSocket> socket = UdpSocket::Bind(endpoint);
//   socket->Send(peer, bytes);
//   absl::StatusOr<std::string> bytes = socket->Receive(Now() + kPollTimeout);
//
// Thread-safe. Of threads that call Receive() at a time, one receives a datagram.
#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"

#include <memory>
#include <string>
#include <string_view>

namespace trefoil {

class UdpSocket
{
public:
  // Returns a socket bound to `aEndpoint`, or Unavailable if the endpoint cannot be bound.
  static absl::StatusOr<UdpSocket> Bind(const Endpoint& aEndpoint);

  UdpSocket(UdpSocket&&) noexcept;
  UdpSocket& operator=(UdpSocket&&) noexcept;
  ~UdpSocket();

  // Passes a datagram to the operating system. Delivery is not guaranteed. Returns Unavailable if
  // the system rejects it.
  absl::Status Send(const Endpoint& aTo, std::string_view aBytes);

  // Blocks until a datagram can be received. Errors are those of Receive().
  absl::Status WaitUntilReadable(Instant aDeadline);

  // Blocks until a datagram arrives and returns its bytes. Returns DeadlineExceeded if none arrives
  // before `aDeadline`, and Unavailable if the socket fails.
  absl::StatusOr<std::string> Receive(Instant aDeadline);

private:
  struct State;
  explicit UdpSocket(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace trefoil
