#include "trefoil/steering/host_entry.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace trefoil {
namespace {

SCENARIO("hosts register under their zone")
{
  const HostEntryName name = ParseHostKey(HostKey(AvailabilityZoneId{ "a" }, HostId{ "host-1" }));
  CHECK(name.mHost == HostId{ "host-1" });
  CHECK(name.mZone == AvailabilityZoneId{ "a" });
  WHEN("a host runs a version that does not state its zone")
  {
    THEN("its name is read, and its zone is unknown")
    {
      const HostEntryName earlier = ParseHostKey("hosts/host-1");
      CHECK(earlier.mHost == HostId{ "host-1" });
      CHECK(earlier.mZone.Empty());
    }
  }
}

SCENARIO("the list of hosts could not be read")
{
  constexpr std::uint64_t kRandomValues = 5'000;
  THEN("it is read again after 0.2 s to 2 s, later after each failure, and not at the same time")
  {
    Milliseconds before{ 0 };
    for (int failures = 1; failures < 40; ++failures) {
      Milliseconds shortest = Milliseconds::max();
      Milliseconds longest{ 0 };
      for (std::uint64_t random = 0; random < kRandomValues; ++random) {
        const Milliseconds delay = HostListRetryDelay(failures, random);
        shortest = std::min(shortest, delay);
        longest = std::max(longest, delay);
      }
      CHECK(shortest >= std::max(before, Milliseconds{ 200 }));
      CHECK(longest <= Milliseconds{ 2'000 });
      CHECK(longest == 2 * shortest);
      before = shortest;
    }
  }
}

} // namespace
} // namespace trefoil
