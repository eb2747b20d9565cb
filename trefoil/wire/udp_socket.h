// Sends and receives datagrams.
//
//   absl::StatusOr<UdpSocket> socket = UdpSocket::Bind(endpoint);
//   socket->Send(peer, bytes);
//   absl::StatusOr<std::string> bytes = socket->Receive(Now() + kPollTimeout);
//
// Send and Receive may run on two threads at once.
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
  // Returns Unavailable if the endpoint cannot be bound.
  static absl::StatusOr<UdpSocket> Bind(const Endpoint& aEndpoint);

  UdpSocket(UdpSocket&&) noexcept;
  UdpSocket& operator=(UdpSocket&&) noexcept;
  ~UdpSocket();

  // Hands a datagram to the system. Delivery is not promised.
  absl::Status Send(const Endpoint& aTo, std::string_view aBytes);

  // Waits for a datagram. Returns DeadlineExceeded if none came in time.
  absl::StatusOr<std::string> Receive(Instant aDeadline);

private:
  struct State;
  explicit UdpSocket(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace trefoil
