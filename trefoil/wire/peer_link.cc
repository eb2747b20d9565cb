#include "trefoil/wire/peer_link.h"

#include "trefoil/net/bind_error.h"
#include "trefoil/net/exclusive_bind.h"
#include "trefoil/wire/codec.h"
#include "trefoil/wire/frame.h"

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
#include <atomic>
#include <fmt/format.h>

namespace trefoil {
namespace {

using Poco::Net::StreamSocket;

constexpr std::size_t kReadBufferBytes = std::size_t{ 16 } * 1024;
// The maximum time to connect to a host on the same network.
constexpr Milliseconds kConnectTimeout{ 1000 };
// The maximum time for a server to read a request, and to write the answer.
constexpr Milliseconds kServerIoTimeout{ 5000 };
// Sockets interpret a timeout of zero as no timeout.
constexpr Milliseconds kMinSocketTimeout{ 1 };
constexpr int kReceiveBufferBytes = 64 * 1024;
constexpr int kIdleThreadSeconds = 60;
constexpr int kThreadStackBytes = 256 * 1024;

Poco::Timespan
SocketTimeout(Instant aDeadline)
{
  const auto remaining = std::max(Remaining(aDeadline, Now()), kMinSocketTimeout);
  return Poco::Timespan{ std::chrono::microseconds{ remaining }.count() };
}

// What the frames that are being received may hold together.
class ReceiveBudget
{
public:
  explicit ReceiveBudget(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  // Throws a Poco exception if the bytes exceed the budget.
  void Take(std::size_t aBytes)
  {
    if (mBytes.fetch_add(aBytes) + aBytes > mMaxBytes) {
      mBytes.fetch_sub(aBytes);
      throw Poco::Net::NetException("no memory for the frame");
    }
  }
  void Return(std::size_t aBytes) { mBytes.fetch_sub(aBytes); }

private:
  const std::size_t mMaxBytes;
  std::atomic<std::size_t> mBytes = 0;
};

// The part of a budget that one connection uses, until its end.
class ReceiveShare
{
public:
  explicit ReceiveShare(ReceiveBudget& aBudget)
    : mBudget(aBudget)
  {
  }
  ~ReceiveShare() { mBudget.Return(mBytes); }
  ReceiveShare(const ReceiveShare&) = delete;
  ReceiveShare& operator=(const ReceiveShare&) = delete;

  void Take(std::size_t aBytes)
  {
    mBudget.Take(aBytes);
    mBytes += aBytes;
  }

private:
  ReceiveBudget& mBudget;
  std::size_t mBytes = 0;
};

// Reads `aSize` bytes. Throws a Poco exception on a timeout, if the connection closes or if the
// bytes exceed `aShare`, which may be null. Grows the buffer as data arrives, so that a forged
// length cannot cause a large allocation.
std::string
ReadBytes(StreamSocket& aSocket, std::size_t aSize, Instant aDeadline, ReceiveShare* aShare)
{
  std::string bytes;
  std::array<char, kReadBufferBytes> buffer{};
  while (bytes.size() < aSize) {
    if (HasPassed(aDeadline, Now())) {
      throw Poco::TimeoutException("timed out while reading a frame");
    }
    aSocket.setReceiveTimeout(SocketTimeout(aDeadline));
    const std::size_t chunkSize = std::min(buffer.size(), aSize - bytes.size());
    const int received = aSocket.receiveBytes(buffer.data(), static_cast<int>(chunkSize));
    if (received <= 0) {
      throw Poco::Net::NetException("the peer closed the connection before the end of a frame");
    }
    if (aShare != nullptr) {
      // A string that grows takes up to twice its length.
      aShare->Take(2 * static_cast<std::size_t>(received));
    }
    bytes.append(buffer.data(), static_cast<std::size_t>(received));
  }
  return bytes;
}

absl::StatusOr<Message>
ReadFrame(StreamSocket& aSocket, Instant aDeadline, ReceiveShare* aShare = nullptr)
{
  const std::size_t length =
    MessageLength(ReadBytes(aSocket, kFrameLengthBytes, aDeadline, aShare));
  if (length > kMaxMessageBytes) {
    return absl::InvalidArgumentError(
      fmt::format("a frame of {} bytes exceeds the maximum message size", length));
  }
  return Decode(ReadBytes(aSocket, length, aDeadline, aShare));
}

void
WriteFrame(StreamSocket& aSocket, const Message& aMessage, Instant aDeadline)
{
  const std::string frame = EncodeFrame(aMessage);
  std::size_t sent = 0;
  while (sent < frame.size()) {
    aSocket.setSendTimeout(SocketTimeout(aDeadline));
    const int count = aSocket.sendBytes(frame.data() + sent, static_cast<int>(frame.size() - sent));
    if (count <= 0 || HasPassed(aDeadline, Now())) {
      throw Poco::TimeoutException("timed out while writing a frame");
    }
    sent += static_cast<std::size_t>(count);
  }
}

class Connection : public Poco::Net::TCPServerConnection
{
public:
  Connection(const StreamSocket& aSocket, const PeerServerOptions& aOptions, ReceiveBudget& aBudget)
    : Poco::Net::TCPServerConnection(aSocket)
    , mOptions(aOptions)
    , mShare(aBudget)
  {
  }

  void run() override // NOLINT(readability-identifier-naming): the library's name
  {
    try {
      const Instant deadline = Now() + kServerIoTimeout;
      const auto request = ReadFrame(socket(), deadline, &mShare);
      if (!request.ok()) {
        return;
      }
      if (const auto* open = std::get_if<RelayOpen>(&*request)) {
        if (mOptions.mOnRelay) {
          mOptions.mOnRelay(socket(), *open);
        }
        return;
      }
      const auto answer = mOptions.mHandler(*request);
      if (answer.has_value()) {
        WriteFrame(socket(), *answer, Now() + kServerIoTimeout);
      }
    } catch (const Poco::Exception&) {
      // The peer is gone or too slow. It repeats the request if it still needs an answer.
      return;
    }
  }

private:
  const PeerServerOptions& mOptions;
  ReceiveShare mShare;
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
  explicit ConnectionFactory(PeerServerOptions aOptions)
    : mOptions(std::move(aOptions))
    , mBudget(mOptions.mMaxReceivedBytes)
  {
  }

  Poco::Net::TCPServerConnection*
  createConnection( // NOLINT(readability-identifier-naming): the library's name
    const StreamSocket& aSocket) override
  {
    return new Connection{ aSocket, mOptions, mBudget };
  }

private:
  const PeerServerOptions mOptions;
  ReceiveBudget mBudget;
};

// The prefix of an error message that means that the request was not sent.
constexpr std::string_view kNotSentPrefix = "connect: ";

} // namespace

bool
WasNotSent(const absl::Status& aStatus)
{
  const absl::string_view text = aStatus.message();
  return std::string_view{ text.data(), text.size() }.starts_with(kNotSentPrefix);
}

absl::StatusOr<Message>
CallPeer(const Endpoint& aPeer, const Message& aRequest, Instant aDeadline)
{
  StreamSocket socket;
  try {
    const auto limit = std::min(aDeadline, Now() + kConnectTimeout);
    socket.connect(Poco::Net::SocketAddress{ aPeer.mAddress, aPeer.mPort }, SocketTimeout(limit));
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(std::string{ kNotSentPrefix } + error.displayText());
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

absl::StatusOr<RelayLink>
OpenRelay(const Endpoint& aCarrier, const RelayOpen& aOpen, Instant aDeadline)
{
  RelayLink link;
  try {
    const auto limit = std::min(aDeadline, Now() + kConnectTimeout);
    link.mSocket.connect(Poco::Net::SocketAddress{ aCarrier.mAddress, aCarrier.mPort },
                         SocketTimeout(limit));
    link.mSocket.setNoDelay(true);
    WriteFrame(link.mSocket, aOpen, aDeadline);
    const auto answer = ReadFrame(link.mSocket, aDeadline);
    if (!answer.ok()) {
      return answer.status();
    }
    const auto* opened = std::get_if<RelayOpened>(&*answer);
    if (opened == nullptr) {
      return absl::InvalidArgumentError("the answer is none to a request to carry a connection");
    }
    link.mStatus = opened->mStatus;
    return link;
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
    , mServer(new ConnectionFactory{ aOptions }, mPool, aSocket)
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
    BindExclusively(socket, aOptions.mListen);
    // Accepted connections inherit it. By itself the kernel would let it grow to some MB for each.
    socket.setReceiveBufferSize(kReceiveBufferBytes);
    socket.listen();
    return PeerServer{ std::make_unique<State>(aOptions, socket) };
  } catch (const std::exception& error) {
    return BindError(error);
  }
}

std::uint16_t
PeerServer::Port() const
{
  return mState->mServer.port();
}

} // namespace trefoil
