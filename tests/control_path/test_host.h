// A host for the tests of the control thread, with its traffic thread, that uses the store of a
// test.
//
//   ScriptedServer storeServer{ [&store](const ReceivedRequest& aRequest) { ... } };
//   const TestHost host{ storeServer };
//   REQUIRE(AwaitReadyServers(host.OwnMetrics(), 1));
#pragma once

#include "platform/platform_control_codec.h"
#include "platform/platform_forward_codec.h"
#include "tests/forward_path/scripted_server.h"
#include "trefoil/base/base64.h"
#include "trefoil/net/exclusive_bind.h"
#include "trefoil/steering/control_thread.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace trefoil {

// Upper bound of each wait; the awaited events normally come much earlier.
inline constexpr Milliseconds kTestTimeout{ 60'000 };
inline constexpr Milliseconds kPollInterval{ 20 };
inline constexpr std::string_view kOperatorPrefix = "op/";
inline constexpr std::string_view kServerPrefix = "servers/";

inline std::string
ItemText(std::string_view aKey, std::string_view aValue, int aRevision)
{
  return fmt::format(R"({{"Key":"{}","Value":"{}","Revision":{}}})",
                     aKey,
                     ToBase64(std::string{ aValue }),
                     aRevision);
}

inline std::string
ServerItem(std::string_view aState, int aRevision, std::string_view aKey = "servers/i-1")
{
  return ItemText(
    aKey,
    fmt::format(R"({{"Service":"s","Address":"127.0.0.1:9","Zone":"a","Version":"v1",)"
                R"("Slots":4,"State":"{}","Seq":1,"born":1}})",
                aState),
    aRevision);
}

// Waits until a gauge has a value, both in `aText`. Returns whether it has.
inline bool
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

// Waits until the gauge of ready servers has the value. Returns whether it has.
inline bool
AwaitReadyServers(const Metrics& aMetrics, int aCount)
{
  return AwaitGauge(aMetrics, fmt::format("trefoil_servers_ready {}", aCount));
}

// A host, with its control thread and its traffic thread, that uses the store of a test.
class TestHost
{
public:
  explicit TestHost(const ScriptedServer& aStore,
                    const ControlCodec& aCodec = platform::MakeControlCodec())
    : mTraffic(
        TrafficThread::Start({ .mHost = HostId{ "host-1" },
                               .mZone = AvailabilityZoneId{ "a" },
                               .mListen = FreeEndpoint(),
                               .mReadiness = FreeEndpoint(),
                               .mCodec = platform::MakeForwardCodec(),
                               .mRetries = { .mRatio = 0.2, .mWindow = std::chrono::seconds{ 10 } },
                               .mUsageWindow = Milliseconds{ 5'000 },
                               .mMaxConnections = 10 },
                             mLog,
                             mMetrics))
  {
    REQUIRE(mTraffic.ok());
    mControl = ControlThread::Start({ .mHost = HostId{ "host-1" },
                                      .mZone = AvailabilityZoneId{ "a" },
                                      .mPeerEndpoint = mPeerEndpoint,
                                      .mStore = aStore.ListenEndpoint(),
                                      .mUsageWindow = Milliseconds{ 5'000 },
                                      .mDrainWithin = Milliseconds{ 3'000 },
                                      .mCodec = aCodec,
                                      .mMetrics = &mMetrics },
                                    BindPeerSocket(mPeerEndpoint).value(),
                                    **mTraffic,
                                    mLog);
    REQUIRE(mControl.ok());
  }

  ~TestHost()
  {
    (*mControl)->Stop();
    (*mTraffic)->Stop(SuspendAwareNow());
  }

  TestHost(const TestHost&) = delete;
  TestHost& operator=(const TestHost&) = delete;

  const Metrics& OwnMetrics() const { return mMetrics; }
  TrafficThread& Traffic() { return **mTraffic; }
  const Endpoint& PeerEndpoint() const { return mPeerEndpoint; }

private:
  Endpoint mPeerEndpoint = FreeEndpoint();
  EventLog mLog{ "host-1" };
  Metrics mMetrics;
  absl::StatusOr<std::unique_ptr<TrafficThread>> mTraffic;
  absl::StatusOr<std::unique_ptr<ControlThread>> mControl;
};

} // namespace trefoil
