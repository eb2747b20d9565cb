// The stand-in plain service as a program.
#include "standin/plain_service.h"
#include "standin/serve_until_signal.h"
#include "trefoil/command_line/command_line.h"

namespace {

constexpr const char* kUsage = R"(standin-plain-service, a stand-in for an application engine.

Usage:
  standin-plain-service NAME ADDRESS
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
  trefoil::standin::PlainService service{ line.mArguments.at("NAME").asString() };
  return trefoil::standin::ServeUntilSignal(
    line.mArguments.at("ADDRESS").asString(),
    [&service](trefoil::HttpExchange& aExchange) { service.Serve(aExchange); });
}
