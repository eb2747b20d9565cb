// A host for tests, with its control thread and its traffic thread, that uses a scripted store.
//
//   const TestHost host{ storeServer };
//   CHECK(AwaitReadyServers(host.OwnMetrics(), 1));
#pragma once

#include "platform/platform_control_codec.h"
#include "platform/platform_forward_codec.h"
#include "tests/forward_path/scripted_server.h"
#include "trefoil/steering/control_thread.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace trefoil {

// Upper bound of each wait; the awaited events normally come much earlier.
constexpr Milliseconds kTestTimeout{ 60'000 };
constexpr Milliseconds kPollInterval{ 20 };
constexpr std::string_view kOperatorPrefix = "op/";
constexpr std::string_view kServerPrefix = "servers/";

// Returns an item of the store, as it is in answers.
std::string
ItemText(std::string_view aKey, std::string_view aValue, int aRevision);

// Returns the item of a server of the service "s".
std::string
ServerItem(std::string_view aState, int aRevision, std::string_view aKey = "servers/i-1");

// Waits until a gauge has a value, both in `aText`. Returns whether it has.
bool
AwaitGauge(const Metrics& aMetrics, std::string_view aText);

// Waits until the gauge of ready servers has the value. Returns whether it has.
bool
AwaitReadyServers(const Metrics& aMetrics, int aCount);

// A host, with its control thread and its traffic thread, that uses the store of a test.
class TestHost
{
public:
  explicit TestHost(const ScriptedServer& aStore,
                    const ControlCodec& aCodec = platform::MakeControlCodec(),
                    const char* aName = "host-1")
    : mTraffic(
        TrafficThread::Start({ .mHost = HostId{ aName },
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
    mControl =
      ControlThread::Start({ .mHost = HostId{ aName },
                             .mZone = AvailabilityZoneId{ "a" },
                             .mPeerEndpoint = mPeerEndpoint,
                             .mZones = { AvailabilityZoneId{ "a" }, AvailabilityZoneId{ "b" } },
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
