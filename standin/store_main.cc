// standin-store, the program that runs a stand-in for the key-value service.
#include "standin/serve_until_signal.h"
#include "standin/store.h"

namespace {

constexpr const char* kUsage = R"(standin-store, a stand-in for the platform's key-value service.

Usage:
  standin-store ADDRESS
)";

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  return trefoil::standin::RunService<trefoil::standin::Store>(kUsage, aArgumentCount, aArguments);
}
