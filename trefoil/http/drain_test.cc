#include "trefoil/http/client.h"
#include "trefoil/http/server.h"

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

constexpr Milliseconds kGenerousLimit{ 20'000 };
constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

StreamSocket
Connect(const HttpServer& aServer)
{
  StreamSocket socket{ Poco::Net::SocketAddress{ "127.0.0.1", aServer.Port() } };
  socket.setReceiveTimeout(Poco::Timespan{ std::chrono::microseconds{ kGenerousLimit }.count() });
  return socket;
}

void
Send(StreamSocket& aSocket)
{
  const std::string request = kRequest;
  aSocket.sendBytes(request.data(), static_cast<int>(request.size()));
}

// Returns what comes until an answer has its body, or the connection ends.
std::string
ReadAnswer(StreamSocket& aSocket)
{
  std::string answer;
  std::array<char, 4096> buffer{};
  while (!answer.ends_with("whole\n")) {
    const int bytes = aSocket.receiveBytes(buffer.data(), buffer.size());
    if (bytes <= 0) {
      break;
    }
    answer.append(buffer.data(), static_cast<std::size_t>(bytes));
  }
  return answer;
}

TEST_CASE("A server drains")
{
  absl::Notification begun;
  absl::Notification mayAnswer;
  std::atomic<int> served = 0;
  auto started = HttpServer::Start({ .mListen = { .mAddress = "127.0.0.1", .mPort = 0 },
                                     .mHandler =
                                       [&](HttpExchange& aExchange) {
                                         if (served.fetch_add(1) == 0) {
                                           begun.Notify();
                                         }
                                         mayAnswer.WaitForNotification();
                                         aExchange.Answer({ .mBody = "whole\n" });
                                       },
                                     .mMaxConnections = 2 });
  REQUIRE(started.ok());
  HttpServer server = std::move(*started);
  const Instant deadline = Now() + kGenerousLimit;

  SECTION("requests in flight end, and those whose connection came up are served, too")
  {
    std::vector<StreamSocket> sockets;
    for (int i = 0; i < 10; ++i) {
      sockets.push_back(Connect(server));
      Send(sockets.back());
    }
    begun.WaitForNotification();
    std::int64_t left = -1;
    std::thread drain{ [&] { left = server.Drain(deadline); } };
    mayAnswer.Notify();
    for (StreamSocket& socket : sockets) {
      const std::string answer = ReadAnswer(socket);
      CHECK(answer.ends_with("whole\n"));
    }
    drain.join();
    CHECK(left == 0);
    CHECK(served.load() == 10);
    CHECK_THROWS_AS(Connect(server), Poco::Exception);
  }
  SECTION("a kept connection is told that it closes")
  {
    mayAnswer.Notify();
    StreamSocket socket = Connect(server);
    Send(socket);
    CHECK(ReadAnswer(socket).find("Keep-Alive") != std::string::npos);
    std::thread drain{ [&] { server.Drain(deadline); } };
    std::array<char, 10> buffer{};
    CHECK(socket.receiveBytes(buffer.data(), buffer.size()) == 0);
    drain.join();
  }
  SECTION("a connection that was accepted and not read yet may still send its request")
  {
    mayAnswer.Notify();
    StreamSocket socket = Connect(server);
    std::thread drain{ [&] { server.Drain(deadline); } };
    Send(socket);
    const std::string answer = ReadAnswer(socket);
    CHECK(answer.ends_with("whole\n"));
    drain.join();
  }
}

} // namespace
} // namespace trefoil
