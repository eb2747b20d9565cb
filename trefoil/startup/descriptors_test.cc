#include "trefoil/startup/descriptors.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

// Guards against a host that accepts clients until it cannot open a connection to a server.
SCENARIO("descriptors are kept for what is no connection")
{
  CHECK(DescriptorsLeft({ .mMax = 4'100, .mReserved = 260 }) == 3'840);
  THEN("a process with too few of them serves one client at least")
  {
    CHECK(DescriptorsLeft({ .mMax = 50, .mReserved = 60 }) == 2);
  }
  THEN("the limit of the system is known")
  {
    CHECK(DescriptorLimit() > 0);
  }
}

} // namespace
} // namespace trefoil
