#include "standin/fault_proxy.h"

#include "trefoil/base/instant.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <catch2/catch.hpp>
#include <string>

namespace trefoil::standin {
namespace {

// A generous limit for what arrives at once, and a time in which what is cut would have arrived.
const Poco::Timespan kSoon{ 10, 0 };
const Poco::Timespan kAWhile{ 0, 300'000 };

std::string
ReadFrom(Poco::Net::StreamSocket& aSocket, const Poco::Timespan& aLimit)
{
  if (!aSocket.poll(aLimit, Poco::Net::Socket::SELECT_READ)) {
    return "nothing";
  }
  std::array<char, 64> buffer{};
  try {
    const int count = aSocket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    return count > 0 ? std::string{ buffer.data(), static_cast<std::size_t>(count) } : "end";
  } catch (const Poco::Exception&) {
    return "reset";
  }
}

SCENARIO("a connection goes through the proxy")
{
  Poco::Net::ServerSocket server{ Poco::Net::SocketAddress{ "127.0.0.1", 0 } };
  const auto proxy =
    FaultProxy::Start({ .mAddress = "127.0.0.1", .mPort = 0 },
                      { .mAddress = "127.0.0.1", .mPort = server.address().port() });
  REQUIRE(proxy.ok());
  const Endpoint where = (*proxy)->Where();
  Poco::Net::StreamSocket caller{ Poco::Net::SocketAddress{ where.mAddress, where.mPort } };
  REQUIRE(server.poll(kSoon, Poco::Net::Socket::SELECT_READ));
  Poco::Net::StreamSocket target = server.acceptConnection();
  THEN("what is sent arrives, both ways")
  {
    caller.sendBytes("ask", 3);
    CHECK(ReadFrom(target, kSoon) == "ask");
    target.sendBytes("answer", 6);
    CHECK(ReadFrom(caller, kSoon) == "answer");
  }
  THEN("the end of one side arrives at the other")
  {
    caller.shutdownSend();
    CHECK(ReadFrom(target, kSoon) == "end");
    target.sendBytes("answer", 6);
    CHECK(ReadFrom(caller, kSoon) == "answer");
  }
  WHEN("the way to the target is cut")
  {
    (*proxy)->Set(LinkFault::kCutToTarget);
    caller.sendBytes("ask", 3);
    THEN("only the other way works, and the connection stays open")
    {
      CHECK(ReadFrom(target, kAWhile) == "nothing");
      target.sendBytes("answer", 6);
      CHECK(ReadFrom(caller, kSoon) == "answer");
    }
  }
  WHEN("it is silenced")
  {
    (*proxy)->Set(LinkFault::kSilence);
    THEN("nothing arrives until the fault ends")
    {
      target.sendBytes("lost", 4);
      CHECK(ReadFrom(caller, kAWhile) == "nothing");
      (*proxy)->Set(LinkFault::kNone);
      target.sendBytes("answer", 6);
      CHECK(ReadFrom(caller, kSoon) == "answer");
    }
  }
  WHEN("connections are reset")
  {
    (*proxy)->Set(LinkFault::kReset);
    THEN("both ends see it")
    {
      CHECK(ReadFrom(caller, kSoon) == "reset");
      CHECK(ReadFrom(target, kSoon) == "reset");
    }
  }
  WHEN("it is delayed")
  {
    (*proxy)->Set(LinkFault::kDelay);
    const Instant sentAt = Now();
    caller.sendBytes("ask", 3);
    THEN("what is sent arrives late")
    {
      CHECK(ReadFrom(target, kSoon) == "ask");
      CHECK(Now() - sentAt >= Milliseconds{ 200 });
    }
  }
}

} // namespace
} // namespace trefoil::standin
