// Reads of the list of entry hosts that fail.
#include "tests/control_path/test_host.h"
#include "trefoil/steering/host_entry.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace trefoil {
namespace {

// Guards against a host that knows no other one, so that nobody carries its connections, long after
// the store answers again: a failed read used to wait for the next regular one.
SCENARIO("the list of hosts cannot be read at first")
{
  constexpr int kFailures = 7;
  // Seven repeats take 11 s at most; the regular reads reach the eighth after 32 s.
  constexpr Milliseconds kKnownWithin{ 20'000 };
  std::atomic<int> reads = 0;
  const ScriptedServer store{ [&reads](const ReceivedRequest& aRequest) {
    const std::string& target = aRequest.mRequest.mTarget;
    const std::string_view path = PathOf(target);
    if (path == "/trefoillb/kv-watch") {
      return Reply{ .mHang = true };
    }
    if (path != "/trefoillb/kv-range") {
      return Reply{ .mBytes = MakeAnswer(aRequest, path == "/trefoillb/kv-key" ? 404 : 503) };
    }
    const std::string prefix = QueryValue(target, "PathPrefix");
    std::string items;
    if (prefix == kHostPrefix) {
      if (++reads <= kFailures) {
        return Reply{ .mBytes = MakeAnswer(aRequest, 503) };
      }
      items = ItemText(HostKey(AvailabilityZoneId{ "a" }, HostId{ "host-2" }), "127.0.0.1:9", 1);
    } else if (prefix == kOperatorPrefix) {
      items = ItemText("op/config", R"({"Version":1,"Routes":[],"Services":[]})", 1);
    }
    return Reply{
      .mBytes = MakeAnswer(
        aRequest, 200, "", fmt::format(R"({{"Items":[{}],"HasMore":false,"At":2}})", items))
    };
  } };
  const Instant startedAt = SuspendAwareNow();
  const TestHost host{ store };
  THEN("it is read again soon")
  {
    CHECK(AwaitGauge(host.OwnMetrics(), "trefoil_hosts 2"));
    CHECK(SuspendAwareNow() - startedAt < kKnownWithin);
  }
}

} // namespace
} // namespace trefoil
