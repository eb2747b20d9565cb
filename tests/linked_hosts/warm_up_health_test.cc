// Lets a host learn from a server's answer about its health that the server warms up.
#include "tests/linked_hosts/linked_site.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

// Guards against a cold server that crashes, because a host learns that it has restarted by asking
// for its health, before its entry arrives, and does not limit its requests (COLD).
SCENARIO("a server that breaks off requests states in its health answer that it is cold")
{
  constexpr int kCrashes = 2;
  std::atomic<int> requests{ 0 };
  std::atomic<int> healthRequests{ 0 };
  std::atomic<int> cold{ -1 };
  Site site{ 2, 2, [&](int aServer, const ReceivedRequest& aRequest) -> Reply {
              if (aRequest.mRequest.mTarget == "/health") {
                ++healthRequests;
                cold = aServer;
                return { .mBytes = MakeAnswer(aRequest, 200, "Cold-Milliseconds: 6000\r\n") };
              }
              return ++requests <= kCrashes ? Reply{ .mClose = true } : AnswerSuccess(aRequest);
            } };
  site.AddHealthChecks();
  for (const int host : { 0, 1 }) {
    site.Host(host).mCatalogue.mServices[ServiceId{ "s" }].mWarmUpPerSecond = 2;
    site.Host(host).mHostList = { HostId{ "host-0" }, HostId{ "host-1" } };
    site.Host(host).Publish();
  }
  // The repeat breaks off, too, so that the host asks whether it has lost its links.
  site.Ask(0, "read", 1);
  REQUIRE(BecomesTrue([&healthRequests] { return healthRequests > 0; }));
  WHEN("clients go on sending requests to the host that has asked")
  {
    // The answer arrives, and the server is no longer avoided because of the break.
    std::this_thread::sleep_for(Milliseconds{ 700 });
    const int served = site.Ask(0, "write", 60);
    THEN("all are served, and few of them by the cold server")
    {
      CHECK(served == 60);
      CHECK(site.ReceivedAt(cold, "write") <= 1.5 * 2 + 5);
    }
    THEN("it is not asked for its health again without a permit")
    {
      CHECK(healthRequests == 1);
    }
  }
}

} // namespace
} // namespace trefoil
