#include "trefoil/steering/host_entry.h"

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

} // namespace
} // namespace trefoil
