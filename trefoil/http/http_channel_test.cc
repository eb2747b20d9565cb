#include "trefoil/http/http_channel.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <string_view>
#include <thread>

namespace trefoil {
namespace {

constexpr Milliseconds kTestTimeout{ 20'000 };
constexpr Milliseconds kShortTimeout{ 50 };

// Reads until the connection ends. Returns whether it was reset.
bool
EndsWithReset(Poco::Net::StreamSocket& aSocket)
{
  std::array<char, 4096> buffer{};
  aSocket.setReceiveTimeout(Poco::Timespan{ std::chrono::microseconds{ kTestTimeout }.count() });
  try {
    while (aSocket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) > 0) {
    }
    return false;
  } catch (const Poco::Net::ConnectionResetException&) {
    return true;
  }
}

// Guards against a call that arrives when a cut has healed, long after its sender has lost the
// right to it (ONE). The kernel goes on sending the bytes of a connection that is merely closed.
SCENARIO("a server does not answer a call before its deadline")
{
  Poco::Net::ServerSocket listener{ Poco::Net::SocketAddress{ "127.0.0.1", 0 } };
  EventLoop loop;
  std::optional<HttpReplyKind> reply;
  HttpChannel channel{ loop,
                       { .mAddress = "127.0.0.1", .mPort = listener.address().port() },
                       StreamOptions{} };
  channel.Send({ .mMethod = "POST", .mTarget = "/scale", .mBody = "{}" },
               SuspendAwareNow() + kShortTimeout,
               [&](const HttpReply& aReply) {
                 reply = aReply.mKind;
                 loop.Stop();
               });
  std::thread thread{ [&loop] { loop.Run(); } };
  Poco::Net::StreamSocket socket = listener.acceptConnection();
  thread.join();
  THEN("the caller learns that it may have run, and the connection is reset")
  {
    CHECK(reply == HttpReplyKind::kLost);
    CHECK(EndsWithReset(socket));
  }
}

// Guards against a broken answer of the store or of the cloud API that is taken for a sound one.
SCENARIO("a server answers a call with a status that HTTP does not know")
{
  Poco::Net::ServerSocket listener{ Poco::Net::SocketAddress{ "127.0.0.1", 0 } };
  EventLoop loop;
  std::optional<HttpReplyKind> reply;
  HttpChannel channel{ loop,
                       { .mAddress = "127.0.0.1", .mPort = listener.address().port() },
                       StreamOptions{} };
  channel.Send({ .mMethod = "POST", .mTarget = "/kv-range", .mBody = "{}" },
               SuspendAwareNow() + kTestTimeout,
               [&](const HttpReply& aReply) {
                 reply = aReply.mKind;
                 loop.Stop();
               });
  std::thread thread{ [&loop] { loop.Run(); } };
  Poco::Net::StreamSocket socket = listener.acceptConnection();
  const std::string_view answer = "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}";
  socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
  thread.join();
  THEN("the caller learns that it may have run")
  {
    CHECK(reply == HttpReplyKind::kLost);
  }
}

} // namespace
} // namespace trefoil
