// The stand-in of the users' platform as a program.
#include "standin/platform_store.h"
#include "standin/serve_until_signal.h"
#include "trefoil/command_line/command_line.h"

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
  const auto line = trefoil::ParseCommandLine(
    { .mUsage = kUsage, .mVersion = "trefoillb stand-ins 0.1.0" }, aCount, aValues);
  if (line.mExit.has_value()) {
    return *line.mExit;
  }
  trefoil::standin::PlatformStore store;
  return trefoil::standin::ServeUntilSignal(
    line.mArguments.at("ADDRESS").asString(),
    [&store](trefoil::HttpExchange& aExchange) { store.Serve(aExchange); });
}
