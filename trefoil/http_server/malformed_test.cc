#include "trefoil/http/check_request_head.h"
#include "trefoil/http/client.h"
#include "trefoil/http_server/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace trefoil {
namespace {

constexpr Milliseconds kTestTimeout{ 20'000 };
constexpr Poco::Timespan::TimeDiff kReadTimeoutMicroseconds = 20'000'000;
constexpr Poco::Timespan::TimeDiff kPromptResponseMicroseconds = 7'000'000;

// Sends raw bytes and returns all bytes received until the server closes the connection, followed
// by the error text if an error occurred.
std::string
ExchangeBytes(std::uint16_t aPort, const std::string& aBytes)
{
  std::string response;
  try {
    Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress{ "127.0.0.1", aPort } };
    socket.setReceiveTimeout(Poco::Timespan{ kReadTimeoutMicroseconds });
    socket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
    socket.shutdownSend();
    std::array<char, 4096> buffer{};
    while (const int bytes = socket.receiveBytes(buffer.data(), buffer.size())) {
      response.append(buffer.data(), static_cast<std::size_t>(bytes));
    }
  } catch (const Poco::Exception& error) {
    response += error.displayText();
  }
  return response;
}

std::string
Repeat(const std::string& aText, int aTimes)
{
  std::string text;
  for (int i = 0; i < aTimes; ++i) {
    text += aText;
  }
  return text;
}

HttpServer
EchoServer()
{
  auto server = HttpServer::Start(
    { .mListen = { .mAddress = "127.0.0.1", .mPort = 0 },
      .mHandler =
        [](HttpExchange& aExchange) { aExchange.Respond({ .mBody = aExchange.Request().mBody }); },
      .mMaxBodyBytes = 1000,
      .mMaxConnections = 8 });
  REQUIRE(server.ok());
  return std::move(*server);
}

TEST_CASE("A request without Content-Length has no body")
{
  HttpServer server = EchoServer();
  SECTION("the server responds while the client keeps the connection open")
  {
    Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress{ "127.0.0.1", server.Port() } };
    // Well below the server's idle connection timeout of 15 s.
    socket.setReceiveTimeout(Poco::Timespan{ kPromptResponseMicroseconds });
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::array<char, 4096> buffer{};
    const int bytes = socket.receiveBytes(buffer.data(), buffer.size());
    REQUIRE(bytes > 0);
    CHECK(
      std::string{ buffer.data(), static_cast<std::size_t>(bytes) }.starts_with("HTTP/1.1 200"));
  }
}

TEST_CASE("Malformed requests are refused with a reason in the body")
{
  HttpServer server = EchoServer();
  const std::string host = "Host: a\r\n";
  const std::vector<std::pair<std::string, std::string>> cases{
    { "nonsense\r\n\r\n", "400" },
    { "GET\r\n\r\n", "400" },
    { "GET / HTTP/7\r\n" + host + "\r\n", "400" },
    { "GET / \t\r\n\r\n", "400" },
    { "get / HTTP/1.1\r\n" + host + "\r\n", "400" },
    { "G\x01T / HTTP/1.1\r\n" + host + "\r\n", "400" },
    { Repeat("A", 100) + " / HTTP/1.1\r\n" + host + "\r\n", "400" },
    { "GET relative HTTP/1.1\r\n" + host + "\r\n", "400" },
    { "GET /" + Repeat("x", 10'000) + " HTTP/1.1\r\n" + host + "\r\n", "414" },
    { "GET /" + Repeat("x", 40'000) + " HTTP/1.1\r\n" + host + "\r\n", "414" },
    { "GET / HTTP/1.1\r\n" + Repeat("a: b\r\n", 200) + "\r\n", "400" },
    { "GET / HTTP/1.1\r\n" + Repeat("a: " + Repeat("x", 4000) + "\r\n", 20) + "\r\n", "431" },
    { "GET / HTTP/1.1\r\na: " + Repeat("x", 20'000) + "\r\n\r\n", "400" },
    { "POST / HTTP/1.1\r\n" + host + "Content-Length: abc\r\n\r\nxx", "400" },
    { "POST / HTTP/1.1\r\n" + host + "Content-Length: -5\r\n\r\nxx", "400" },
    { "POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999\r\n\r\nxx", "400" },
    { "POST / HTTP/1.1\r\n" + host + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nxxx", "400" },
    { "POST / HTTP/1.1\r\n" + host +
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "400" },
    { "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip\r\n\r\nxx", "400" },
    { "POST / HTTP/1.1\r\n" + host + "Content-Length: 50\r\n\r\ncut short", "400" },
    { "POST / HTTP/1.1\r\n" + host + "Content-Length: 5000\r\n\r\n" + Repeat("x", 5000), "413" },
    { "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" +
        Repeat("x", 2000) + "\r\n0\r\n\r\n",
      "413" },
    { "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n" + Repeat("0", 40'000),
      "400" },
    { "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1;x=" + Repeat("0", 40'000),
      "400" },
    { "POST / HTTP/1.1\r\n" + host +
        "Transfer-Encoding: chunked\r\n\r\n0\r\nX: " + Repeat("0", 40'000),
      "400" },
    { "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n5\r\ncut", "400" },
    { "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n2\r\nlong\r\n0\r\n\r\n",
      "400" },
    { "POST / HTTP/1.1\r\n" + host +
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "400" },
    { "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", "400" },
  };
  for (const auto& [bytes, status] : cases) {
    INFO(bytes.substr(0, 100));
    const std::string response = ExchangeBytes(server.Port(), bytes);
    CHECK(response.starts_with("HTTP/1.1 " + status));
    const std::size_t body = response.find("\r\n\r\n");
    REQUIRE(body != std::string::npos);
    CHECK(response.size() > body + 4);
  }

  SECTION("and the server still serves valid requests")
  {
    const auto result = Call({ .mServer = { .mAddress = "127.0.0.1", .mPort = server.Port() },
                               .mRequest = { .mMethod = "POST", .mBody = "hello" },
                               .mDeadline = Now() + kTestTimeout });
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).mBody == "hello");
  }
  SECTION("and a request in chunks is one request, whatever its body holds")
  {
    const std::string hidden = "GET /hidden HTTP/1.1\r\n\r\n";
    const std::string response = ExchangeBytes(
      server.Port(),
      "POST / HTTP/1.1\r\nTransfer-Encoding:\r\nTransfer-Encoding: chunked\r\n\r\n" +
        fmt::format("{:x};x=1\r\n{}\r\n0\r\nTrailer: t\r\n\r\n", hidden.size(), hidden) +
        "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(response.find(hidden) != std::string::npos);
    const std::size_t second = response.find("HTTP/1.1 200", 10);
    REQUIRE(second != std::string::npos);
    CHECK(response.find("HTTP/1.1", second + 1) == std::string::npos);
  }
  SECTION("and two pipelined requests both receive a response")
  {
    const std::string response = ExchangeBytes(
      server.Port(),
      "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\noneGET /2 HTTP/1.1\r\nConnection: "
      "close\r\n\r\n");
    CHECK(response.find("one") != std::string::npos);
    CHECK(response.find("HTTP/1.1 200", 10) != std::string::npos);
  }
}

TEST_CASE("Random bytes never crash the server")
{
  HttpServer server = EchoServer();
  const bool holds = rc::check([&server] {
    auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    if (*rc::gen::arbitrary<bool>()) {
      bytes = "POST / HTTP/1.1\r\n" + bytes + "\r\n\r\n";
    }
    const std::string response = ExchangeBytes(server.Port(), bytes);
    RC_ASSERT(response.empty() || response.starts_with("HTTP/1."));
  });
  CHECK(holds);
  CHECK(ExchangeBytes(server.Port(), "GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
          .starts_with("HTTP/1.1 200"));
}

TEST_CASE("Any request head is either refused with a reason or has unambiguous framing")
{
  const bool holds = rc::check([] {
    HttpRequest head{ .mMethod = *rc::gen::arbitrary<std::string>(),
                      .mTarget = *rc::gen::arbitrary<std::string>() };
    for (const auto& value : *rc::gen::arbitrary<std::vector<std::string>>()) {
      const auto* name = *rc::gen::element("Content-Length", "Transfer-Encoding", "Other");
      head.mHeaders.push_back({ .mName = name, .mValue = value });
    }
    const auto refusal = CheckRequestHead(head);
    if (refusal.has_value()) {
      RC_ASSERT(refusal->mStatus >= 400 && refusal->mStatus < 500);
      RC_ASSERT(!refusal->mBody.empty());
      return;
    }
    RC_ASSERT(HeaderValue(head.mHeaders, "Content-Length").empty() ||
              HeaderValue(head.mHeaders, "Transfer-Encoding").empty());
  });
  CHECK(holds);
}

} // namespace
} // namespace trefoil
