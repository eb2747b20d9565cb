#include "trefoil/http_server/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>
#include <utility>

namespace trefoil {
namespace {

// Sends one request to a server with the handler and returns all bytes until the connection ends.
std::string
AnswerOf(HttpHandler aHandler)
{
  const auto server = HttpServer::Start({ .mListen = { .mAddress = "127.0.51.1", .mPort = 0 },
                                          .mHandler = std::move(aHandler),
                                          .mMaxBodyBytes = 1000,
                                          .mMaxConnections = 8 });
  REQUIRE(server.ok());
  Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress{ "127.0.51.1", server->Port() } };
  const std::string request = "POST /v1/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  socket.sendBytes(request.data(), static_cast<int>(request.size()));
  socket.setReceiveTimeout(Poco::Timespan{ 20, 0 });
  std::string received;
  std::array<char, 1024> buffer{};
  int count = 0;
  while ((count = socket.receiveBytes(buffer.data(), buffer.size())) > 0) {
    received.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return received;
}

// Guards against: an exception of a handler blames the client for a request that may have run, or
// makes an answer that ends early look complete.
SCENARIO("an exception of a handler ends its request truthfully")
{
  GIVEN("a handler that fails before its answer")
  {
    const std::string answer =
      AnswerOf([](HttpExchange& /*aExchange*/) { throw std::runtime_error{ "failed" }; });
    THEN("the client is told that the server failed")
    {
      CHECK(answer.starts_with("HTTP/1.1 500 "));
    }
  }
  GIVEN("a handler that fails in the middle of a stream")
  {
    const std::string answer = AnswerOf([](HttpExchange& aExchange) {
      aExchange.BeginStream({ .mStatus = 200 });
      aExchange.Write("data: 1\n\n");
      throw std::runtime_error{ "failed" };
    });
    THEN("the answer does not look complete")
    {
      CHECK(answer.starts_with("HTTP/1.1 200 "));
      CHECK(answer.find("data: 1\n\n") != std::string::npos);
      CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    }
  }
}

// Guards against: an exception of one request leaves its slot taken, so that a server at its limit
// of connections accepts none any more.
SCENARIO("an exception closes one connection and frees its slot")
{
  GIVEN("a server that serves one connection at a time, with a failing handler")
  {
    const auto server = HttpServer::Start(
      { .mListen = { .mAddress = "127.0.51.1", .mPort = 0 },
        .mHandler = [](HttpExchange& /*aExchange*/) { throw std::runtime_error{ "failed" }; },
        .mMaxConnections = 1 });
    REQUIRE(server.ok());
    THEN("each of several connections is served and closed")
    {
      for (int i = 0; i < 3; ++i) {
        Poco::Net::StreamSocket client{ Poco::Net::SocketAddress{ "127.0.51.1", server->Port() } };
        client.setReceiveTimeout(Poco::Timespan{ 20, 0 });
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        client.sendBytes(request.data(), static_cast<int>(request.size()));
        std::array<char, 1024> buffer{};
        bool timedOut = false;
        try {
          while (client.receiveBytes(buffer.data(), buffer.size()) > 0) {
          }
        } catch (const Poco::TimeoutException&) {
          timedOut = true;
        }
        CHECK_FALSE(timedOut);
      }
    }
  }
}

} // namespace
} // namespace trefoil
