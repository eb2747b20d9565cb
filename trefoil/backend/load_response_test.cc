#include "trefoil/backend/load_response.h"

#include "trefoil/http_server/http_server.h"

#include <atomic>
#include <catch2/catch.hpp>

namespace trefoil {
namespace {

TEST_CASE("The body of a load response is parsed")
{
  SECTION("a model engine reports its load")
  {
    const auto load = ParseLoadResponse(
      R"({"incarnation":7,"sequence":3,"leaving":true,"running":2,"version":"v1"})");
    REQUIRE(load.has_value());
    CHECK(load->mIncarnation == 7);
    CHECK(load->mLeaving);
    CHECK(load->mRunning == 2);
    CHECK(load->mVersion == VersionId{ "v1" });
  }
  SECTION("a plain service may return any other body, which has no load")
  {
    CHECK_FALSE(ParseLoadResponse("app-1 answers /load\n").has_value());
    CHECK_FALSE(ParseLoadResponse("[]").has_value());
    CHECK_FALSE(ParseLoadResponse(R"({"sequence":3})").has_value());
  }
}

TEST_CASE("The load of a backend server is queried")
{
  std::atomic<int> status = 200;
  auto server =
    HttpServer::Start({ .mListen = { .mAddress = "127.0.0.1", .mPort = 0 },
                        .mHandler =
                          [&status](HttpExchange& aExchange) {
                            aExchange.Respond({ .mStatus = status.load(), .mBody = "dead\n" });
                          },
                        .mMaxConnections = 4 });
  REQUIRE(server.ok());
  const auto queryLoad = [&server] {
    return QueryLoad({ .mAddress = "127.0.0.1", .mPort = server->Port() },
                     Now() + Milliseconds{ 20'000 });
  };

  SECTION("a server without the path /load is alive and reports no load")
  {
    status = 404;
    REQUIRE(queryLoad().ok());
    CHECK_FALSE(queryLoad()->has_value());
  }
  SECTION("a server that responds with status 5xx has failed the poll")
  {
    status = 503;
    CHECK(absl::IsUnavailable(queryLoad().status()));
  }
}

} // namespace
} // namespace trefoil
