// Carries connections over sockets between a caller, in the place of another host, and a server.
#include "trefoil/relay/relay_carrier.h"

#include "trefoil/wire/frame.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <optional>
#include <thread>
#include <vector>

namespace trefoil {
namespace {

using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

constexpr int kTimeoutSeconds = 10;
constexpr std::size_t kMaxFrameBytes = 4'096;

enum class ReadEnd
{
  kClosed,
  kReset,
};

// Returns the next bytes, or how the connection has ended.
std::variant<std::string, ReadEnd>
ReadSome(StreamSocket& aSocket)
{
  std::array<char, 16'384> buffer{};
  aSocket.setReceiveTimeout(Poco::Timespan{ kTimeoutSeconds, 0 });
  try {
    const int count = aSocket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (count <= 0) {
      return ReadEnd::kClosed;
    }
    return std::string{ buffer.data(), static_cast<std::size_t>(count) };
  } catch (const Poco::Net::ConnectionResetException&) {
    return ReadEnd::kReset;
  }
}

// Returns the bytes until the end of the connection, and how it has ended.
std::pair<std::string, ReadEnd>
ReadAll(StreamSocket& aSocket)
{
  std::string bytes;
  for (;;) {
    auto read = ReadSome(aSocket);
    if (std::holds_alternative<ReadEnd>(read)) {
      return { bytes, std::get<ReadEnd>(read) };
    }
    bytes += std::get<std::string>(read);
  }
}

std::string
ReadBytes(StreamSocket& aSocket, std::size_t aCount)
{
  std::string bytes;
  while (bytes.size() < aCount) {
    auto read = ReadSome(aSocket);
    REQUIRE(std::holds_alternative<std::string>(read));
    bytes += std::get<std::string>(read);
  }
  return bytes;
}

void
SendAll(StreamSocket& aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    sent += static_cast<std::size_t>(
      aSocket.sendBytes(aBytes.data() + sent, static_cast<int>(aBytes.size() - sent)));
  }
}

Endpoint
EndpointOf(const ServerSocket& aSocket)
{
  return { .mAddress = "127.0.0.1", .mPort = aSocket.address().port() };
}

// A carrier on a thread of its own.
class CarrierThread
{
public:
  explicit CarrierThread(const RelayDecision& aDecision)
    : mListener(SocketAddress{ "127.0.0.1", 0 })
    , mCarrier(mLoop,
               { .mDecide = [aDecision](const RelayOpen& /*aOpen*/) { return aDecision; },
                 .mMayBegin = [this](const RelayOpen& /*aOpen*/) { return mMayBegin.load(); },
                 .mServerOptions = { .mConnectTimeout = Milliseconds{ 250 } } })
  {
    mLoop.Watch(mListener, kReadable, [this](unsigned /*aReady*/) {
      mCarrier.Carry(mListener.acceptConnection());
    });
    mThread = std::thread{ [this] { mLoop.Run(); } };
  }
  ~CarrierThread()
  {
    mLoop.Stop();
    mThread.join();
  }
  CarrierThread(const CarrierThread&) = delete;
  CarrierThread& operator=(const CarrierThread&) = delete;

  void LetNoRequestBegin() { mMayBegin = false; }
  StreamSocket Connect() { return StreamSocket{ mListener.address() }; }
  template<typename Result>
  Result OnLoop(std::function<Result(RelayCarrier&)> aTask)
  {
    std::promise<Result> result;
    mLoop.Post([&] { result.set_value(aTask(mCarrier)); });
    return result.get_future().get();
  }
  std::size_t Carried()
  {
    return OnLoop<std::size_t>([](RelayCarrier& aCarrier) { return aCarrier.Carried(); });
  }
  std::size_t BufferedBytes()
  {
    return OnLoop<std::size_t>([](RelayCarrier& aCarrier) { return aCarrier.BufferedBytes(); });
  }
  // Waits until no connection is left.
  bool BecomesEmpty()
  {
    const Instant deadline = Now() + std::chrono::seconds{ kTimeoutSeconds };
    while (Carried() > 0 && !HasPassed(deadline, Now())) {
      std::this_thread::sleep_for(Milliseconds{ 5 });
    }
    return Carried() == 0;
  }

private:
  std::atomic<bool> mMayBegin{ true };
  ServerSocket mListener;
  EventLoop mLoop;
  RelayCarrier mCarrier;
  std::thread mThread;
};

RelayStatus
Open(StreamSocket& aHost)
{
  SendAll(aHost, EncodeFrame(RelayOpen{ .mServer = BackendServerId{ "e1" }, .mIncarnation = 1 }));
  std::string received;
  for (;;) {
    received += ReadBytes(aHost, 1);
    const auto message = TakeFrame(received, kMaxFrameBytes);
    REQUIRE(message.ok());
    if (message->has_value()) {
      CHECK(received.empty());
      return std::get<RelayOpened>(**message).mStatus;
    }
  }
}

SCENARIO("a host carries a connection for another host")
{
  ServerSocket listener{ SocketAddress{ "127.0.0.1", 0 } };
  CarrierThread carrier{ { .mStatus = RelayStatus::kConnected, .mServer = EndpointOf(listener) } };
  StreamSocket host = carrier.Connect();

  GIVEN("a server that accepts connections")
  {
    REQUIRE(Open(host) == RelayStatus::kConnected);
    StreamSocket server = listener.acceptConnection();
    THEN("the bytes of both sides arrive unchanged")
    {
      const std::string request(300'000, 'q');
      const std::string answer(700'000, 'a');
      std::thread sender{ [&] { SendAll(host, request); } };
      CHECK(ReadBytes(server, request.size()) == request);
      sender.join();
      sender = std::thread{ [&] { SendAll(server, answer); } };
      CHECK(ReadBytes(host, answer.size()) == answer);
      sender.join();
    }
    // Guards against requests that reach a server of an evacuated zone on a connection that was
    // opened before (EVACUATE).
    WHEN("no further request may be sent to the server")
    {
      SendAll(host, "request");
      CHECK(ReadBytes(server, 7) == "request");
      carrier.LetNoRequestBegin();
      THEN("the request that runs gets the rest of its body and its answer, the next one is ended")
      {
        SendAll(host, "body");
        CHECK(ReadBytes(server, 4) == "body");
        SendAll(server, "answer");
        CHECK(ReadBytes(host, 6) == "answer");
        SendAll(host, "next");
        CHECK(ReadAll(host).first.empty());
        CHECK(ReadAll(server).first.empty());
        CHECK(carrier.BecomesEmpty());
      }
    }
    WHEN("the server closes its connection after an answer")
    {
      SendAll(server, "answer");
      server.close();
      THEN("the other host gets the whole answer and its end")
      {
        CHECK(ReadAll(host) == std::pair{ std::string{ "answer" }, ReadEnd::kClosed });
        CHECK(carrier.BecomesEmpty());
      }
    }
    // Guards against an answer that was cut off and looks complete to the other host (MIXED).
    WHEN("the server resets its connection")
    {
      SendAll(server, "part");
      CHECK(ReadBytes(host, 4) == "part");
      server.setLinger(true, 0);
      server.close();
      THEN("the other host's connection is reset")
      {
        CHECK(ReadAll(host).second == ReadEnd::kReset);
        CHECK(carrier.BecomesEmpty());
      }
    }
    WHEN("the carrier ends")
    {
      carrier.OnLoop<bool>([](RelayCarrier& aCarrier) {
        aCarrier.CloseAll();
        return true;
      });
      THEN("the other host's connection is reset, and the server's one is closed")
      {
        CHECK(ReadAll(host).second == ReadEnd::kReset);
        CHECK(ReadAll(server).first.empty());
      }
    }
    // Guards against servers that go on working for clients that have left (GONE).
    WHEN("the other host closes its connection")
    {
      host.close();
      THEN("the server's one is closed at once")
      {
        CHECK(ReadAll(server).first.empty());
        CHECK(carrier.BecomesEmpty());
      }
    }
    // Guards against a carrier whose memory is used up by an answer that nobody reads.
    WHEN("the other host does not read a long answer")
    {
      server.setBlocking(false);
      const std::string piece(16'384, 'a');
      std::size_t sent = 0;
      int refused = 0;
      while (refused < 20) {
        try {
          sent += static_cast<std::size_t>(server.sendBytes(piece.data(), 16'384));
          refused = 0;
        } catch (const Poco::Exception&) {
          ++refused;
          std::this_thread::sleep_for(Milliseconds{ 10 });
        }
      }
      THEN("the server has to wait, and what it has sent arrives later")
      {
        CHECK(carrier.BufferedBytes() < 65'536);
        std::thread closer{ [&] { server.close(); } };
        const auto [answer, end] = ReadAll(host);
        closer.join();
        CHECK(answer.size() == sent);
        CHECK(end == ReadEnd::kClosed);
      }
      THEN("its connection can still be reset")
      {
        host.setLinger(true, 0);
        host.close();
        CHECK(carrier.BecomesEmpty());
      }
    }
  }
  GIVEN("a server that refuses connections")
  {
    listener.close();
    THEN("the other host is told so and can send the request elsewhere")
    {
      CHECK(Open(host) == RelayStatus::kUnreachable);
      CHECK(ReadAll(host).second == ReadEnd::kClosed);
      CHECK(carrier.BecomesEmpty());
    }
  }
}

SCENARIO("a host declines to carry a connection")
{
  CarrierThread carrier{ { .mStatus = RelayStatus::kFull } };
  StreamSocket host = carrier.Connect();
  THEN("the other host is told why")
  {
    CHECK(Open(host) == RelayStatus::kFull);
    CHECK(ReadAll(host).second == ReadEnd::kClosed);
    CHECK(carrier.BecomesEmpty());
  }
  THEN("a connection that sends something else is ended")
  {
    SendAll(host, EncodeFrame(Heartbeat{ .mHost = HostId{ "h2" } }));
    CHECK(ReadAll(host).first.empty());
    CHECK(carrier.BecomesEmpty());
  }
  THEN("a connection that names no server in time is ended")
  {
    CHECK(ReadAll(host).first.empty());
    CHECK(carrier.BecomesEmpty());
  }
}

} // namespace
} // namespace trefoil
