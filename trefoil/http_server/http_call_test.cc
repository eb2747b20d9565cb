#include "trefoil/http/client.h"
#include "trefoil/http_server/http_server.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace trefoil {
namespace {

constexpr Milliseconds kTestTimeout{ 20'000 };
constexpr Milliseconds kShortTimeout{ 50 };

// Starts a server on a free port.
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
MakeCall(const HttpServer& aServer, HttpRequest aRequest, Milliseconds aTimeout = kTestTimeout)
{
  return { .mServer = { .mAddress = "127.0.0.1", .mPort = aServer.Port() },
           .mRequest = std::move(aRequest),
           .mDeadline = Now() + aTimeout };
}

// Accepts one connection, sends the pieces one after the other, and closes it.
class PiecewiseServer
{
public:
  explicit PiecewiseServer(std::vector<std::string> aPieces)
    : mListener(Poco::Net::SocketAddress{ "127.0.0.1", 0 })
    , mThread([this, pieces = std::move(aPieces)] { Serve(pieces); })
  {
  }
  ~PiecewiseServer() { mThread.join(); }
  PiecewiseServer(const PiecewiseServer&) = delete;
  PiecewiseServer& operator=(const PiecewiseServer&) = delete;

  HttpCall MakeCall() const
  {
    return { .mServer = { .mAddress = "127.0.0.1", .mPort = mListener.address().port() },
             .mRequest = { .mMethod = "GET", .mTarget = "/" },
             .mDeadline = Now() + kTestTimeout };
  }

private:
  void Serve(const std::vector<std::string>& aPieces)
  {
    Poco::Net::StreamSocket socket = mListener.acceptConnection();
    socket.setNoDelay(true);
    std::array<char, 4096> buffer{};
    socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    for (const std::string& piece : aPieces) {
      // Long enough for the client to receive each piece alone.
      std::this_thread::sleep_for(Milliseconds{ 20 });
      socket.sendBytes(piece.data(), static_cast<int>(piece.size()));
    }
  }

  Poco::Net::ServerSocket mListener;
  std::thread mThread;
};

// Guards against an answer whose head was cut off and that looks complete, with an empty body.
TEST_CASE("A server closes the connection within the head of its answer")
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 2\r\n\r\n";
  const std::size_t length = GENERATE_COPY(range(std::size_t{ 0 }, head.size()));
  const PiecewiseServer server{ { head.substr(0, length) } };
  const HttpResult result = Call(server.MakeCall());
  INFO("after " << length << " bytes");
  REQUIRE(std::holds_alternative<Failure>(result));
  CHECK(std::get<Failure>(result).mVerdict == Verdict::kMayHaveRun);
}

// Guards against an answer of a broken server that trefoild passes on as a sound one.
TEST_CASE("A server answers with a status that HTTP does not know")
{
  const char* status = GENERATE("099", "600", "999");
  CAPTURE(status);
  const PiecewiseServer server{ { fmt::format("HTTP/1.1 {} X\r\nContent-Length: 0\r\n\r\n",
                                              status) } };
  const HttpResult result = Call(server.MakeCall());
  REQUIRE(std::holds_alternative<Failure>(result));
  CHECK(std::get<Failure>(result).mVerdict == Verdict::kMayHaveRun);
}

// Guards against bytes of a body that are lost if they arrive alone.
TEST_CASE("The bytes of an answer arrive one by one")
{
  std::vector<std::string> pieces;
  SECTION("of a body with a length")
  {
    pieces = { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "a", "b", "\n" };
  }
  SECTION("of a body in chunks")
  {
    pieces = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
               "1\r\na\r\n",
               "2\r\nb",
               "\n\r\n",
               "0\r\n\r\n" };
  }
  SECTION("of a body that ends with its connection")
  {
    pieces = { "HTTP/1.1 200 OK\r\n\r\n", "a", "b", "\n" };
  }
  const PiecewiseServer server{ pieces };
  const HttpResult result = Call(server.MakeCall());
  REQUIRE(std::holds_alternative<HttpResponse>(result));
  CHECK(std::get<HttpResponse>(result).mBody == "ab\n");
}

TEST_CASE("A stream ends with its connection")
{
  const auto read = [](const std::string& aBody) {
    const PiecewiseServer server{ { "HTTP/1.1 200 OK\r\n\r\n" + aBody } };
    auto opened = HttpStream::Open(server.MakeCall());
    REQUIRE(std::holds_alternative<HttpStream>(opened));
    auto& stream = std::get<HttpStream>(opened);
    CHECK(stream.ReadLine(Now() + kTestTimeout).value() == "one");
    return stream.ReadLine(Now() + kTestTimeout).status();
  };
  SECTION("after a line: the body has ended")
  {
    CHECK(absl::IsOutOfRange(read("one\r\n")));
  }
  SECTION("within a line: it was cut off")
  {
    CHECK(absl::IsUnavailable(read("one\r\ntw")));
  }
}

TEST_CASE("A failed call reports whether the request may have run")
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
      aExchange.Respond({ .mStatus = 201, .mBody = aExchange.Request().mBody });
    }
  });

  SECTION("a server that responds: the call returns the response")
  {
    const auto result =
      Call(MakeCall(server, { .mMethod = "POST", .mTarget = "/echo", .mBody = "hello" }));
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).mStatus == 201);
    CHECK(std::get<HttpResponse>(result).mBody == "hello");
  }
  SECTION("a server that aborts the connection: the request may have run")
  {
    const auto result =
      Call(MakeCall(server, { .mMethod = "POST", .mTarget = "/die", .mBody = "hello" }));
    REQUIRE(std::holds_alternative<Failure>(result));
    CHECK(std::get<Failure>(result).mVerdict == Verdict::kMayHaveRun);
  }
  SECTION("a server that never ends its response: the request may have run")
  {
    const auto result = Call(MakeCall(server, { .mTarget = "/freeze" }, kShortTimeout));
    REQUIRE(std::holds_alternative<Failure>(result));
    CHECK(std::get<Failure>(result).mVerdict == Verdict::kMayHaveRun);
    CHECK(absl::IsDeadlineExceeded(std::get<Failure>(result).mStatus));
  }
  SECTION("a body over the size limit: the server refuses it")
  {
    const auto result = Call(
      MakeCall(server, { .mMethod = "POST", .mTarget = "/echo", .mBody = std::string(2000, 'x') }));
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).mStatus == 413);
  }
  SECTION("a port without a listener: the request has not run")
  {
    HttpCall call = MakeCall(server, {});
    {
      const HttpServer stoppedServer = StartServer([](HttpExchange&) {});
      call.mServer.mPort = stoppedServer.Port();
    }
    const auto result = Call(call);
    REQUIRE(std::holds_alternative<Failure>(result));
    CHECK(std::get<Failure>(result).mVerdict == Verdict::kNotRun);
  }
}

// Sends raw bytes, shuts down the sending side as if the client had crashed, and returns the
// response.
std::string
ResponseToBytes(const HttpServer& aServer, const std::string& aBytes)
{
  Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress{ "127.0.0.1", aServer.Port() } };
  socket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
  socket.shutdownSend();
  std::string response;
  std::array<char, 512> buffer{};
  for (int count = 1; count > 0;) {
    count = socket.receiveBytes(buffer.data(), buffer.size());
    response.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
  }
  return response;
}

TEST_CASE("A client crashes while it sends a request")
{
  HttpServer server = StartServer([](HttpExchange& aExchange) {
    aExchange.Respond({ .mStatus = 201, .mBody = "took " + aExchange.Request().mBody });
  });
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n";

  SECTION("after the whole body: the request is served")
  {
    CHECK(ResponseToBytes(server, head + "hello").find("took hello") != std::string::npos);
  }
  SECTION("within the body or before it: the request is not served")
  {
    for (const std::string& bytes : { head + "he", head }) {
      const std::string response = ResponseToBytes(server, bytes);
      CHECK(response.starts_with("HTTP/1.1 400 "));
      CHECK(response.find("took") == std::string::npos);
    }
  }
}

TEST_CASE("A streamed response is read line by line")
{
  HttpServer server = StartServer([](HttpExchange& aExchange) {
    aExchange.BeginStream({});
    aExchange.Write("one\ntwo\n");
    if (PathOf(aExchange.Request().mTarget) == "/cut") {
      aExchange.Abort();
    }
  });

  SECTION("up to its end")
  {
    auto opened = HttpStream::Open(MakeCall(server, { .mTarget = "/whole" }));
    REQUIRE(std::holds_alternative<HttpStream>(opened));
    auto& stream = std::get<HttpStream>(opened);
    CHECK(stream.ReadLine(Now() + kTestTimeout).value() == "one");
    CHECK(stream.ReadLine(Now() + kTestTimeout).value() == "two");
    CHECK_FALSE(stream.ReadLine(Now() + kTestTimeout).ok());
  }
  SECTION("and an aborted one ends with an error instead of a line")
  {
    auto opened = HttpStream::Open(MakeCall(server, { .mTarget = "/cut" }));
    REQUIRE(std::holds_alternative<HttpStream>(opened));
    auto& stream = std::get<HttpStream>(opened);
    CHECK(stream.ReadLine(Now() + kTestTimeout).value() == "one");
    CHECK(stream.ReadLine(Now() + kTestTimeout).value() == "two");
    CHECK_FALSE(stream.ReadLine(Now() + kTestTimeout).ok());
  }
}

TEST_CASE("Headers and targets are parsed")
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
