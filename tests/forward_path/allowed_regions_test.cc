// Sends requests whose account is restricted to regions through a traffic thread.
#include "tests/forward_path/scripted_server.h"
#include "tests/forward_path/test_gateway.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const RegionId kNorth{ "north" };
const RegionId kSouth{ "south" };
const AvailabilityZoneId kZoneA{ "a" };
const AvailabilityZoneId kZoneB{ "b" };

// Guards against requests that leave the regions that their route or account allows.
SCENARIO("an account is restricted to a region")
{
  const ScriptedServer inNorth{ AnswerSuccess };
  const ScriptedServer inSouth{ AnswerSuccess };
  const ScriptedServer elsewhere{ AnswerSuccess };
  Gateway gateway{ { .mRegions = { .mOwn = kSouth,
                                   .mZones = { { kZoneA, kNorth }, { kZoneB, kSouth } } } } };
  gateway.AddServerIn("b", "e2", inSouth);
  gateway.AddServerIn("x", "e3", elsewhere);
  const auto askAll = [&gateway] {
    constexpr int kRequests = 20;
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
      served += gateway.Ask("read", fmt::format("id-{}", i)).mStatus == 200 ? 1 : 0;
    }
    return served == kRequests;
  };
  gateway.mCatalogue.mAccounts->front().mAllowedRegions = { kNorth };
  WHEN("no server is in the region")
  {
    gateway.Publish();
    const ReceivedAnswer answer = gateway.Ask("read", "id");
    THEN("its requests are refused and reach no server")
    {
      CHECK(answer.mStatus == 503);
      CHECK(answer.mBody == "no_server\n");
      CHECK(inSouth.ReceivedRequests().empty());
      CHECK(elsewhere.ReceivedRequests().empty());
    }
  }
  WHEN("a server is in the region")
  {
    gateway.AddServerIn("a", "e1", inNorth);
    gateway.Publish();
    THEN("it gets all its requests")
    {
      CHECK(askAll());
      CHECK(inSouth.ReceivedRequests().empty());
      CHECK(elsewhere.ReceivedRequests().empty());
    }
    AND_WHEN("the server is reached only by way of a host outside the region")
    {
      Poco::Net::ServerSocket carrier{ Poco::Net::SocketAddress{ "127.0.0.1", 0 } };
      gateway.mServers = {};
      gateway.AddServerAt("e1", FreeEndpoint());
      gateway.mCarriers = { { .mHost = HostId{ "host-2" },
                              .mEndpoint = { .mAddress = "127.0.0.1",
                                             .mPort = carrier.address().port() },
                              .mZone = AvailabilityZoneId{ "x" } } };
      gateway.Publish();
      const ReceivedAnswer answer = gateway.Ask("write", "id");
      THEN("its requests are refused")
      {
        CHECK(answer.mStatus == 503);
        CHECK(answer.mBody == "server_unreachable\n");
      }
    }
  }
}

} // namespace
} // namespace trefoil
