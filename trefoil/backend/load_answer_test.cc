#include "trefoil/backend/load_answer.h"

#include "trefoil/http/server.h"

#include <atomic>
#include <catch2/catch.hpp>

namespace trefoil {
namespace {

TEST_CASE("A backend server tells its load")
{
  SECTION("as a model engine does")
  {
    const auto load = ParseLoadAnswer(
      R"({"incarnation":7,"sequence":3,"leaving":true,"running":2,"version":"v1"})");
    REQUIRE(load.has_value());
    CHECK(load->mIncarnation == 7);
    CHECK(load->mLeaving);
    CHECK(load->mRunning == 2);
    CHECK(load->mVersion == VersionId{ "v1" });
  }
  SECTION("or answers something else, as a plain service may")
  {
    CHECK_FALSE(ParseLoadAnswer("app-1 answers /load\n").has_value());
    CHECK_FALSE(ParseLoadAnswer("[]").has_value());
    CHECK_FALSE(ParseLoadAnswer(R"({"sequence":3})").has_value());
  }
}

TEST_CASE("A backend server is asked for its load")
{
  std::atomic<int> status = 200;
  auto server =
    HttpServer::Start({ .mListen = { .mAddress = "127.0.0.1", .mPort = 0 },
                        .mHandler =
                          [&status](HttpExchange& aExchange) {
                            aExchange.Answer({ .mStatus = status.load(), .mBody = "dead\n" });
                          },
                        .mMaxConnections = 4 });
  REQUIRE(server.ok());
  const auto ask = [&server] {
    return AskLoad({ .mAddress = "127.0.0.1", .mPort = server->Port() },
                   Now() + Milliseconds{ 20'000 });
  };

  SECTION("one that does not know the question is up and tells nothing")
  {
    status = 404;
    REQUIRE(ask().ok());
    CHECK_FALSE(ask()->has_value());
  }
  SECTION("one that answers with an error of its own has failed the poll")
  {
    status = 503;
    CHECK(absl::IsUnavailable(ask().status()));
  }
}

} // namespace
} // namespace trefoil
