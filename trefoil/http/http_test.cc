#include "trefoil/http/client.h"
#include "trefoil/http/server.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

namespace trefoil {
namespace {

constexpr Milliseconds kGenerousLimit{ 20'000 };
constexpr Milliseconds kShortLimit{ 50 };

// Starts a server on a port that the system chooses.
HttpServer
StartServer(HttpHandler aHandler)
{
  auto server = HttpServer::Start({ .mListen = { .mAddress = "127.0.0.1", .mPort = 0 },
                                    .mHandler = std::move(aHandler),
                                    .mMaxBodyBytes = 1000,
                                    .mMaxConnections = 8 });
  REQUIRE(server.ok());
  return std::move(*server);
}

HttpCall
CallTo(const HttpServer& aServer, HttpRequest aRequest, Milliseconds aLimit = kGenerousLimit)
{
  return { .mServer = { .mAddress = "127.0.0.1", .mPort = aServer.Port() },
           .mRequest = std::move(aRequest),
           .mDeadline = Now() + aLimit };
}

TEST_CASE("A call says whether the request may have run")
{
  HttpServer server = StartServer([](HttpExchange& aExchange) {
    const std::string_view path = PathOf(aExchange.Request().mTarget);
    if (path == "/die") {
      aExchange.Abort();
    } else if (path == "/freeze") {
      aExchange.BeginStream({});
      while (aExchange.Write("x")) {
        std::this_thread::yield();
      }
    } else {
      aExchange.Answer({ .mStatus = 201, .mBody = aExchange.Request().mBody });
    }
  });

  SECTION("a server that answers gives an answer")
  {
    const auto result =
      Call(CallTo(server, { .mMethod = "POST", .mTarget = "/echo", .mBody = "hello" }));
    REQUIRE(std::holds_alternative<HttpAnswer>(result));
    CHECK(std::get<HttpAnswer>(result).mStatus == 201);
    CHECK(std::get<HttpAnswer>(result).mBody == "hello");
  }
  SECTION("a server that dies leaves it open")
  {
    const auto result =
      Call(CallTo(server, { .mMethod = "POST", .mTarget = "/die", .mBody = "hello" }));
    REQUIRE(std::holds_alternative<Failure>(result));
    CHECK(std::get<Failure>(result).mVerdict == Verdict::kMayHaveRun);
  }
  SECTION("a server that never ends its answer leaves it open, too")
  {
    const auto result = Call(CallTo(server, { .mTarget = "/freeze" }, kShortLimit));
    REQUIRE(std::holds_alternative<Failure>(result));
    CHECK(std::get<Failure>(result).mVerdict == Verdict::kMayHaveRun);
    CHECK(absl::IsDeadlineExceeded(std::get<Failure>(result).mStatus));
  }
  SECTION("a body over the limit is refused")
  {
    const auto result = Call(
      CallTo(server, { .mMethod = "POST", .mTarget = "/echo", .mBody = std::string(2000, 'x') }));
    REQUIRE(std::holds_alternative<HttpAnswer>(result));
    CHECK(std::get<HttpAnswer>(result).mStatus == 413);
  }
  SECTION("a port where nobody listens means not run")
  {
    HttpCall call = CallTo(server, {});
    {
      const HttpServer gone = StartServer([](HttpExchange&) {});
      call.mServer.mPort = gone.Port();
    }
    const auto result = Call(call);
    REQUIRE(std::holds_alternative<Failure>(result));
    CHECK(std::get<Failure>(result).mVerdict == Verdict::kNotRun);
  }
}

// Sends bytes as a client that then dies, and returns what the server answers.
std::string
AnswerToBytes(const HttpServer& aServer, const std::string& aBytes)
{
  Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress{ "127.0.0.1", aServer.Port() } };
  socket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
  socket.shutdownSend();
  std::string answer;
  std::array<char, 512> buffer{};
  for (int count = 1; count > 0;) {
    count = socket.receiveBytes(buffer.data(), buffer.size());
    answer.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
  }
  return answer;
}

TEST_CASE("A client dies while it sends a request")
{
  HttpServer server = StartServer([](HttpExchange& aExchange) {
    aExchange.Answer({ .mStatus = 201, .mBody = "took " + aExchange.Request().mBody });
  });
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n";

  SECTION("after the whole body: it is served")
  {
    CHECK(AnswerToBytes(server, head + "hello").find("took hello") != std::string::npos);
  }
  SECTION("inside the body or before it: it is not")
  {
    for (const std::string& bytes : { head + "he", head }) {
      const std::string answer = AnswerToBytes(server, bytes);
      CHECK(answer.starts_with("HTTP/1.1 400 "));
      CHECK(answer.find("took") == std::string::npos);
    }
  }
}

TEST_CASE("A stream is read line by line")
{
  HttpServer server = StartServer([](HttpExchange& aExchange) {
    aExchange.BeginStream({});
    aExchange.Write("one\ntwo\n");
    if (PathOf(aExchange.Request().mTarget) == "/cut") {
      aExchange.Abort();
    }
  });

  SECTION("to its end")
  {
    auto opened = HttpStream::Open(CallTo(server, { .mTarget = "/whole" }));
    REQUIRE(std::holds_alternative<HttpStream>(opened));
    auto& stream = std::get<HttpStream>(opened);
    CHECK(stream.ReadLine(Now() + kGenerousLimit).value() == "one");
    CHECK(stream.ReadLine(Now() + kGenerousLimit).value() == "two");
    CHECK_FALSE(stream.ReadLine(Now() + kGenerousLimit).ok());
  }
  SECTION("and one that breaks ends with an error, not with a line")
  {
    auto opened = HttpStream::Open(CallTo(server, { .mTarget = "/cut" }));
    REQUIRE(std::holds_alternative<HttpStream>(opened));
    auto& stream = std::get<HttpStream>(opened);
    CHECK(stream.ReadLine(Now() + kGenerousLimit).value() == "one");
    CHECK(stream.ReadLine(Now() + kGenerousLimit).value() == "two");
    CHECK_FALSE(stream.ReadLine(Now() + kGenerousLimit).ok());
  }
}

TEST_CASE("Headers and targets are taken apart")
{
  HttpHeaders headers{ { "Accept", "a" }, { "ACCEPT", "b" } };
  CHECK(HeaderValue(headers, "accept") == "a");
  SetHeader(headers, "Accept", "c");
  CHECK(headers.size() == 1);
  CHECK(IsHopByHop("Transfer-Encoding"));
  CHECK_FALSE(IsHopByHop("Content-Type"));
  CHECK(PathOf("/a/b?c=d") == "/a/b");
  CHECK(QueryValue("/a?key=" + UrlEncode("x y/&=") + "&n=1", "key") == "x y/&=");
}

} // namespace
} // namespace trefoil
