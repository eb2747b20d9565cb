// Operators evacuate zones: hosts learn it from the store, or from each other.
#include "tests/control_path/test_host.h"
#include "trefoil/steering/host_entry.h"

#include "absl/strings/numbers.h"
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <map>
#include <thread>
#include <vector>

namespace trefoil {
namespace {

// The operators' keys of a store, with the hosts that have registered.
class OperatorStore
{
public:
  // Returns a front of the store, which refuses all calls while `aRejects` is true.
  ScriptedServer::Script Front(const std::atomic<bool>& aRejects)
  {
    return [this, &aRejects](const ReceivedRequest& aRequest) {
      return aRejects ? Reply{ .mBytes = MakeAnswer(aRequest, 503) } : Answer(aRequest);
    };
  }

  void Write(const std::string& aKey, const std::string& aValue)
  {
    const absl::MutexLock lock{ &mMutex };
    mItems[aKey] = { .mText = ItemText(aKey, aValue, ++mRevision), .mRevision = mRevision };
  }

  void Remove(const std::string& aKey)
  {
    const absl::MutexLock lock{ &mMutex };
    ++mRevision;
    mItems[aKey] = { .mText = fmt::format(
                       R"({{"Key":"{}","Revision":{},"WasRemoved":true}})", aKey, mRevision),
                     .mRevision = mRevision,
                     .mRemoved = true };
  }

  void AddHost(const char* aName, const Endpoint& aEndpoint)
  {
    Write(HostKey(AvailabilityZoneId{ "a" }, HostId{ aName }), ToText(aEndpoint));
  }

private:
  struct Item
  {
    std::string mText;
    int mRevision = 0;
    bool mRemoved = false;
  };

  Reply Answer(const ReceivedRequest& aRequest)
  {
    const std::string& target = aRequest.mRequest.mTarget;
    const std::string_view path = PathOf(target);
    const std::string prefix = QueryValue(target, "PathPrefix");
    if (path == "/trefoillb/kv-range") {
      const absl::MutexLock lock{ &mMutex };
      return { .mBytes = MakeAnswer(aRequest,
                                    200,
                                    "",
                                    fmt::format(R"({{"Items":[{}],"HasMore":false,"At":{}}})",
                                                ItemsAfter(prefix, 0, false),
                                                mRevision)) };
    }
    if (path != "/trefoillb/kv-watch") {
      return { .mBytes = MakeAnswer(aRequest, path == "/trefoillb/kv-key" ? 404 : 503) };
    }
    int after = 0;
    (void)absl::SimpleAtoi(QueryValue(target, "After"), &after);
    std::this_thread::sleep_for(Milliseconds{ 100 });
    const absl::MutexLock lock{ &mMutex };
    return { .mBytes = MakeAnswer(aRequest,
                                  200,
                                  "",
                                  fmt::format(R"({{"events":[{}],"At":{}}})",
                                              ItemsAfter(prefix, after, true),
                                              mRevision)) };
  }

  std::string ItemsAfter(const std::string& aPrefix, int aRevision, bool aWithRemovals) const
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex)
  {
    std::vector<std::string> texts;
    for (const auto& [key, item] : mItems) {
      if (key.starts_with(aPrefix) && item.mRevision > aRevision &&
          (aWithRemovals || !item.mRemoved)) {
        texts.push_back(item.mText);
      }
    }
    return fmt::format("{}", fmt::join(texts, ","));
  }

  absl::Mutex mMutex;
  std::map<std::string, Item> mItems ABSL_GUARDED_BY(mMutex);
  int mRevision ABSL_GUARDED_BY(mMutex) = 1;
};

constexpr const char* kConfiguration = R"({"Version":1,"Routes":[],"Services":[]})";

// Waits until the host knows this many evacuated zones. Returns whether it does.
bool
AwaitEvacuated(const TestHost& aHost, int aCount)
{
  return AwaitGauge(aHost.OwnMetrics(), fmt::format("trefoil_zones_evacuated {}", aCount));
}

// Guards against zones that stay in use, or out of use, against the operators' orders (EVACUATE).
SCENARIO("operators evacuate a zone and take it back")
{
  OperatorStore store;
  std::atomic<bool> isAway = false;
  store.Write("op/config", kConfiguration);
  GIVEN("a host that runs")
  {
    ScriptedServer front{ store.Front(isAway) };
    const TestHost host{ front };
    REQUIRE(AwaitGauge(host.OwnMetrics(), "trefoil_configuration_version 1"));
    CHECK(AwaitEvacuated(host, 0));
    store.Write("op/evacuate/b", "{}");
    CHECK(AwaitEvacuated(host, 1));
    WHEN("the key is removed")
    {
      store.Remove("op/evacuate/b");
      THEN("the zone is in use again")
      {
        CHECK(AwaitEvacuated(host, 0));
      }
    }
    WHEN("the store goes down")
    {
      isAway = true;
      std::this_thread::sleep_for(Milliseconds{ 2'000 });
      THEN("the order stays in force")
      {
        CHECK(AwaitEvacuated(host, 1));
      }
      AND_WHEN("the key is removed before the store is back")
      {
        store.Remove("op/evacuate/b");
        isAway = false;
        THEN("the host learns it")
        {
          CHECK(AwaitEvacuated(host, 0));
        }
      }
    }
    WHEN("an order names no zone, or one that is not in the settings, before a new configuration")
    {
      store.Write("op/evacuate/", "{}");
      store.Write("op/evacuate/elsewhere", "{}");
      store.Write("op/config", R"({"Version":2,"Routes":[],"Services":[]})");
      THEN("nothing else is lost by it")
      {
        CHECK(AwaitGauge(host.OwnMetrics(), "trefoil_configuration_version 2"));
        CHECK(AwaitEvacuated(host, 1));
      }
    }
  }
  GIVEN("a host that starts after the order")
  {
    store.Write("op/evacuate/a", "{}");
    store.Write("op/evacuate/b", "{}");
    ScriptedServer front{ store.Front(isAway) };
    const TestHost host{ front };
    THEN("it knows the zones as soon as it has a configuration")
    {
      REQUIRE(AwaitGauge(host.OwnMetrics(), "trefoil_configuration_version 1"));
      CHECK(host.OwnMetrics().Render().find("\ntrefoil_zones_evacuated 2\n") != std::string::npos);
    }
  }
}

// Guards against a host that sends requests to an evacuated zone since the store rejects its calls
// and no other host tells it (EVACUATE).
SCENARIO("the store rejects a host, and then a zone is evacuated")
{
  OperatorStore store;
  store.Write("op/config", kConfiguration);
  const std::atomic<bool> isServed = false;
  std::atomic<bool> isRejected = false;
  ScriptedServer servedFront{ store.Front(isServed) };
  ScriptedServer rejectingFront{ store.Front(isRejected) };
  const TestHost served{ servedFront, platform::MakeControlCodec(), "host-1" };
  const TestHost rejected{ rejectingFront, platform::MakeControlCodec(), "host-2" };
  store.AddHost("host-1", served.PeerEndpoint());
  store.AddHost("host-2", rejected.PeerEndpoint());
  for (const TestHost* host : { &served, &rejected }) {
    REQUIRE(AwaitGauge(host->OwnMetrics(), "trefoil_configuration_version 1"));
    REQUIRE(AwaitGauge(host->OwnMetrics(), "trefoil_hosts_in_touch 2"));
  }
  isRejected = true;
  store.Write("op/evacuate/b", "{}");
  THEN("the other hosts tell it, also when the evacuation is taken back")
  {
    CHECK(AwaitEvacuated(rejected, 1));
    store.Remove("op/evacuate/b");
    CHECK(AwaitEvacuated(rejected, 0));
  }
}

} // namespace
} // namespace trefoil
