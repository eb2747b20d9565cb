#include "tests/fleet_quota/quota_fleet.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

constexpr QuotaFleetOptions kLargeFleet{ .mZones = 4, .mHostsInZone = 21 };
constexpr int kClients = 400;
constexpr int kCutOffHosts = 29;
constexpr int kKilledHosts = 12;
constexpr std::chrono::seconds kCalm{ 20 };
// From the jump to the failures.
constexpr Milliseconds kUntilFailures{ 500 };

// Guards against an account that gets more than its quota before the hosts know of each other's
// requests, the more the larger the jump is (QUOTA).
SCENARIO("an account's demand jumps in a fleet of 84 hosts")
{
  const unsigned seed = GENERATE(range(1U, kSeeds + 1));
  const double factor = GENERATE(12.0, 20.0, 40.0);
  const int clients = GENERATE(0, kClients);
  CAPTURE(seed, factor, clients);
  QuotaFleetOptions options = kLargeFleet;
  options.mClients = clients;
  QuotaFleet fleet{ seed, options };
  GIVEN("an account that asks for its usual share before")
  {
    fleet.Run(kCalm, kUsualDemand);
    fleet.Run(std::chrono::seconds{ 11 }, factor * kUsualDemand);
    THEN("it gets no more than the platform allows in any window")
    {
      CHECK(fleet.LargestWindow() <= kAllowed);
    }
  }
  GIVEN("an account that was idle before")
  {
    constexpr double kIdle = 1e-9;
    fleet.Run(kCalm, kIdle);
    fleet.Run(std::chrono::seconds{ 11 }, factor * kUsualDemand);
    THEN("it gets no more than the platform allows in any window")
    {
      CHECK(fleet.LargestWindow() <= kAllowed);
    }
  }
}

// Guards against hosts that each use the whole level of before, and against hosts that start with a
// new allowance (QUOTA).
SCENARIO("hosts are cut off and killed shortly after an account's demand jumps")
{
  const unsigned seed = GENERATE(range(1U, kSeeds + 1));
  const double factor = GENERATE(12.0, 20.0, 40.0);
  const bool areTogether = GENERATE(false, true);
  CAPTURE(seed, factor, areTogether);
  QuotaFleet fleet{ seed, kLargeFleet };
  fleet.Run(kCalm, kUsualDemand);
  fleet.Run(kUntilFailures, factor * kUsualDemand);
  fleet.CutOff(kCutOffHosts, areTogether);
  fleet.Kill(kKilledHosts, Milliseconds{ 1'500 });
  fleet.Run(std::chrono::seconds{ 11 }, factor * kUsualDemand);
  THEN("it gets no more than the platform allows in any window")
  {
    CHECK(fleet.LargestWindow() <= kAllowed);
  }
}

// Guards against refusals below the limit by chance differences between the hosts.
SCENARIO("an account stays below its quota in a fleet of 84 hosts")
{
  const unsigned seed = GENERATE(range(1U, kSeeds + 1));
  const double demand = GENERATE(0.5, 0.8, 0.95);
  const int clients = GENERATE(0, kClients);
  CAPTURE(seed, demand, clients);
  QuotaFleetOptions options = kLargeFleet;
  options.mClients = clients;
  QuotaFleet fleet{ seed, options };
  fleet.Run(kCalm, demand);
  fleet.ForgetRequests();
  fleet.Run(kCalm, demand);
  THEN("hardly any of its requests is refused, also at the first attempt")
  {
    CHECK(fleet.RefusedShare() <= 0.01);
  }
}

} // namespace
} // namespace trefoil
