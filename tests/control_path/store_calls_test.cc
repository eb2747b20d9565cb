// Counts the calls of a control thread to a scripted store.
#include "tests/control_path/test_host.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace trefoil {
namespace {

// A store whose servers have always written their entries again when a watch arrives.
class RefreshingStore
{
public:
  Reply Answer(const ReceivedRequest& aRequest)
  {
    const std::string& target = aRequest.mRequest.mTarget;
    const std::string_view path = PathOf(target);
    const bool ofServers = QueryValue(target, "PathPrefix") == kServerPrefix;
    const absl::MutexLock lock{ &mMutex };
    if (path == "/trefoillb/kv-range") {
      return { .mBytes =
                 MakeAnswer(aRequest,
                            200,
                            "",
                            fmt::format(R"({{"Items":[{}],"HasMore":false,"At":{}}})",
                                        ofServers ? ServerItem("ready", mRevision) : std::string{},
                                        mRevision)) };
    }
    if (path != "/trefoillb/kv-watch") {
      return { .mBytes = MakeAnswer(aRequest, path == "/trefoillb/kv-key" ? 404 : 503) };
    }
    if (!ofServers) {
      return { .mHang = true };
    }
    ++mRevision;
    ++mServerWatches;
    return { .mBytes = MakeAnswer(aRequest,
                                  200,
                                  "",
                                  fmt::format(R"({{"events":[{}],"At":{}}})",
                                              ServerItem("ready", mRevision),
                                              mRevision)) };
  }

  int ServerWatches() const
  {
    const absl::MutexLock lock{ &mMutex };
    return mServerWatches;
  }

private:
  mutable absl::Mutex mMutex;
  int mRevision ABSL_GUARDED_BY(mMutex) = 2;
  int mServerWatches ABSL_GUARDED_BY(mMutex) = 0;
};

// Guards against two watches a second by each watcher, as servers rewrite their entries all the
// time: calls to the store are priced.
SCENARIO("servers rewrite their entries all the time")
{
  RefreshingStore store;
  ScriptedServer storeServer{ [&store](const ReceivedRequest& aRequest) {
    return store.Answer(aRequest);
  } };
  const TestHost host{ storeServer };
  REQUIRE(AwaitReadyServers(host.OwnMetrics(), 1));
  WHEN("a server that leaves must get no more requests after 3 s")
  {
    const Instant begunAt = SuspendAwareNow();
    const int before = store.ServerWatches();
    std::this_thread::sleep_for(Milliseconds{ 4'000 });
    const int watches = store.ServerWatches() - before;
    const auto seconds = std::chrono::duration<double>(SuspendAwareNow() - begunAt).count();
    THEN("their changes are read once a second")
    {
      CHECK(watches <= seconds + 1);
      CHECK(watches >= 1);
    }
    THEN("operators see the calls by kind")
    {
      CHECK(host.OwnMetrics().Render().find("trefoil_store_calls_total{kind=\"watch_servers\"}") !=
            std::string::npos);
    }
    THEN("they see that the keys were listed")
    {
      CHECK(host.OwnMetrics().Render().find(
              "trefoil_store_record_events_total{event=\"listed\"}") != std::string::npos);
    }
  }
}

} // namespace
} // namespace trefoil
