// The stand-in plain service as a program.
#include "standin/plain_service.h"
#include "standin/serve_until_signal.h"
#include "trefoil/command_line/command_line.h"

namespace {

constexpr const char* kUsage = R"(standin-plain-service, a stand-in for an application engine.

Usage:
  standin-plain-service NAME ADDRESS [--delay-ms=N]

Options:
  --delay-ms=N  The pause between the effect of a POST and its answer [default: 0].
)";

} // namespace

int
main(int aCount, char** aValues)
{
  const auto line = trefoil::ParseCommandLine(
    { .mUsage = kUsage, .mVersion = trefoil::standin::kStandinVersion }, aCount, aValues);
  if (line.mExit.has_value()) {
    return *line.mExit;
  }
  const auto delay = trefoil::NumberOption(line, "--delay-ms", 0);
  if (!delay.has_value()) {
    return trefoil::kExitBadInput;
  }
  trefoil::standin::PlainService service{ { .mName = line.mArguments.at("NAME").asString(),
                                            .mDelayMilliseconds = *delay } };
  return trefoil::standin::ServeUntilSignal(
    line.mArguments.at("ADDRESS").asString(),
    [&service](trefoil::HttpExchange& aExchange) { service.Serve(aExchange); });
}
