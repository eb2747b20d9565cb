#include "tests/control_path/test_host.h"

#include "trefoil/base/base64.h"

#include <fmt/format.h>
#include <thread>

namespace trefoil {

std::string
ItemText(std::string_view aKey, std::string_view aValue, int aRevision)
{
  return fmt::format(R"({{"Key":"{}","Value":"{}","Revision":{}}})",
                     aKey,
                     ToBase64(std::string{ aValue }),
                     aRevision);
}

std::string
ServerItem(std::string_view aState, int aRevision, std::string_view aKey)
{
  return ItemText(
    aKey,
    fmt::format(R"({{"Service":"s","Address":"127.0.0.1:9","Zone":"a","Version":"v1",)"
                R"("Slots":4,"State":"{}","Seq":1,"born":1}})",
                aState),
    aRevision);
}

bool
AwaitGauge(const Metrics& aMetrics, std::string_view aText)
{
  const std::string line = fmt::format("\n{}\n", aText);
  const Instant deadline = SuspendAwareNow() + kTestTimeout;
  while (!HasPassed(deadline, SuspendAwareNow())) {
    if (aMetrics.Render().find(line) != std::string::npos) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

bool
AwaitReadyServers(const Metrics& aMetrics, int aCount)
{
  return AwaitGauge(aMetrics, fmt::format("trefoil_servers_ready {}", aCount));
}

} // namespace trefoil
