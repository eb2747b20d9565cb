// The stand-in key-value service as a program.
#include "standin/serve_until_signal.h"
#include "standin/store.h"

#include <docopt/docopt.h>

namespace {

constexpr const char* kUsage = R"(standin-store, a stand-in for the platform's key-value service.

Usage:
  standin-store ADDRESS
)";

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments = docopt::docopt(kUsage, { aValues + 1, aValues + aCount });
  trefoil::standin::Store store;
  return trefoil::standin::ServeUntilSignal(
    arguments["ADDRESS"].asString(),
    [&store](trefoil::HttpExchange& aExchange) { store.Serve(aExchange); });
}
