#include "trefoil/http_server/connection_use.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

// Guards against a process that accepts clients until no descriptor is left for their requests.
SCENARIO("connections to servers are kept for the requests of clients")
{
  const ConnectionLimits limits{ .mMax = 10 };
  GIVEN("clients that are about to send their first request")
  {
    ConnectionUse use;
    while (MayAccept(limits, use)) {
      ++use.mClients;
      ++use.mNewClients;
    }
    CHECK(use.mClients == 5);
    WHEN("all of them send it")
    {
      while (use.mNewClients > 0) {
        --use.mNewClients;
        CHECK(MayBeginRequest(limits, use));
        ++use.mRequests;
      }
      AND_WHEN("two have been answered and stay connected")
      {
        use.mRequests -= 2;
        use.mServers = 5;
        THEN("idle connections to servers must be closed before a further client is accepted")
        {
          CHECK_FALSE(MayAccept(limits, use));
          use.mServers = 3;
          CHECK(MayAccept(limits, use));
        }
      }
    }
  }
  GIVEN("idle clients that leave no connection")
  {
    const ConnectionUse use{ .mClients = 10 };
    THEN("a request of one of them may not begin")
    {
      CHECK_FALSE(MayBeginRequest(limits, use));
    }
  }
  GIVEN("connections that are carried for other hosts")
  {
    const ConnectionUse use{ .mClients = 2, .mOthers = 7 };
    THEN("they leave less for clients")
    {
      CHECK_FALSE(MayAccept(limits, use));
    }
    THEN("they are limited also without a client")
    {
      CHECK_FALSE(MayAccept(limits, { .mOthers = 9 }));
    }
  }
  GIVEN("a limit that is too low for any request")
  {
    THEN("one client is served nevertheless")
    {
      CHECK(MayAccept({ .mMax = 1 }, {}));
      CHECK_FALSE(MayAccept({ .mMax = 1 }, { .mClients = 1, .mNewClients = 1 }));
      CHECK(MayBeginRequest({ .mMax = 1 }, { .mClients = 1 }));
    }
  }
  GIVEN("requests that take no connection")
  {
    const ConnectionLimits answeredHere{ .mMax = 10, .mPerRequest = 0 };
    THEN("all connections are for clients")
    {
      CHECK(MayAccept(answeredHere, { .mClients = 9, .mNewClients = 9 }));
      CHECK_FALSE(MayAccept(answeredHere, { .mClients = 10 }));
    }
  }
}

} // namespace
} // namespace trefoil
