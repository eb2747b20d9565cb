#include "trefoil/base/store_revision.h"
#include "trefoil/catalogue/catalogue.h"
#include "trefoil/catalogue/server_registry.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

SCENARIO("requests are matched with routes and accounts")
{
  Catalogue catalogue;
  catalogue.mRoutes = { { .mName = "all", .mHost = "Club.example", .mPathPrefix = "/" },
                        { .mName = "deep", .mHost = "club.example", .mPathPrefix = "/a/b/" },
                        { .mName = "other", .mHost = "other.example", .mPathPrefix = "/a/" } };
  catalogue.mAccounts =
    std::vector<ClientAccount>{ { .mName = ClientAccountId{ "x" }, .mKeys = { "k1", "k2" } } };
  const CatalogueIndex index = MakeCatalogueIndex(catalogue);
  const auto routeName = [&](std::string_view aHost, std::string_view aPath) {
    const Route* route = FindRoute(catalogue, index, aHost, aPath);
    return route == nullptr ? std::string{} : route->mName;
  };
  THEN("the longest prefix of the host wins, and prefixes match whole path segments")
  {
    CHECK(routeName("club.example", "/a/b/c") == "deep");
    CHECK(routeName("CLUB.EXAMPLE:80", "/a/b/") == "deep");
    CHECK(routeName("club.example", "/a/bc") == "all");
    CHECK(routeName("other.example", "/a/x/y/z") == "other");
    CHECK(routeName("other.example", "/b").empty());
    CHECK(routeName("third.example", "/a/").empty());
  }
  THEN("a credential identifies its account")
  {
    REQUIRE(FindAccount(catalogue, index, "k2") != nullptr);
    CHECK(FindAccount(catalogue, index, "k2")->mName.Value() == "x");
    CHECK(FindAccount(catalogue, index, "") == nullptr);
  }
}

SCENARIO("the requests of a route are divided between services")
{
  const Route route{ .mTargets = { { .mService = ServiceId{ "old" }, .mWeight = 90 },
                                   { .mService = ServiceId{ "new" }, .mWeight = 10 } } };
  int newServiceCount = 0;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    newServiceCount += DrawTarget(route, draw)->mService.Value() == "new" ? 1 : 0;
  }
  CHECK(newServiceCount == 100);
  CHECK(DrawTarget({ .mTargets = { { .mWeight = 0 } } }, 7) == nullptr);
}

SCENARIO("updates of servers arrive late or twice")
{
  ServerRegistry registry;
  RegisteredServer server{ .mId = BackendServerId{ "e" }, .mRevision = 5 };
  CHECK(RegisterServer(registry, server));
  WHEN("only the revision increases")
  {
    server.mRevision = 6;
    THEN("the registry reports no change")
    {
      CHECK_FALSE(RegisterServer(registry, server));
    }
  }
  WHEN("the server states once more that it warms up for as long")
  {
    server.mRevision = 6;
    server.mRemainingWarmUp = Milliseconds{ 3'000 };
    REQUIRE(RegisterServer(registry, server));
    server.mRevision = 7;
    THEN("that is a change, since it counts from the arrival")
    {
      CHECK(RegisterServer(registry, server));
      CHECK_FALSE(RegisterServer(registry, server));
    }
  }
  WHEN("the server starts to drain")
  {
    server.mRevision = 7;
    server.mPhase = ServerPhase::kDraining;
    CHECK(RegisterServer(registry, server));
    THEN("an older entry does not make it ready again")
    {
      server.mRevision = 6;
      server.mPhase = ServerPhase::kReady;
      CHECK_FALSE(RegisterServer(registry, server));
      CHECK(registry.mServers.at(server.mId).mPhase == ServerPhase::kDraining);
    }
  }
  WHEN("the server is removed")
  {
    CHECK(DeregisterServer(registry, server.mId, 9));
    THEN("only a newer entry restores it")
    {
      server.mRevision = 8;
      CHECK_FALSE(RegisterServer(registry, server));
      server.mRevision = 10;
      CHECK(RegisterServer(registry, server));
      CHECK_FALSE(DeregisterServer(registry, server.mId, 9));
    }
  }
}

// Guards against: each of many servers that rewrite their entries every 1,200 ms makes all hosts
// publish their servers, relay the entry and log a line.
SCENARIO("a server rewrites its entry")
{
  ServerRegistry registry;
  RegisteredServer server{ .mId = BackendServerId{ "e" },
                           .mRemainingWarmUp = Milliseconds{ 3'000 },
                           .mRevision = 5 };
  RegisterServer(registry, server);
  const RegisteredServer first = server;
  ++server.mRevision;
  WHEN("the rest of its warm-up has become shorter")
  {
    server.mRemainingWarmUp = Milliseconds{ 1'800 };
    THEN("the registry has the new entry and reports no change")
    {
      CHECK_FALSE(RegisterServer(registry, server));
      CHECK(registry.mServers.at(server.mId) == server);
    }
  }
  WHEN("it has become warm")
  {
    server.mRemainingWarmUp = Milliseconds{ 0 };
    THEN("that is a change, but none that operators can act on")
    {
      CHECK(RegisterServer(registry, server));
      CHECK_FALSE(DiffersForOperators(first, server));
    }
  }
  WHEN("it has become cold again")
  {
    server.mRemainingWarmUp = Milliseconds{ 3'001 };
    THEN("that is a change")
    {
      CHECK(RegisterServer(registry, server));
    }
  }
  WHEN("it gets notice that it will be reclaimed")
  {
    server.mRemainingLifetime = Milliseconds{ 5'000 };
    THEN("only the first statement is a change")
    {
      CHECK(RegisterServer(registry, server));
      ++server.mRevision;
      server.mRemainingLifetime = Milliseconds{ 3'800 };
      server.mRemainingWarmUp = Milliseconds{ 1'800 };
      CHECK_FALSE(RegisterServer(registry, server));
    }
  }
  WHEN("it starts to drain while its warm-up runs down")
  {
    server.mRemainingWarmUp = Milliseconds{ 1'800 };
    server.mPhase = ServerPhase::kDraining;
    THEN("that is a change that operators can act on")
    {
      CHECK(RegisterServer(registry, server));
      CHECK(DiffersForOperators(first, server));
    }
  }
}

// Guards against requests to servers that were known to leave or to be gone when the store was
// restored from a copy of before that (DRAIN).
SCENARIO("the store is restored from a copy after servers have left")
{
  const BackendServerId id{ "e" };
  ServerRegistry registry;
  const RegisteredServer ready{ .mId = id,
                                .mIncarnation = 7,
                                .mRevision = MakeStoreRevision(1, 80) };
  RegisterServer(registry, ready);
  RegisteredServer restored = ready;
  restored.mRevision = MakeStoreRevision(2, 80);
  GIVEN("a server that is known to be draining")
  {
    RegisteredServer draining = ready;
    draining.mPhase = ServerPhase::kDraining;
    draining.mRevision = MakeStoreRevision(1, 110);
    RegisterServer(registry, draining);
    THEN("the ready entry of the copy does not make it ready")
    {
      CHECK_FALSE(RegisterServer(registry, restored));
      CHECK(registry.mServers.at(id).mPhase == ServerPhase::kDraining);
    }
    THEN("it is ready once it has started again")
    {
      restored.mIncarnation = 8;
      CHECK(RegisterServer(registry, restored));
      CHECK(registry.mServers.at(id).mPhase == ServerPhase::kReady);
    }
  }
  GIVEN("a server that is known to be gone")
  {
    DeregisterServer(registry, id, MakeStoreRevision(1, 110));
    THEN("the entry of the copy does not bring it back")
    {
      CHECK_FALSE(RegisterServer(registry, restored));
      CHECK(registry.mServers.empty());
    }
    THEN("an entry that was written after the return does")
    {
      restored.mRevision = MakeStoreRevision(2, 105);
      CHECK(RegisterServer(registry, restored));
    }
  }
  GIVEN("a server that has started again since the copy was made")
  {
    RegisteredServer startedAgain = ready;
    startedAgain.mIncarnation = 9;
    startedAgain.mRevision = MakeStoreRevision(1, 110);
    RegisterServer(registry, startedAgain);
    THEN("the entry of its former incarnation does not replace it")
    {
      CHECK_FALSE(RegisterServer(registry, restored));
      CHECK(registry.mServers.at(id).mIncarnation == 9);
    }
  }
  GIVEN("a server that is known to be ready")
  {
    THEN("a change after the return applies, though its number was given out before")
    {
      restored.mPhase = ServerPhase::kDraining;
      restored.mRevision = MakeStoreRevision(2, 70);
      CHECK(RegisterServer(registry, restored));
      CHECK(registry.mServers.at(id).mPhase == ServerPhase::kDraining);
    }
  }
}

} // namespace
} // namespace trefoil
