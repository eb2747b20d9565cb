#include "trefoil/wire/peer_link.h"

#include <catch2/catch.hpp>

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

} // namespace
} // namespace trefoil
