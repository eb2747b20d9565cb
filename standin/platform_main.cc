// standin-platform, the program that runs a stand-in for the store and the cloud API of the users'
// platform.
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
main(int aArgumentCount, char** aArguments)
{
  return trefoil::standin::RunService<trefoil::standin::PlatformStore>(
    kUsage, aArgumentCount, aArguments);
}
