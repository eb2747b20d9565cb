// standin-engine, the program that runs a stand-in for a model engine.
#include "standin/engine.h"
#include "standin/serve_until_signal.h"
#include "trefoil/command_line/command_line.h"

#include <cstdlib>

namespace {

constexpr const char* kUsage = R"(standin-engine, a stand-in for a model engine.

Usage:
  standin-engine NAME ADDRESS [--first-token-ms=N] [--token-ms=N] [--runs=V]

Options:
  --first-token-ms=N  Milliseconds before the first token [default: 20].
  --token-ms=N        Milliseconds between tokens [default: 10].
  --runs=V            The version that it runs [default: v1].
)";

// The exit status after the engine was killed by a request or by POST /admin/state?state=dead.
constexpr int kExitCrashed = 70;

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
  const auto firstTokenMilliseconds = trefoil::NumberOption(commandLine, "--first-token-ms", 0);
  const auto tokenMilliseconds = trefoil::NumberOption(commandLine, "--token-ms", 0);
  if (!firstTokenMilliseconds.has_value() || !tokenMilliseconds.has_value()) {
    return trefoil::kExitBadInput;
  }
  trefoil::standin::Engine engine{ { .mName = commandLine.mArguments.at("NAME").asString(),
                                     .mVersion = commandLine.mArguments.at("--runs").asString(),
                                     .mFirstTokenMilliseconds = *firstTokenMilliseconds,
                                     .mTokenIntervalMilliseconds = *tokenMilliseconds,
                                     .mOnDeath = [] { std::_Exit(kExitCrashed); } } };
  return trefoil::standin::ServeUntilSignal(
    commandLine.mArguments.at("ADDRESS").asString(),
    [&engine](trefoil::HttpExchange& aExchange) { engine.Serve(aExchange); });
}
