// Runs a control thread and a traffic thread against a scripted store.
#include "platform/platform_control_codec.h"
#include "platform/platform_forward_codec.h"
#include "tests/forward_path/scripted_server.h"
#include "trefoil/base/base64.h"
#include "trefoil/steering/control_thread.h"
#include "trefoil/steering/prefix_watch.h"

#include "absl/strings/numbers.h"
#include <atomic>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <functional>
#include <thread>

namespace trefoil {
namespace {

// Upper bound of each wait; the awaited events normally come much earlier.
constexpr Milliseconds kTestTimeout{ 60'000 };
constexpr Milliseconds kPollInterval{ 20 };
constexpr std::string_view kOperatorPrefix = "op/";
constexpr std::string_view kServerPrefix = "servers/";

std::string
ItemText(std::string_view aKey, std::string_view aValue, int aRevision)
{
  return fmt::format(R"({{"Key":"{}","Value":"{}","Revision":{}}})",
                     aKey,
                     ToBase64(std::string{ aValue }),
                     aRevision);
}

std::string
ServerItem(std::string_view aState, int aRevision)
{
  return ItemText(
    "servers/i-1",
    fmt::format(R"({{"Service":"s","Address":"127.0.0.1:9","Zone":"a","Version":"v1",)"
                R"("Slots":4,"State":"{}","Seq":1,"born":1}})",
                aState),
    aRevision);
}

// A store with one ready server. It swallows each watch until the host has repeated its watch of
// the operators' keys; then it answers again, and the server is draining.
class SilentStore
{
public:
  Reply Answer(const ReceivedRequest& aRequest)
  {
    const std::string& target = aRequest.mRequest.mTarget;
    const std::string_view path = PathOf(target);
    if (path == "/trefoillb/kv-range") {
      return { .mBytes = MakeAnswer(aRequest, 200, "", List(QueryValue(target, "PathPrefix"))) };
    }
    if (path == "/trefoillb/kv-watch") {
      return AnswerWatch(aRequest);
    }
    return { .mBytes = MakeAnswer(aRequest, path == "/trefoillb/kv-key" ? 404 : 503) };
  }

  // Returns the numbers of watches of the operators' keys that were answered before the host
  // repeated its watch of the servers, or -1 if it has not done so.
  int AnsweredBeforeServers() const
  {
    const absl::MutexLock lock{ &mMutex };
    return mAnsweredBeforeServers;
  }

private:
  static std::string List(std::string_view aPrefix)
  {
    std::string items;
    if (aPrefix == kOperatorPrefix) {
      items = ItemText("op/config", R"({"Version":1,"Routes":[],"Services":[]})", 1);
    } else if (aPrefix == kServerPrefix) {
      items = ServerItem("ready", 2);
    }
    return fmt::format(R"({{"Items":[{}],"HasMore":false,"At":2}})", items);
  }

  Reply AnswerWatch(const ReceivedRequest& aRequest)
  {
    const std::string& target = aRequest.mRequest.mTarget;
    std::int64_t waitMs = 0;
    (void)absl::SimpleAtoi(QueryValue(target, "WaitMs"), &waitMs);
    const bool ofServers = QueryValue(target, "PathPrefix") == kServerPrefix;
    {
      const absl::MutexLock lock{ &mMutex };
      ++(ofServers ? mServerWatches : mOperatorWatches);
      if (mOperatorWatches < 2) {
        return { .mHang = true };
      }
      if (ofServers && mAnsweredBeforeServers < 0) {
        mAnsweredBeforeServers = mOperatorWatchesAnswered;
      }
    }
    if (ofServers) {
      return {
        .mBytes = MakeAnswer(
          aRequest, 200, "", fmt::format(R"({{"events":[{}],"At":3}})", ServerItem("draining", 3)))
      };
    }
    std::this_thread::sleep_for(Milliseconds{ waitMs });
    const absl::MutexLock lock{ &mMutex };
    ++mOperatorWatchesAnswered;
    return { .mBytes = MakeAnswer(aRequest, 200, "", R"({"events":[],"At":2})") };
  }

  mutable absl::Mutex mMutex;
  int mServerWatches ABSL_GUARDED_BY(mMutex) = 0;
  int mOperatorWatches ABSL_GUARDED_BY(mMutex) = 0;
  int mOperatorWatchesAnswered ABSL_GUARDED_BY(mMutex) = 0;
  int mAnsweredBeforeServers ABSL_GUARDED_BY(mMutex) = -1;
};

// Waits until the gauge of ready servers has the value. Returns whether it has.
bool
AwaitReadyServers(const Metrics& aMetrics, int aCount)
{
  const std::string line = fmt::format("\ntrefoil_servers_ready {}\n", aCount);
  const Instant deadline = SuspendAwareNow() + kTestTimeout;
  while (!HasPassed(deadline, SuspendAwareNow())) {
    if (aMetrics.Render().find(line) != std::string::npos) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

// Guards against requests to servers that have said they leave: a watch that was sent while the
// store was silent used to stay pending long after other calls had proved the store back (DRAIN).
SCENARIO("the store is silent while the servers are watched")
{
  SilentStore store;
  ScriptedServer storeServer{ [&store](const ReceivedRequest& aRequest) {
    return store.Answer(aRequest);
  } };
  EventLog log{ "host-1" };
  Metrics metrics;
  auto traffic =
    TrafficThread::Start({ .mHost = HostId{ "host-1" },
                           .mZone = AvailabilityZoneId{ "a" },
                           .mListen = FreeEndpoint(),
                           .mReadiness = FreeEndpoint(),
                           .mCodec = platform::MakeForwardCodec(),
                           .mRetries = { .mRatio = 0.2, .mWindow = std::chrono::seconds{ 10 } },
                           .mUsageWindow = Milliseconds{ 5'000 },
                           .mMaxConnections = 10 },
                         log,
                         metrics);
  REQUIRE(traffic.ok());
  auto control = ControlThread::Start({ .mHost = HostId{ "host-1" },
                                        .mZone = AvailabilityZoneId{ "a" },
                                        .mPeerEndpoint = FreeEndpoint(),
                                        .mStore = storeServer.ListenEndpoint(),
                                        .mUsageWindow = Milliseconds{ 5'000 },
                                        .mCodec = platform::MakeControlCodec() },
                                      **traffic,
                                      log);
  REQUIRE(control.ok());
  REQUIRE(AwaitReadyServers(metrics, 1));
  WHEN("the store answers again, and the server is leaving")
  {
    REQUIRE(AwaitReadyServers(metrics, 0));
    THEN("the host asks for the servers as soon as its other watch proves the store back")
    {
      // Each further watch of the operators' keys waits for a second.
      CHECK(store.AnsweredBeforeServers() <= 2);
    }
  }
  (*control)->Stop();
  (*traffic)->Stop(SuspendAwareNow());
}

// Guards against changes that stay unknown although another host has relayed that they exist: the
// host used to wait for the end of its own watch, which the store had lost (DRAIN).
SCENARIO("another host knows of changes while the own watch is lost")
{
  std::atomic<int> watches = 0;
  ScriptedServer storeServer{ [&watches](const ReceivedRequest& aRequest) -> Reply {
    if (PathOf(aRequest.mRequest.mTarget) == "/trefoillb/kv-range") {
      return { .mBytes = MakeAnswer(aRequest, 200, "", R"({"Items":[],"HasMore":false,"At":2})") };
    }
    ++watches;
    return { .mHang = true };
  } };
  EventLoop loop;
  PrefixWatch watch{ loop,
                     storeServer.ListenEndpoint(),
                     platform::MakeControlCodec().mStore,
                     { .mPrefix = std::string{ kServerPrefix },
                       .mWait = kTestTimeout,
                       .mAnswerMargin = kPollInterval },
                     { .mOnList = [](const auto& /*aItems*/, std::int64_t /*aRevision*/) {},
                       .mOnChanges = [](const auto& /*aItems*/) {},
                       .mOnConfirmed = [](Instant /*aWhen*/) {},
                       .mOnStoreLost = [](StoreOutcome /*aOutcome*/, Milliseconds /*aPending*/) {},
                       .mOnStoreRegained = [](Instant /*aSentAt*/,
                                              Milliseconds /*aLostFor*/) {} } };
  loop.Post([&watch] { watch.Start(); });
  std::thread thread{ [&loop] { loop.Run(); } };
  const auto awaitWatches = [&](int aCount, const std::function<void()>& aMeanwhile) {
    const Instant deadline = SuspendAwareNow() + kTestTimeout / 2;
    while (watches.load() < aCount && !HasPassed(deadline, SuspendAwareNow())) {
      aMeanwhile();
      std::this_thread::sleep_for(kPollInterval);
    }
    return watches.load() >= aCount;
  };
  const bool sent = awaitWatches(1, [] {});
  const bool renewed = awaitWatches(
    2, [&] { loop.Post([&watch] { watch.ApplyUpdate({ .mRevision = 3, .mLastChange = 3 }); }); });
  loop.Stop();
  thread.join();
  CHECK(sent);
  THEN("it asks the store again")
  {
    CHECK(renewed);
  }
}

} // namespace
} // namespace trefoil
