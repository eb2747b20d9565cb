#include "trefoil/http_server/http_server.h"

#include "absl/synchronization/notification.h"
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <string>
#include <thread>
#include <vector>

namespace trefoil {
namespace {

using Poco::Net::StreamSocket;

constexpr const char* kAddress = "127.0.51.2";
constexpr Milliseconds kTestTimeout{ 20'000 };
constexpr const char* kGet = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

StreamSocket
Connect(const HttpServer& aServer)
{
  StreamSocket socket{ Poco::Net::SocketAddress{ kAddress, aServer.Port() } };
  socket.setReceiveTimeout(Poco::Timespan{ std::chrono::microseconds{ kTestTimeout }.count() });
  return socket;
}

void
Send(StreamSocket& aSocket, const std::string& aBytes)
{
  aSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
}

// Returns the bytes received until `aEnd` is among them or the connection ends.
std::string
ReceiveUntil(StreamSocket& aSocket, const std::string& aEnd)
{
  std::string received;
  std::array<char, 4096> buffer{};
  while (received.find(aEnd) == std::string::npos) {
    const int count = aSocket.receiveBytes(buffer.data(), buffer.size());
    if (count <= 0) {
      break;
    }
    received.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return received;
}

// Guards against callers that wait for a second before they send a body, such as curl.
SCENARIO("a client asks before it sends the body of its request")
{
  const auto server = HttpServer::Start(
    { .mListen = { .mAddress = kAddress, .mPort = 0 },
      .mHandler =
        [](HttpExchange& aExchange) { aExchange.Respond({ .mBody = aExchange.Request().mBody }); },
      .mMaxBodyBytes = 1'000 });
  REQUIRE(server.ok());
  StreamSocket client = Connect(*server);
  const auto ask = [&client](int aLength) {
    Send(client,
         fmt::format("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: "
                     "{}\r\n\r\n",
                     aLength));
  };
  WHEN("the body is within its limit")
  {
    ask(5);
    THEN("the client is told to send it, once for each request")
    {
      for (int i = 0; i < 2; ++i) {
        CHECK(ReceiveUntil(client, "\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
        Send(client, "he");
        Send(client, "llo");
        CHECK(ReceiveUntil(client, "hello").starts_with("HTTP/1.1 200 "));
        ask(5);
      }
    }
  }
  WHEN("the body is over its limit")
  {
    ask(5'000);
    THEN("the request is refused at once")
    {
      CHECK(ReceiveUntil(client, "\r\n\r\n").starts_with("HTTP/1.1 413 "));
    }
  }
}

// Guards against a handler that holds what its client does not read, and one that never ends.
SCENARIO("a client reads a stream slowly")
{
  std::atomic<int> written = 0;
  std::atomic<bool> hasEnded = false;
  const auto server = HttpServer::Start(
    { .mListen = { .mAddress = kAddress, .mPort = 0 }, .mHandler = [&](HttpExchange& aExchange) {
       aExchange.BeginStream({});
       const std::string chunk(10'000, 'x');
       while (written.load() < 1'000 && aExchange.Write(chunk)) {
         ++written;
       }
       hasEnded = true;
     } });
  REQUIRE(server.ok());
  auto client = std::make_unique<StreamSocket>(Connect(*server));
  Send(*client, kGet);
  CHECK_FALSE(ReceiveUntil(*client, "x").empty());
  WHEN("it reads all")
  {
    THEN("it gets all chunks")
    {
      CHECK(ReceiveUntil(*client, "\r\n0\r\n\r\n").ends_with("\r\n0\r\n\r\n"));
      CHECK(written.load() == 1'000);
    }
  }
  WHEN("it goes away")
  {
    client->close();
    THEN("the handler ends before it has written all")
    {
      const Instant deadline = Now() + kTestTimeout;
      while (!hasEnded.load() && !HasPassed(deadline, Now())) {
        std::this_thread::sleep_for(Milliseconds{ 5 });
      }
      CHECK(hasEnded.load());
      CHECK(written.load() < 1'000);
    }
  }
}

// Guards against an answer that is lost because its client sends on while the handler runs.
SCENARIO("a client sends much more than its request")
{
  constexpr Milliseconds kHandlerTime{ 200 };
  const auto server = HttpServer::Start({ .mListen = { .mAddress = kAddress, .mPort = 0 },
                                          .mHandler = [kHandlerTime](HttpExchange& aExchange) {
                                            std::this_thread::sleep_for(kHandlerTime);
                                            aExchange.Respond({ .mBody = "served\n" });
                                          } });
  REQUIRE(server.ok());
  StreamSocket client = Connect(*server);
  GIVEN("bytes that are no request")
  {
    Send(client,
         "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + std::string(1'000'000, 'x'));
    THEN("it gets its answer")
    {
      CHECK(ReceiveUntil(client, "served\n").ends_with("served\n"));
    }
  }
  GIVEN("many further requests")
  {
    constexpr int kRequests = 5;
    // Each one longer than what is read before the answer to the former one.
    const std::string body(100'000, 'x');
    const std::jthread sender{ [&] {
      try {
        for (int i = 0; i < kRequests; ++i) {
          Send(
            client,
            fmt::format("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", body.size()) +
              body);
        }
      } catch (const Poco::Exception&) {
        // The answers are missing then.
        return;
      }
    } };
    THEN("it gets all answers")
    {
      std::string received;
      for (std::size_t answers = 0; answers < kRequests;) {
        const std::string more = ReceiveUntil(client, "served\n");
        REQUIRE_FALSE(more.empty());
        received += more;
        answers = 0;
        for (std::size_t at = received.find("served\n"); at != std::string::npos;
             at = received.find("served\n", at + 1)) {
          ++answers;
        }
      }
    }
  }
}

// Guards against a server that has no descriptor left for the connections that requests take.
SCENARIO("connections are kept for the requests of clients")
{
  absl::Notification mayRespond;
  std::atomic<int> running = 0;
  const auto server = HttpServer::Start({ .mListen = { .mAddress = kAddress, .mPort = 0 },
                                          .mHandler =
                                            [&](HttpExchange& aExchange) {
                                              ++running;
                                              mayRespond.WaitForNotification();
                                              aExchange.Respond({ .mBody = "served\n" });
                                            },
                                          .mMaxConnections = 4,
                                          .mConnectionsPerRequest = 1 });
  REQUIRE(server.ok());
  GIVEN("as many clients with requests as there are connections")
  {
    std::vector<StreamSocket> clients;
    for (int i = 0; i < 4; ++i) {
      clients.push_back(Connect(*server));
      Send(clients.back(), kGet);
    }
    const Instant deadline = Now() + kTestTimeout;
    while (running.load() < 2 && !HasPassed(deadline, Now())) {
      std::this_thread::sleep_for(Milliseconds{ 5 });
    }
    THEN("half of them are served at a time, and all in the end")
    {
      CHECK(running.load() == 2);
      mayRespond.Notify();
      for (StreamSocket& client : clients) {
        CHECK(ReceiveUntil(client, "served\n").ends_with("served\n"));
        client.close();
      }
    }
  }
  GIVEN("clients that have connected and send nothing")
  {
    mayRespond.Notify();
    std::vector<StreamSocket> idle;
    for (int i = 0; i < 6; ++i) {
      idle.push_back(Connect(*server));
    }
    THEN("they give way to a further client")
    {
      StreamSocket client = Connect(*server);
      Send(client, kGet);
      CHECK(ReceiveUntil(client, "served\n").ends_with("served\n"));
    }
  }
  if (!mayRespond.HasBeenNotified()) {
    mayRespond.Notify();
  }
}

// Guards against answers that exhaust the memory of the machine, and against one that waits for
// memory although its request has run and its client has gone.
SCENARIO("answers wait for memory")
{
  constexpr std::size_t kMegabyte = 1'000'000;
  absl::Notification mayEnd;
  std::atomic<int> granted = 0;
  std::atomic<int> refused = 0;
  const auto server = HttpServer::Start(
    { .mListen = { .mAddress = kAddress, .mPort = 0 },
      .mHandler =
        [&](HttpExchange& aExchange) {
          const std::size_t bytes =
            aExchange.Request().mTarget == "/large" ? 20 * kMegabyte : 6 * kMegabyte;
          ++(aExchange.ReserveMemory(bytes, Now() + kTestTimeout) ? granted : refused);
          mayEnd.WaitForNotification();
          aExchange.Respond({ .mBody = "answer\n" });
        },
      .mMemoryLimits = LimitsOfMachine(10 * kMegabyte) });
  REQUIRE(server.ok());
  const auto waitFor = [](const std::atomic<int>& aCount, int aValue) {
    const Instant deadline = Now() + kTestTimeout;
    while (aCount.load() < aValue && !HasPassed(deadline, Now())) {
      std::this_thread::sleep_for(Milliseconds{ 5 });
    }
    return aCount.load();
  };
  GIVEN("two answers that do not fit together")
  {
    std::vector<StreamSocket> clients;
    for (int i = 0; i < 2; ++i) {
      clients.push_back(Connect(*server));
      Send(clients.back(), kGet);
    }
    THEN("the second one gets memory when the first one has been sent")
    {
      CHECK(waitFor(granted, 1) == 1);
      mayEnd.Notify();
      CHECK(waitFor(granted, 2) == 2);
      for (StreamSocket& client : clients) {
        CHECK(ReceiveUntil(client, "answer\n").ends_with("answer\n"));
      }
    }
  }
  GIVEN("an answer whose client goes away")
  {
    {
      StreamSocket client = Connect(*server);
      Send(client, kGet);
    }
    THEN("it gets memory nevertheless, since its request may have run")
    {
      CHECK(waitFor(granted, 1) == 1);
    }
  }
  GIVEN("an answer that never fits")
  {
    StreamSocket client = Connect(*server);
    Send(client, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    THEN("it is told so at once")
    {
      CHECK(waitFor(refused, 1) == 1);
    }
  }
  if (!mayEnd.HasBeenNotified()) {
    mayEnd.Notify();
  }
}

} // namespace
} // namespace trefoil
