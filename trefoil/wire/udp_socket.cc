#include "trefoil/wire/udp_socket.h"

#include "trefoil/net/bind_error.h"
#include "trefoil/net/exclusive_bind.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <array>

namespace trefoil {
namespace {

// The maximum payload of a UDP datagram over IPv4.
constexpr std::size_t kMaxDatagramBytes = 65'507;

Poco::Net::SocketAddress
ToSocketAddress(const Endpoint& aEndpoint)
{
  return { aEndpoint.mAddress, aEndpoint.mPort };
}

} // namespace

struct UdpSocket::State
{
  Poco::Net::DatagramSocket mSocket;
};

UdpSocket::UdpSocket(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

UdpSocket::UdpSocket(UdpSocket&&) noexcept = default;
UdpSocket&
UdpSocket::operator=(UdpSocket&&) noexcept = default;
UdpSocket::~UdpSocket() = default;

absl::StatusOr<UdpSocket>
UdpSocket::Bind(const Endpoint& aEndpoint)
{
  try {
    auto state = std::make_unique<State>();
    BindExclusively(state->mSocket, aEndpoint);
    return UdpSocket{ std::move(state) };
  } catch (const std::exception& error) {
    return BindError(error);
  }
}

absl::Status
UdpSocket::Send(const Endpoint& aTo, std::string_view aBytes)
{
  try {
    mState->mSocket.sendTo(aBytes.data(), static_cast<int>(aBytes.size()), ToSocketAddress(aTo));
    return absl::OkStatus();
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

absl::Status
UdpSocket::WaitUntilReadable(Instant aDeadline)
{
  try {
    const Poco::Timespan timeout{
      std::chrono::microseconds{ Remaining(aDeadline, Now()) }.count()
    };
    return mState->mSocket.poll(timeout, Poco::Net::Socket::SELECT_READ)
             ? absl::OkStatus()
             : absl::DeadlineExceededError("no datagram arrived before the deadline");
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

absl::StatusOr<std::string>
UdpSocket::Receive(Instant aDeadline)
{
  if (absl::Status readable = WaitUntilReadable(aDeadline); !readable.ok()) {
    return readable;
  }
  try {
    std::array<char, kMaxDatagramBytes> buffer{};
    Poco::Net::SocketAddress sender;
    const int bytes = mState->mSocket.receiveFrom(
      buffer.data(), static_cast<int>(buffer.size()), sender, MSG_DONTWAIT);
    return std::string{ buffer.data(), static_cast<std::size_t>(bytes) };
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

} // namespace trefoil
