// The stand-in key-value service as a program.
#include "standin/serve_until_signal.h"
#include "standin/store.h"

namespace {

constexpr const char* kUsage = R"(standin-store, a stand-in for the platform's key-value service.

Usage:
  standin-store ADDRESS
)";

} // namespace

int
main(int aCount, char** aValues)
{
  return trefoil::standin::RunService<trefoil::standin::Store>(kUsage, aCount, aValues);
}
