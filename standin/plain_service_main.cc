// The stand-in plain service as a program.
#include "standin/plain_service.h"
#include "standin/serve_until_signal.h"

#include <docopt/docopt.h>

namespace {

constexpr const char* kUsage = R"(standin-plain-service, a stand-in for an application engine.

Usage:
  standin-plain-service NAME ADDRESS
)";

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments = docopt::docopt(kUsage, { aValues + 1, aValues + aCount });
  trefoil::standin::PlainService service{ arguments["NAME"].asString() };
  return trefoil::standin::ServeUntilSignal(
    arguments["ADDRESS"].asString(),
    [&service](trefoil::HttpExchange& aExchange) { service.Serve(aExchange); });
}
