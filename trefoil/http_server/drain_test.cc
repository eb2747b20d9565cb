#include "trefoil/http/client.h"
#include "trefoil/http_server/http_server.h"

#include "absl/synchronization/notification.h"
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

namespace trefoil {
namespace {

using Poco::Net::StreamSocket;

constexpr Milliseconds kTestTimeout{ 20'000 };
constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

StreamSocket
Connect(const HttpServer& aServer)
{
  StreamSocket socket{ Poco::Net::SocketAddress{ "127.0.0.1", aServer.Port() } };
  socket.setReceiveTimeout(Poco::Timespan{ std::chrono::microseconds{ kTestTimeout }.count() });
  return socket;
}

void
Send(StreamSocket& aSocket)
{
  const std::string request = kRequest;
  aSocket.sendBytes(request.data(), static_cast<int>(request.size()));
}

// Returns the bytes received until the response is complete or the connection ends.
std::string
ReadResponse(StreamSocket& aSocket)
{
  std::string response;
  std::array<char, 4096> buffer{};
  while (!response.ends_with("whole\n")) {
    const int bytes = aSocket.receiveBytes(buffer.data(), buffer.size());
    if (bytes <= 0) {
      break;
    }
    response.append(buffer.data(), static_cast<std::size_t>(bytes));
  }
  return response;
}

TEST_CASE("A server is drained")
{
  absl::Notification firstRequestStarted;
  absl::Notification mayRespond;
  std::atomic<int> served = 0;
  auto started = HttpServer::Start({ .mListen = { .mAddress = "127.0.0.1", .mPort = 0 },
                                     .mHandler =
                                       [&](HttpExchange& aExchange) {
                                         if (served.fetch_add(1) == 0) {
                                           firstRequestStarted.Notify();
                                         }
                                         mayRespond.WaitForNotification();
                                         aExchange.Respond({ .mBody = "whole\n" });
                                       },
                                     .mMaxConnections = 2 });
  REQUIRE(started.ok());
  HttpServer server = std::move(*started);
  const Instant deadline = Now() + kTestTimeout;

  SECTION(
    "requests in flight complete, and established connections that wait for a thread are served")
  {
    std::vector<StreamSocket> sockets;
    for (int i = 0; i < 10; ++i) {
      sockets.push_back(Connect(server));
      Send(sockets.back());
    }
    firstRequestStarted.WaitForNotification();
    std::int64_t openConnections = -1;
    std::thread drain{ [&] { openConnections = server.Drain(deadline); } };
    mayRespond.Notify();
    for (StreamSocket& socket : sockets) {
      const std::string response = ReadResponse(socket);
      CHECK(response.ends_with("whole\n"));
    }
    drain.join();
    CHECK(openConnections == 0);
    CHECK(served.load() == 10);
    CHECK_THROWS_AS(Connect(server), Poco::Exception);
  }
  // Guards against requests that are sent on a connection which is about to be closed (LOST).
  SECTION("a response during the drain announces that its connection closes")
  {
    StreamSocket socket = Connect(server);
    Send(socket);
    firstRequestStarted.WaitForNotification();
    std::thread drain{ [&] { server.Drain(deadline); } };
    bool isDraining = false;
    while (!isDraining && !HasPassed(deadline, Now())) {
      try {
        Connect(server);
        std::this_thread::sleep_for(Milliseconds{ 5 });
      } catch (const Poco::Exception&) {
        isDraining = true;
      }
    }
    mayRespond.Notify();
    CHECK(ReadResponse(socket).find("Connection: close") != std::string::npos);
    drain.join();
  }
  // Guards against a reset that takes the response along, since the client is still sending (LOST).
  SECTION("a client that sends more than its request receives the response")
  {
    mayRespond.Notify();
    StreamSocket socket = Connect(server);
    const std::string bytes =
      "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + std::string(8'000'000, 'x');
    std::string response;
    try {
      socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      response = ReadResponse(socket);
    } catch (const Poco::Exception& error) {
      response = error.displayText();
    }
    CHECK_THAT(response, Catch::Matchers::EndsWith("whole\n"));
  }
  SECTION("an idle keep-alive connection is closed")
  {
    mayRespond.Notify();
    StreamSocket socket = Connect(server);
    Send(socket);
    CHECK(ReadResponse(socket).find("Keep-Alive") != std::string::npos);
    std::thread drain{ [&] { server.Drain(deadline); } };
    std::array<char, 10> buffer{};
    CHECK(socket.receiveBytes(buffer.data(), buffer.size()) == 0);
    drain.join();
  }
  SECTION("a new connection may still send its first request")
  {
    mayRespond.Notify();
    StreamSocket socket = Connect(server);
    std::thread drain{ [&] { server.Drain(deadline); } };
    Send(socket);
    const std::string response = ReadResponse(socket);
    CHECK(response.ends_with("whole\n"));
    drain.join();
  }
}

} // namespace
} // namespace trefoil
