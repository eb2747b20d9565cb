#include "trefoil/wire/peer_call.h"

#include "trefoil/wire/codec.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <cstdint>
#include <string>

namespace trefoil {
namespace {

using Poco::Net::StreamSocket;

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;
// A connection without a call for so long is closed.
constexpr std::chrono::seconds kIdleLimit{ 30 };
// How long a frame that has begun may take.
constexpr Milliseconds kFrameLimit{ 10'000 };

Poco::Timespan
LimitUntil(Instant aDeadline)
{
  const auto left = std::max(Remaining(aDeadline, Now()), Milliseconds{ 1 });
  return Poco::Timespan{ std::chrono::microseconds{ left }.count() };
}

// Throws Poco::Exception if the peer cannot be reached.
void
SendFrame(StreamSocket& aSocket, const Message& aMessage, Instant aDeadline)
{
  const std::string bytes = Encode(aMessage);
  std::string frame;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    frame.push_back(static_cast<char>(bytes.size() >> (i * kBitsPerByte)));
  }
  frame += bytes;
  std::size_t sent = 0;
  while (sent < frame.size()) {
    aSocket.setSendTimeout(LimitUntil(aDeadline));
    sent += static_cast<std::size_t>(
      aSocket.sendBytes(frame.data() + sent, static_cast<int>(frame.size() - sent)));
  }
}

// Throws Poco::Exception if the bytes do not come in time.
void
ReceiveExactly(StreamSocket& aSocket, char* aBytes, std::size_t aCount, Instant aDeadline)
{
  std::size_t received = 0;
  while (received < aCount) {
    if (HasPassed(aDeadline, Now())) {
      throw Poco::TimeoutException("the peer sent no whole message in time");
    }
    aSocket.setReceiveTimeout(LimitUntil(aDeadline));
    const int bytes = aSocket.receiveBytes(aBytes + received, static_cast<int>(aCount - received));
    if (bytes <= 0) {
      throw Poco::IOException("the peer closed the connection");
    }
    received += static_cast<std::size_t>(bytes);
  }
}

absl::StatusOr<Message>
ReceiveFrame(StreamSocket& aSocket, Instant aDeadline)
{
  std::array<char, kLengthBytes> head{};
  ReceiveExactly(aSocket, head.data(), head.size(), aDeadline);
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<std::size_t>(static_cast<unsigned char>(head[i])) << (i * kBitsPerByte);
  }
  if (length > kMostMessageBytes) {
    return absl::InvalidArgumentError("the peer's message is too long");
  }
  std::string bytes(length, '\0');
  ReceiveExactly(aSocket, bytes.data(), bytes.size(), aDeadline);
  return Decode(bytes);
}

// Answers the calls of one connection until it ends. Throws Poco::Exception if it breaks.
void
AnswerCalls(Connection& aConnection, const PeerServerOptions& aOptions)
{
  StreamSocket& socket = aConnection.Socket();
  socket.setNoDelay(true);
  while (aConnection.AwaitRequest(Now() + kIdleLimit)) {
    const auto message = ReceiveFrame(socket, Now() + kFrameLimit);
    const auto reply =
      message.ok() ? aOptions.mAnswer(*message) : std::optional<Message>{ std::nullopt };
    if (!reply.has_value()) {
      return;
    }
    SendFrame(socket, *reply, Now() + kFrameLimit);
  }
}

} // namespace

absl::StatusOr<PeerConnection>
PeerConnection::Connect(const Endpoint& aPeer, Instant aDeadline)
{
  try {
    StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress{ aPeer.mAddress, aPeer.mPort }, LimitUntil(aDeadline));
    socket.setNoDelay(true);
    return PeerConnection{ socket };
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

absl::StatusOr<Message>
PeerConnection::Call(const Message& aMessage, Instant aDeadline)
{
  try {
    SendFrame(mSocket, aMessage, aDeadline);
    return ReceiveFrame(mSocket, aDeadline);
  } catch (const Poco::TimeoutException& error) {
    return absl::DeadlineExceededError(error.displayText());
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

absl::StatusOr<PeerServer>
PeerServer::Start(PeerServerOptions aOptions)
{
  auto options = std::make_unique<PeerServerOptions>(std::move(aOptions));
  const PeerServerOptions& kept = *options;
  auto listener = Listener::Start({ .mListen = kept.mListen,
                                    .mServe =
                                      [&kept](Connection& aConnection) {
                                        try {
                                          AnswerCalls(aConnection, kept);
                                        } catch (const Poco::Exception&) {
                                          // The peer asks again on another connection.
                                          return;
                                        }
                                      },
                                    .mMostConnections = kept.mMostConnections });
  if (!listener.ok()) {
    return listener.status();
  }
  return PeerServer{ std::move(options), std::move(*listener) };
}

} // namespace trefoil
