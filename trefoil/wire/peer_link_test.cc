#include "trefoil/wire/peer_link.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>
#include <chrono>
#include <ctime>
#include <memory>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace trefoil {
namespace {

constexpr Milliseconds kTestTimeout{ 20'000 };

TEST_CASE("An entry host sends a request to another host")
{
  auto server = PeerServer::Start(
    { .mListen = { .mAddress = "127.0.0.1", .mPort = 0 },
      .mHandler = [](const Message& aRequest) -> std::optional<Message> {
        if (!std::holds_alternative<DocumentsRequest>(aRequest)) {
          return std::nullopt;
        }
        return DocumentsReply{ .mDocuments = {
                                 { .mRevision = 7, .mText = std::string(1'000'000, 'x') } } };
      } });
  REQUIRE(server.ok());
  const Endpoint endpoint{ .mAddress = "127.0.0.1", .mPort = server->Port() };

  SECTION("and receives a complete answer of one megabyte")
  {
    const auto answer = CallPeer(endpoint, DocumentsRequest{}, Now() + kTestTimeout);
    REQUIRE(answer.ok());
    CHECK(std::get<DocumentsReply>(*answer).mDocuments.at(0).mText.size() == 1'000'000);
  }
  SECTION("and gets an error if the peer closes the connection without an answer")
  {
    CHECK_FALSE(CallPeer(endpoint, Heartbeat{}, Now() + kTestTimeout).ok());
  }
  SECTION("and gets an error if the peer does not listen")
  {
    server = absl::UnavailableError("stopped");
    CHECK_FALSE(CallPeer(endpoint, DocumentsRequest{}, Now() + kTestTimeout).ok());
  }
}

// Guards against connections that send large frames, or never end them, and take all memory.
SCENARIO("requests of other hosts share a memory budget")
{
  auto server =
    PeerServer::Start({ .mListen = { .mAddress = "127.0.0.1", .mPort = 0 },
                        .mHandler = [](const Message& /*aRequest*/) -> std::optional<Message> {
                          return DocumentsReply{};
                        },
                        .mMaxReceivedBytes = std::size_t{ 256 } * 1024 });
  REQUIRE(server.ok());
  GIVEN("connections whose frames exceed it")
  {
    // The length of the frame, 16 MB in little-endian order.
    const std::string frame = std::string{ "\x00\x00\x00\x01", 4 } + std::string(500'000, 'x');
    THEN("they are closed before the frame has ended, and an ordinary request is answered")
    {
      for (int i = 0; i < 3; ++i) {
        Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress{ "127.0.0.1", server->Port() } };
        socket.setReceiveTimeout(Poco::Timespan{ 20, 0 });
        char byte = 0;
        bool hasEnded = false;
        try {
          socket.sendBytes(frame.data(), static_cast<int>(frame.size()));
          hasEnded = socket.receiveBytes(&byte, 1) <= 0;
        } catch (const Poco::TimeoutException&) {
          hasEnded = false;
        } catch (const Poco::Exception&) {
          // The connection is reset, since the server has not read all.
          hasEnded = true;
        }
        CHECK(hasEnded);
      }
      CHECK(CallPeer({ .mAddress = "127.0.0.1", .mPort = server->Port() },
                     DocumentsRequest{},
                     Now() + kTestTimeout)
              .ok());
    }
  }
}

// Returns the processor time of this process.
std::chrono::nanoseconds
ProcessorTime()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::seconds{ time.tv_sec } + std::chrono::nanoseconds{ time.tv_nsec };
}

// Takes all descriptors for the lifetime of the guard.
struct NoDescriptors
{
  NoDescriptors()
  {
    getrlimit(RLIMIT_NOFILE, &mPrevious);
    const int next = dup(0);
    rlimit lowered = mPrevious;
    lowered.rlim_cur = static_cast<rlim_t>(next) + kSpare;
    setrlimit(RLIMIT_NOFILE, &lowered);
    mTaken.push_back(next);
    for (int taken = dup(0); taken >= 0; taken = dup(0)) {
      mTaken.push_back(taken);
    }
  }
  ~NoDescriptors()
  {
    for (const int taken : mTaken) {
      close(taken);
    }
    setrlimit(RLIMIT_NOFILE, &mPrevious);
  }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

  static constexpr rlim_t kSpare = 8;
  rlimit mPrevious{};
  std::vector<int> mTaken;
};

// Guards against a thread that spins while connections of other hosts wait that it cannot accept.
SCENARIO("a host has no descriptor for the connection of another host")
{
  auto server =
    PeerServer::Start({ .mListen = { .mAddress = "127.0.0.1", .mPort = 0 },
                        .mHandler = [](const Message& /*aRequest*/) { return DocumentsReply{}; } });
  REQUIRE(server.ok());
  const Endpoint endpoint{ .mAddress = "127.0.0.1", .mPort = server->Port() };
  // Takes its descriptor before none is left.
  Poco::Net::StreamSocket waiting{ Poco::Net::AddressFamily::IPv4 };
  GIVEN("no descriptor, and a connection that waits")
  {
    auto noDescriptors = std::make_unique<NoDescriptors>();
    waiting.connect(Poco::Net::SocketAddress{ endpoint.mAddress, endpoint.mPort });
    WHEN("it waits for a second")
    {
      const auto before = ProcessorTime();
      std::this_thread::sleep_for(std::chrono::seconds{ 1 });
      const auto spent = ProcessorTime() - before;
      THEN("no thread spins meanwhile")
      {
        CHECK(spent < std::chrono::milliseconds{ 300 });
      }
    }
    WHEN("there are descriptors again")
    {
      noDescriptors.reset();
      THEN("requests are answered")
      {
        CHECK(CallPeer(endpoint, DocumentsRequest{}, Now() + kTestTimeout).ok());
      }
    }
  }
}

} // namespace
} // namespace trefoil
