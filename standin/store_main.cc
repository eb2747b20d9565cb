// The stand-in key-value service as a program.
#include "standin/serve_until_signal.h"
#include "standin/store.h"
#include "trefoil/command_line/command_line.h"

namespace {

constexpr const char* kUsage = R"(standin-store, a stand-in for the platform's key-value service.

Usage:
  standin-store ADDRESS
)";

} // namespace

int
main(int aCount, char** aValues)
{
  const auto line = trefoil::ParseCommandLine(
    { .mUsage = kUsage, .mVersion = "trefoillb stand-ins 0.1.0" }, aCount, aValues);
  if (line.mExit.has_value()) {
    return *line.mExit;
  }
  trefoil::standin::Store store;
  return trefoil::standin::ServeUntilSignal(
    line.mArguments.at("ADDRESS").asString(),
    [&store](trefoil::HttpExchange& aExchange) { store.Serve(aExchange); });
}
