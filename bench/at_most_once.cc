// Compares grouped claims of idempotency keys with a baseline of one compare-and-swap per request.
// Both are measured one after the other, against the same stand-in store.
#include "standin/store.h"
#include "trefoil/base/digest.h"
#include "trefoil/command_line/command_line.h"
#include "trefoil/http/client.h"
#include "trefoil/node/control_request_broker.h"
#include "trefoil/node/node_control_state.h"
#include "trefoil/node/store_worker.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fmt/format.h>
#include <memory>
#include <thread>
#include <vector>

namespace {

using trefoil::Instant;
using trefoil::Milliseconds;

constexpr const char* kUsage =
  R"(bench-at-most-once compares grouped claims with one compare-and-swap per request.

Usage:
  bench-at-most-once [--hosts=N] [--callers=N] [--seconds=N] [--store-threads=N] [--store-ms=N]

Options:
  --hosts=N          Number of entry hosts [default: 9].
  --callers=N        Callers per host, each with one request at a time [default: 32].
  --seconds=N        Duration of each of the two runs [default: 5].
  --store-threads=N  Number of calls that the store serves concurrently [default: 3].
  --store-ms=N       Milliseconds that the store takes for a call [default: 5].
)";

constexpr Milliseconds kRequestTimeout{ 10'000 };
const trefoil::ClaimOptions kClaimOptions;

struct BenchOptions
{
  std::int64_t mHosts = 0;
  std::int64_t mCallers = 0;
  std::int64_t mSeconds = 0;
  std::int64_t mStoreThreads = 0;
  std::int64_t mStoreMilliseconds = 0;
};

// The part of an entry host that claims idempotency keys: its control thread and store worker.
class ClaimHost
{
public:
  ClaimHost(const trefoil::StoreClient& aStore, std::int64_t aNumber)
    : mHost(fmt::format("h{}", aNumber))
    , mWorker({ .mStore = aStore, .mQueue = &mQueue })
    , mRequestBroker(mQueue)
    , mThread([this] { Run(); })
  {
  }
  ~ClaimHost()
  {
    mQueue.Close();
    mThread.join();
  }
  ClaimHost(const ClaimHost&) = delete;
  ClaimHost& operator=(const ClaimHost&) = delete;

  // Claims `aKey`, which no other request uses, and reports that the request ran. Returns false if
  // the request may not be dispatched or the claim timed out. Thread-safe.
  bool Claim(const std::string& aKey)
  {
    trefoil::ClaimRecord record{ .mKey = trefoil::Sha256Hex(aKey).substr(0, 32),
                                 .mNonce = trefoil::RandomHex(),
                                 .mClaimant = mHost,
                                 .mRequestSha256 = trefoil::Sha256Hex("request") };
    const auto slot = trefoil::SlotOf(kClaimOptions, record.mKey, trefoil::WallNow());
    const Instant deadline = trefoil::Now() + kRequestTimeout;
    const auto reply =
      mRequestBroker.PostAndWait<trefoil::AnswerClaim>(deadline, [&](std::uint64_t aWaiter) {
        return trefoil::ClaimRequested{
          .mWaiter = aWaiter, .mSlot = slot, .mRecord = record, .mDeadline = deadline
        };
      });
    if (!reply.has_value() || reply->mAnswer != trefoil::ClaimAnswer::kDispatch) {
      return false;
    }
    record.mOutcome = { .mStage = trefoil::ClaimStage::kRan, .mHttpStatus = 201 };
    mRequestBroker.Post(trefoil::ClaimCompleted{ .mSlot = slot, .mRecord = record });
    return true;
  }

private:
  void Run()
  {
    trefoil::NodeControlState state =
      trefoil::MakeNodeControlState({ .mHost = mHost }, trefoil::Now());
    while (!mQueue.Closed()) {
      const auto event = mQueue.Pop(NextTimer(state));
      if (event.has_value()) {
        Execute(Step(state, *event, trefoil::Now()));
      }
      if (trefoil::HasPassed(NextTimer(state), trefoil::Now())) {
        Execute(Step(state, trefoil::TimerFired{}, trefoil::Now()));
      }
    }
  }

  void Execute(const trefoil::ControlEffects& aEffects)
  {
    for (const trefoil::ControlEffect& effect : aEffects) {
      if (const auto* read = std::get_if<trefoil::ReadStoreEntry>(&effect)) {
        mWorker.Submit(*read);
      } else if (const auto* write = std::get_if<trefoil::WriteStoreEntry>(&effect)) {
        mWorker.Submit(*write);
      } else if (const auto* reply = std::get_if<trefoil::AnswerClaim>(&effect)) {
        mRequestBroker.DeliverReply(reply->mWaiter, *reply);
      }
    }
  }

  const trefoil::HostId mHost;
  trefoil::EventQueue mQueue;
  trefoil::StoreWorker mWorker;
  trefoil::ControlRequestBroker mRequestBroker;
  std::thread mThread;
};

std::int64_t
StoreCalls(const trefoil::StoreClient& aStore)
{
  const auto result = trefoil::Call({ .mServer = aStore.mEndpoint,
                                      .mRequest = { .mTarget = "/admin/counts" },
                                      .mDeadline = trefoil::Now() + kRequestTimeout });
  const auto* answer = std::get_if<trefoil::HttpResponse>(&result);
  if (answer == nullptr) {
    return 0;
  }
  const auto counts = Poco::JSON::Parser{}.parse(answer->mBody).extract<Poco::JSON::Object::Ptr>();
  return counts->getValue<std::int64_t>("reads") + counts->getValue<std::int64_t>("writes");
}

struct RunResult
{
  std::vector<double> mLatencyMilliseconds;
  std::int64_t mFailed = 0;
};

// Runs `aCallers` threads that each send one request at a time until `aEnd`. `aSendRequest` gets
// the caller's index and a unique key, and returns whether the request succeeded. Returns the
// latencies of all requests in ascending order.
template<typename RequestFunction>
RunResult
RunCallers(std::int64_t aCallers, Instant aEnd, RequestFunction aSendRequest)
{
  std::vector<RunResult> results(static_cast<std::size_t>(aCallers));
  std::vector<std::thread> threads;
  for (std::size_t caller = 0; caller < results.size(); ++caller) {
    threads.emplace_back([&, caller] {
      for (int number = 0; !trefoil::HasPassed(aEnd, trefoil::Now()); ++number) {
        const Instant start = trefoil::Now();
        const bool succeeded = aSendRequest(caller, fmt::format("{}-{}", caller, number));
        const std::chrono::duration<double, std::milli> latency = trefoil::Now() - start;
        results[caller].mLatencyMilliseconds.push_back(latency.count());
        results[caller].mFailed += succeeded ? 0 : 1;
      }
    });
  }
  RunResult total;
  for (std::size_t caller = 0; caller < results.size(); ++caller) {
    threads[caller].join();
    const RunResult& callerResult = results[caller];
    total.mLatencyMilliseconds.insert(total.mLatencyMilliseconds.end(),
                                      callerResult.mLatencyMilliseconds.begin(),
                                      callerResult.mLatencyMilliseconds.end());
    total.mFailed += callerResult.mFailed;
  }
  std::ranges::sort(total.mLatencyMilliseconds);
  return total;
}

void
PrintResult(const char* aName,
            const RunResult& aResult,
            std::int64_t aStoreCalls,
            std::int64_t aSeconds)
{
  const std::size_t count = std::max<std::size_t>(aResult.mLatencyMilliseconds.size(), 1);
  const auto seconds = static_cast<double>(aSeconds);
  fmt::print("{:<16} {:8.0f} requests/s {:8.1f} store calls/s {:7.3f} calls/request "
             "p50 {:6.1f} ms p95 {:6.1f} ms failed {}\n",
             aName,
             static_cast<double>(count) / seconds,
             static_cast<double>(aStoreCalls) / seconds,
             static_cast<double>(aStoreCalls) / static_cast<double>(count),
             aResult.mLatencyMilliseconds.empty() ? 0 : aResult.mLatencyMilliseconds[count / 2],
             aResult.mLatencyMilliseconds.empty() ? 0
                                                  : aResult.mLatencyMilliseconds[count * 95 / 100],
             aResult.mFailed);
}

void
MeasureBaseline(const BenchOptions& aOptions, const trefoil::StoreClient& aStore)
{
  const std::int64_t before = StoreCalls(aStore);
  const auto result = RunCallers(aOptions.mHosts * aOptions.mCallers,
                                 trefoil::Now() + std::chrono::seconds{ aOptions.mSeconds },
                                 [&](std::size_t, const std::string& aKey) {
                                   const auto write =
                                     CompareAndSwap(aStore,
                                                    { .mKey = "one/" + aKey, .mValue = "claimed" },
                                                    trefoil::Now() + kRequestTimeout);
                                   return write.mState == trefoil::StoreWriteState::kWritten;
                                 });
  PrintResult("one a request", result, StoreCalls(aStore) - before, aOptions.mSeconds);
}

void
MeasureGroupedClaims(const BenchOptions& aOptions, const trefoil::StoreClient& aStore)
{
  std::vector<std::unique_ptr<ClaimHost>> hosts;
  for (std::int64_t host = 0; host < aOptions.mHosts; ++host) {
    hosts.push_back(std::make_unique<ClaimHost>(aStore, host));
  }
  const std::int64_t before = StoreCalls(aStore);
  const auto result = RunCallers(aOptions.mHosts * aOptions.mCallers,
                                 trefoil::Now() + std::chrono::seconds{ aOptions.mSeconds },
                                 [&](std::size_t aCaller, const std::string& aKey) {
                                   return hosts[aCaller % hosts.size()]->Claim(aKey);
                                 });
  PrintResult("grouped claims", result, StoreCalls(aStore) - before, aOptions.mSeconds);
}

int
Run(const BenchOptions& aOptions)
{
  trefoil::standin::Store standin;
  const auto server = trefoil::HttpServer::Start(
    { .mListen = { .mAddress = "127.0.12.1", .mPort = 0 },
      .mHandler = [&](trefoil::HttpExchange& aExchange) { standin.Serve(aExchange); },
      .mMaxConnections = aOptions.mStoreThreads });
  if (!server.ok()) {
    return 1;
  }
  const trefoil::StoreClient store{ .mEndpoint = { .mAddress = "127.0.12.1",
                                                   .mPort = server->Port() } };
  trefoil::Call({ .mServer = store.mEndpoint,
                  .mRequest = { .mMethod = "POST",
                                .mTarget = fmt::format("/admin/fault?slow_ms={}",
                                                       aOptions.mStoreMilliseconds) },
                  .mDeadline = trefoil::Now() + kRequestTimeout });
  fmt::print("{} hosts, {} callers each, store: {} calls at a time of {} ms\n",
             aOptions.mHosts,
             aOptions.mCallers,
             aOptions.mStoreThreads,
             aOptions.mStoreMilliseconds);
  MeasureBaseline(aOptions, store);
  MeasureGroupedClaims(aOptions, store);
  return 0;
}

} // namespace

int
main(int aCount, char** aValues)
{
  const auto line = trefoil::ParseCommandLine(
    { .mUsage = kUsage, .mVersion = "trefoillb benches 0.1.0" }, aCount, aValues);
  if (line.mExit.has_value()) {
    return *line.mExit;
  }
  const auto hosts = NumberOption(line, "--hosts", 1);
  const auto callers = NumberOption(line, "--callers", 1);
  const auto seconds = NumberOption(line, "--seconds", 1);
  const auto threads = NumberOption(line, "--store-threads", 1);
  const auto milliseconds = NumberOption(line, "--store-ms", 0);
  if (!hosts || !callers || !seconds || !threads || !milliseconds) {
    return trefoil::kExitBadInput;
  }
  return Run({ .mHosts = *hosts,
               .mCallers = *callers,
               .mSeconds = *seconds,
               .mStoreThreads = *threads,
               .mStoreMilliseconds = *milliseconds });
}
