#include "trefoil/catalogue/catalogue.h"
#include "trefoil/catalogue/server_registry.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

SCENARIO("a request is matched with the routes")
{
  Catalogue catalogue;
  catalogue.mRoutes = { { .mName = "all", .mHost = "Club.example", .mPathPrefix = "/" },
                        { .mName = "deep", .mHost = "club.example", .mPathPrefix = "/a/b/" },
                        { .mName = "other", .mHost = "other.example", .mPathPrefix = "/a/" } };
  catalogue.mAccounts = { { .mName = ClientAccountId{ "x" }, .mKeys = { "k1", "k2" } } };
  const RouteIndex index = IndexRoutes(catalogue);
  const auto name = [&](std::string_view aHost, std::string_view aPath) {
    const Route* route = FindRoute(catalogue, index, aHost, aPath);
    return route == nullptr ? std::string{} : route->mName;
  };
  THEN("the longest prefix of its host wins, and a prefix ends with a slash")
  {
    CHECK(name("club.example", "/a/b/c") == "deep");
    CHECK(name("CLUB.EXAMPLE:80", "/a/b/") == "deep");
    CHECK(name("club.example", "/a/bc") == "all");
    CHECK(name("other.example", "/a/x/y/z") == "other");
    CHECK(name("other.example", "/b").empty());
    CHECK(name("third.example", "/a/").empty());
  }
  THEN("a key names its account")
  {
    REQUIRE(FindAccount(catalogue, index, "k2") != nullptr);
    CHECK(FindAccount(catalogue, index, "k2")->mName.Value() == "x");
    CHECK(FindAccount(catalogue, index, "") == nullptr);
  }
}

SCENARIO("a route is split between services")
{
  const Route route{ .mTargets = { { .mService = ServiceId{ "old" }, .mWeight = 90 },
                                   { .mService = ServiceId{ "new" }, .mWeight = 10 } } };
  int fresh = 0;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    fresh += DrawTarget(route, draw)->mService.Value() == "new" ? 1 : 0;
  }
  CHECK(fresh == 100);
  CHECK(DrawTarget({ .mTargets = { { .mWeight = 0 } } }, 7) == nullptr);
}

SCENARIO("news of servers come late or twice")
{
  ServerRegistry registry;
  RegisteredServer server{ .mId = BackendServerId{ "e" }, .mRevision = 5 };
  CHECK(Learn(registry, server));
  WHEN("only the revision rises")
  {
    server.mRevision = 6;
    THEN("nothing has changed")
    {
      CHECK_FALSE(Learn(registry, server));
    }
  }
  WHEN("the server begins to leave")
  {
    server.mRevision = 7;
    server.mPhase = ServerPhase::kDraining;
    CHECK(Learn(registry, server));
    THEN("an older entry does not bring it back")
    {
      server.mRevision = 6;
      server.mPhase = ServerPhase::kReady;
      CHECK_FALSE(Learn(registry, server));
      CHECK(registry.mServers.at(server.mId).mPhase == ServerPhase::kDraining);
    }
  }
  WHEN("it is removed")
  {
    CHECK(Forget(registry, server.mId, 9));
    THEN("only a later entry brings it back")
    {
      server.mRevision = 8;
      CHECK_FALSE(Learn(registry, server));
      server.mRevision = 10;
      CHECK(Learn(registry, server));
      CHECK_FALSE(Forget(registry, server.mId, 9));
    }
  }
}

} // namespace
} // namespace trefoil
