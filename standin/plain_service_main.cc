// standin-plain-service, the program that runs a stand-in for a plain service.
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
main(int aArgumentCount, char** aArguments)
{
  const auto commandLine =
    trefoil::ParseCommandLine({ .mUsage = kUsage, .mVersion = trefoil::standin::kStandinVersion },
                              aArgumentCount,
                              aArguments);
  if (commandLine.mExit.has_value()) {
    return *commandLine.mExit;
  }
  const auto delay = trefoil::NumberOption(commandLine, "--delay-ms", 0);
  if (!delay.has_value()) {
    return trefoil::kExitBadInput;
  }
  trefoil::standin::PlainService service{ { .mName = commandLine.mArguments.at("NAME").asString(),
                                            .mDelayMilliseconds = *delay } };
  return trefoil::standin::ServeUntilSignal(
    commandLine.mArguments.at("ADDRESS").asString(),
    [&service](trefoil::HttpExchange& aExchange) { service.Serve(aExchange); });
}
