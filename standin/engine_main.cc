// The stand-in engine as a program.
#include "standin/engine.h"
#include "standin/serve_until_signal.h"

#include <docopt/docopt.h>

namespace {

constexpr const char* kUsage = R"(standin-engine, a stand-in for a model engine.

Usage:
  standin-engine NAME ADDRESS [--first-token-ms=N] [--token-ms=N]

Options:
  --first-token-ms=N  Milliseconds before the first token [default: 20].
  --token-ms=N        Milliseconds between tokens [default: 10].
)";

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments = docopt::docopt(kUsage, { aValues + 1, aValues + aCount });
  trefoil::standin::Engine engine{
    { .mName = arguments["NAME"].asString(),
      .mFirstTokenMilliseconds = arguments["--first-token-ms"].asLong(),
      .mTokenEveryMilliseconds = arguments["--token-ms"].asLong() }
  };
  return trefoil::standin::ServeUntilSignal(
    arguments["ADDRESS"].asString(),
    [&engine](trefoil::HttpExchange& aExchange) { engine.Serve(aExchange); });
}
