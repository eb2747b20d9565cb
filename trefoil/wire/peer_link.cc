#include "trefoil/wire/peer_link.h"

#include "trefoil/wire/codec.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace trefoil {
namespace {

using Poco::Net::StreamSocket;

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kPieceBytes = std::size_t{ 16 } * 1024;
// How long a connection to a host on the same network may take to come up.
constexpr Milliseconds kConnectLimit{ 1000 };
// How long a server waits for a request and for an answer to be taken.
constexpr Milliseconds kServeLimit{ 5000 };
// A socket takes a time limit of zero as "none".
constexpr Milliseconds kShortestLimit{ 1 };
constexpr int kIdleThreadSeconds = 60;
constexpr int kThreadStackBytes = 256 * 1024;

Poco::Timespan
LimitUntil(Instant aDeadline)
{
  const auto left = std::max(Remaining(aDeadline, Now()), kShortestLimit);
  return Poco::Timespan{ std::chrono::microseconds{ left }.count() };
}

// Reads `aSize` bytes. Grows the text as they come, so that a claimed size allocates nothing.
std::string
ReadBytes(StreamSocket& aSocket, std::size_t aSize, Instant aDeadline)
{
  std::string bytes;
  std::array<char, kPieceBytes> piece{};
  while (bytes.size() < aSize) {
    if (HasPassed(aDeadline, Now())) {
      throw Poco::TimeoutException("the frame did not come in time");
    }
    aSocket.setReceiveTimeout(LimitUntil(aDeadline));
    const std::size_t wanted = std::min(piece.size(), aSize - bytes.size());
    const int got = aSocket.receiveBytes(piece.data(), static_cast<int>(wanted));
    if (got <= 0) {
      throw Poco::Net::NetException("the connection closed inside a frame");
    }
    bytes.append(piece.data(), static_cast<std::size_t>(got));
  }
  return bytes;
}

absl::StatusOr<Message>
ReadFrame(StreamSocket& aSocket, Instant aDeadline)
{
  const std::string head = ReadBytes(aSocket, kLengthBytes, aDeadline);
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<std::size_t>(static_cast<unsigned char>(head[i])) << (i * kBitsPerByte);
  }
  if (length > kMaxMessageBytes) {
    return absl::InvalidArgumentError(fmt::format("a frame of {} bytes is too long", length));
  }
  return Decode(ReadBytes(aSocket, length, aDeadline));
}

void
WriteFrame(StreamSocket& aSocket, const Message& aMessage, Instant aDeadline)
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
    const int count = aSocket.sendBytes(frame.data() + sent, static_cast<int>(frame.size() - sent));
    if (count <= 0 || HasPassed(aDeadline, Now())) {
      throw Poco::TimeoutException("the frame was not taken in time");
    }
    sent += static_cast<std::size_t>(count);
  }
}

class Connection : public Poco::Net::TCPServerConnection
{
public:
  Connection(const StreamSocket& aSocket, const PeerHandler& aHandler)
    : Poco::Net::TCPServerConnection(aSocket)
    , mHandler(aHandler)
  {
  }

  void run() override // NOLINT(readability-identifier-naming): the library's name
  {
    try {
      const Instant deadline = Now() + kServeLimit;
      const auto request = ReadFrame(socket(), deadline);
      if (!request.ok()) {
        return;
      }
      const auto answer = mHandler(*request);
      if (answer.has_value()) {
        WriteFrame(socket(), *answer, Now() + kServeLimit);
      }
    } catch (const Poco::Exception&) {
      // The other host is gone or slow; it asks again.
      return;
    }
  }

private:
  const PeerHandler& mHandler;
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
  explicit ConnectionFactory(PeerHandler aHandler)
    : mHandler(std::move(aHandler))
  {
  }

  Poco::Net::TCPServerConnection*
  createConnection( // NOLINT(readability-identifier-naming): the library's name
    const StreamSocket& aSocket) override
  {
    return new Connection{ aSocket, mHandler };
  }

private:
  const PeerHandler mHandler;
};

// How the text of a status begins whose request was not sent.
constexpr std::string_view kNotSent = "connect: ";

} // namespace

bool
WasNotSent(const absl::Status& aStatus)
{
  const absl::string_view text = aStatus.message();
  return std::string_view{ text.data(), text.size() }.starts_with(kNotSent);
}

absl::StatusOr<Message>
AskPeer(const Endpoint& aPeer, const Message& aRequest, Instant aDeadline)
{
  StreamSocket socket;
  try {
    const auto limit = std::min(aDeadline, Now() + kConnectLimit);
    socket.connect(Poco::Net::SocketAddress{ aPeer.mAddress, aPeer.mPort }, LimitUntil(limit));
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(std::string{ kNotSent } + error.displayText());
  }
  try {
    WriteFrame(socket, aRequest, aDeadline);
    return ReadFrame(socket, aDeadline);
  } catch (const Poco::TimeoutException& error) {
    return absl::DeadlineExceededError(error.displayText());
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

struct PeerServer::State
{
  State(const PeerServerOptions& aOptions, const Poco::Net::ServerSocket& aSocket)
    : mPool(1, static_cast<int>(aOptions.mMaxConnections), kIdleThreadSeconds, kThreadStackBytes)
    , mServer(new ConnectionFactory{ aOptions.mHandler }, mPool, aSocket)
  {
    mServer.start();
  }
  ~State()
  {
    mServer.stop();
    mPool.joinAll();
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  Poco::ThreadPool mPool;
  Poco::Net::TCPServer mServer;
};

PeerServer::PeerServer(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

PeerServer::PeerServer(PeerServer&&) noexcept = default;
PeerServer&
PeerServer::operator=(PeerServer&&) noexcept = default;
PeerServer::~PeerServer() = default;

absl::StatusOr<PeerServer>
PeerServer::Start(const PeerServerOptions& aOptions)
{
  try {
    Poco::Net::ServerSocket socket;
    socket.bind({ aOptions.mListen.mAddress, aOptions.mListen.mPort }, true);
    socket.listen();
    return PeerServer{ std::make_unique<State>(aOptions, socket) };
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

std::uint16_t
PeerServer::Port() const
{
  return mState->mServer.port();
}

} // namespace trefoil
