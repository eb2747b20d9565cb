// The stand-in engine as a program.
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

// The exit status of a process that died of a request.
constexpr int kExitCrashed = 70;

} // namespace

int
main(int aCount, char** aValues)
{
  const auto line = trefoil::ParseCommandLine(
    { .mUsage = kUsage, .mVersion = trefoil::standin::kStandinVersion }, aCount, aValues);
  if (line.mExit.has_value()) {
    return *line.mExit;
  }
  const auto firstToken = trefoil::NumberOption(line, "--first-token-ms", 0);
  const auto token = trefoil::NumberOption(line, "--token-ms", 0);
  if (!firstToken.has_value() || !token.has_value()) {
    return trefoil::kExitBadInput;
  }
  trefoil::standin::Engine engine{ { .mName = line.mArguments.at("NAME").asString(),
                                     .mVersion = line.mArguments.at("--runs").asString(),
                                     .mFirstTokenMilliseconds = *firstToken,
                                     .mTokenEveryMilliseconds = *token,
                                     .mOnDeath = [] { std::_Exit(kExitCrashed); } } };
  return trefoil::standin::ServeUntilSignal(
    line.mArguments.at("ADDRESS").asString(),
    [&engine](trefoil::HttpExchange& aExchange) { engine.Serve(aExchange); });
}
