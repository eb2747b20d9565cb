#include "trefoil/wire/peer_link.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

constexpr Milliseconds kGenerousLimit{ 20'000 };

TEST_CASE("An entry host asks another one")
{
  auto server = PeerServer::Start(
    { .mListen = { .mAddress = "127.0.0.1", .mPort = 0 },
      .mHandler = [](const Message& aRequest) -> std::optional<Message> {
        if (!std::holds_alternative<DocumentsWanted>(aRequest)) {
          return std::nullopt;
        }
        return DocumentsOffered{ .mDocuments = {
                                   { .mRevision = 7, .mText = std::string(1'000'000, 'x') } } };
      } });
  REQUIRE(server.ok());
  const Endpoint endpoint{ .mAddress = "127.0.0.1", .mPort = server->Port() };

  SECTION("and receives an answer of a megabyte whole")
  {
    const auto answer = AskPeer(endpoint, DocumentsWanted{}, Now() + kGenerousLimit);
    REQUIRE(answer.ok());
    CHECK(std::get<DocumentsOffered>(*answer).mDocuments.at(0).mText.size() == 1'000'000);
  }
  SECTION("and is told when there is no answer")
  {
    CHECK_FALSE(AskPeer(endpoint, Heartbeat{}, Now() + kGenerousLimit).ok());
  }
  SECTION("and is told when nobody listens")
  {
    server = absl::UnavailableError("stopped");
    CHECK_FALSE(AskPeer(endpoint, DocumentsWanted{}, Now() + kGenerousLimit).ok());
  }
}

} // namespace
} // namespace trefoil
