// The stand-in of the users' platform as a program.
#include "standin/platform_store.h"
#include "standin/serve_until_signal.h"

namespace {

constexpr const char* kUsage =
  R"(standin-platform, a stand-in for the store and the cloud API of the users' platform.

Usage:
  standin-platform ADDRESS
)";

} // namespace

int
main(int aCount, char** aValues)
{
  return trefoil::standin::RunService<trefoil::standin::PlatformStore>(kUsage, aCount, aValues);
}
