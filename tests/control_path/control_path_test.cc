// Runs a control thread and a traffic thread against a scripted store.
#include "tests/control_path/test_host.h"
#include "trefoil/base/base64.h"
#include "trefoil/net/exclusive_bind.h"
#include "trefoil/steering/control_thread.h"
#include "trefoil/steering/host_entry.h"
#include "trefoil/steering/prefix_watch.h"
#include "trefoil/steering/refusal_record.h"
#include "trefoil/wire/codec.h"

#include "absl/strings/numbers.h"
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <functional>
#include <future>
#include <memory>
#include <new>
#include <set>
#include <thread>

namespace trefoil {
namespace {

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

// Guards against requests to servers that have said they leave: a watch that was sent while the
// store was silent used to stay pending long after other calls had proved the store back (DRAIN).
SCENARIO("the store is silent while the servers are watched")
{
  SilentStore store;
  ScriptedServer storeServer{ [&store](const ReceivedRequest& aRequest) {
    return store.Answer(aRequest);
  } };
  const TestHost host{ storeServer };
  REQUIRE(AwaitReadyServers(host.OwnMetrics(), 1));
  WHEN("the store answers again, and the server is leaving")
  {
    REQUIRE(AwaitReadyServers(host.OwnMetrics(), 0));
    THEN("the host asks for the servers as soon as its other watch proves the store back")
    {
      // Each further watch of the operators' keys waits for a second.
      CHECK(store.AnsweredBeforeServers() <= 2);
    }
  }
}

// A store with two ready servers, the first of which leaves when told. Its watch tells of both.
class DrainingStore
{
public:
  Reply Answer(const ReceivedRequest& aRequest)
  {
    const std::string& target = aRequest.mRequest.mTarget;
    const std::string_view path = PathOf(target);
    const std::string prefix = QueryValue(target, "PathPrefix");
    const bool ofServers = prefix == kServerPrefix;
    const bool isDraining = mDraining;
    const int revision = isDraining ? kDrainingRevision : kRevision;
    const std::string servers =
      (isDraining ? ServerItem("draining", kDrainingRevision) : ServerItem("ready", 2)) + "," +
      ServerItem("ready", kRevision, "servers/i-2");
    if (path == "/trefoillb/kv-range") {
      std::string items = ofServers ? servers : std::string{};
      if (prefix == kOperatorPrefix) {
        items = ItemText("op/config", R"({"Version":1,"Routes":[]})", 1);
      }
      return Answered(aRequest,
                      fmt::format(R"({{"Items":[{}],"HasMore":false,"At":{}}})", items, revision));
    }
    if (path != "/trefoillb/kv-watch") {
      return { .mBytes = MakeAnswer(aRequest, path == "/trefoillb/kv-key" ? 404 : 503) };
    }
    std::int64_t after = 0;
    (void)absl::SimpleAtoi(QueryValue(target, "After"), &after);
    const bool hasChanged = ofServers && after < revision;
    if (!hasChanged) {
      std::this_thread::sleep_for(Milliseconds{ 200 });
    }
    return Answered(
      aRequest, fmt::format(R"({{"events":[{}],"At":{}}})", hasChanged ? servers : "", revision));
  }

  void LetServerLeave() { mDraining = true; }

private:
  static constexpr int kRevision = 3;
  static constexpr int kDrainingRevision = 4;

  static Reply Answered(const ReceivedRequest& aRequest, const std::string& aBody)
  {
    return { .mBytes = MakeAnswer(aRequest, 200, "", aBody) };
  }

  std::atomic<bool> mDraining{ false };
};

// How often the entry of the second server was decoded.
std::atomic<int> secondServerDecoded = 0;

// Throws when the entry of the second server is decoded for the second time.
absl::StatusOr<RegisteredServer>
DecodeWithoutMemory(const StoreItem& aItem)
{
  if (aItem.mKey == "servers/i-2" && ++secondServerDecoded == 2) {
    throw std::bad_alloc{};
  }
  return platform::MakeControlCodec().mDecodeServer(aItem);
}

// Guards against requests to servers that have said they leave: an exception at one entry used to
// lose the other entries of the same answer (DRAIN).
SCENARIO("an entry of a server cannot be applied")
{
  DrainingStore store;
  ScriptedServer storeServer{ [&store](const ReceivedRequest& aRequest) {
    return store.Answer(aRequest);
  } };
  ControlCodec codec = platform::MakeControlCodec();
  codec.mDecodeServer = DecodeWithoutMemory;
  secondServerDecoded = 0;
  const TestHost host{ storeServer, codec };
  REQUIRE(AwaitReadyServers(host.OwnMetrics(), 2));
  store.LetServerLeave();
  THEN("all entries are read again and applied")
  {
    CHECK(AwaitReadyServers(host.OwnMetrics(), 1));
    CHECK(secondServerDecoded >= 3);
  }
}

// A store that is restored from a copy once the host watches both prefixes. The copy has an older
// configuration, and a server that has left since as ready; afterwards the operator writes a newer
// configuration under a revision that was given out before.
class RestoredStore
{
public:
  Reply Answer(const ReceivedRequest& aRequest)
  {
    const std::string& target = aRequest.mRequest.mTarget;
    const std::string_view path = PathOf(target);
    const std::string prefix = QueryValue(target, "PathPrefix");
    const absl::MutexLock lock{ &mMutex };
    if (path == "/trefoillb/kv-range") {
      ++mLists;
      return Answered(aRequest, 200, List(prefix));
    }
    if (path == "/trefoillb/kv-watch") {
      std::int64_t after = 0;
      (void)absl::SimpleAtoi(QueryValue(target, "After"), &after);
      return Watch(aRequest, prefix, after);
    }
    return Answered(aRequest, path == "/trefoillb/kv-key" ? 404 : 503, "");
  }

  int Lists() const
  {
    const absl::MutexLock lock{ &mMutex };
    return mLists;
  }

private:
  static constexpr int kCopyRevision = 99;
  static constexpr int kRevision = 118;

  static std::string Configuration(int aVersion, int aRevision)
  {
    return ItemText("op/config",
                    fmt::format(R"({{"Version":{},"Routes":[],"Services":[]}})", aVersion),
                    aRevision);
  }

  std::string List(std::string_view aPrefix) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex)
  {
    std::string items;
    if (aPrefix == kOperatorPrefix) {
      items = mRestored ? Configuration(10, kCopyRevision) : Configuration(13, kRevision);
    } else if (aPrefix == kServerPrefix) {
      items = mRestored ? ServerItem("ready", 80) : ServerItem("draining", 110);
    }
    return fmt::format(
      R"({{"Items":[{}],"HasMore":false,"At":{}}})", items, mRestored ? kCopyRevision : kRevision);
  }

  Reply Watch(const ReceivedRequest& aRequest, const std::string& aPrefix, std::int64_t aAfter)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex)
  {
    mWatched.insert(aPrefix);
    if (mWatched.size() < 2) {
      // Repeated by the host, until it watches the other prefix, too.
      return Answered(aRequest, 503, "");
    }
    mRestored = true;
    if (aAfter > kCopyRevision + 1) {
      return Answered(aRequest, 410, "");
    }
    const std::string event =
      aPrefix == kOperatorPrefix ? Configuration(17, kCopyRevision + 1) : std::string{};
    return Answered(
      aRequest, 200, fmt::format(R"({{"events":[{}],"At":{}}})", event, kCopyRevision + 1));
  }

  Reply Answered(const ReceivedRequest& aRequest, int aStatus, const std::string& aBody) const
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex)
  {
    return { .mBytes = MakeAnswer(
               aRequest, aStatus, fmt::format("Store-Era: {}\r\n", mRestored ? 2 : 1), aBody) };
  }

  mutable absl::Mutex mMutex;
  std::set<std::string> mWatched ABSL_GUARDED_BY(mMutex);
  bool mRestored ABSL_GUARDED_BY(mMutex) = false;
  int mLists ABSL_GUARDED_BY(mMutex) = 0;
};

// Guards against confirmed configurations that never come into force after the store came back from
// a copy, as their revisions are below those of the store's former life (CONFIG).
SCENARIO("the store is restored from a copy")
{
  RestoredStore store;
  ScriptedServer storeServer{ [&store](const ReceivedRequest& aRequest) {
    return store.Answer(aRequest);
  } };
  const TestHost host{ storeServer };
  THEN("what operators write afterwards comes into force")
  {
    CHECK(AwaitGauge(host.OwnMetrics(), "trefoil_configuration_version 17"));
    CHECK(AwaitReadyServers(host.OwnMetrics(), 0));
  }
  THEN("the host does not list the keys over and over")
  {
    REQUIRE(AwaitGauge(host.OwnMetrics(), "trefoil_configuration_version 17"));
    const int lists = store.Lists();
    // Two prefixes, before and after the return, and the list of hosts.
    CHECK(lists <= 10);
  }
}

// A store that has nothing but the value of one key, which hosts read and write.
class SharedRecordStore
{
public:
  Reply Answer(const ReceivedRequest& aRequest)
  {
    const HttpRequest& request = aRequest.mRequest;
    const std::string_view path = PathOf(request.mTarget);
    const absl::MutexLock lock{ &mMutex };
    if (path == "/trefoillb/kv-key" && QueryValue(request.mTarget, "Key") == kKey &&
        !mValue.empty()) {
      return { .mBytes = MakeAnswer(aRequest, 200, "", ItemText(kKey, mValue, 1)) };
    }
    if (path == "/trefoillb/kv-range") {
      return { .mBytes = MakeAnswer(aRequest, 200, "", R"({"Items":[],"HasMore":false,"At":2})") };
    }
    if (path == "/trefoillb/kv-txn") {
      const auto body =
        Poco::JSON::Parser{}.parse(request.mBody).extract<Poco::JSON::Object::Ptr>();
      for (const auto& write : *body->getArray("Writes")) {
        const auto& item = *write.extract<Poco::JSON::Object::Ptr>();
        if (item.getValue<std::string>("Key") == kKey) {
          mValue = FromBase64(item.getValue<std::string>("Value"));
        }
      }
      return { .mBytes = MakeAnswer(aRequest, 200, "", R"({"Revision":3})") };
    }
    return { .mBytes = MakeAnswer(aRequest, path == "/trefoillb/kv-key" ? 404 : 503) };
  }

  std::string Value() const
  {
    const absl::MutexLock lock{ &mMutex };
    return mValue;
  }

  static constexpr const char* kKey = kRefusalRecordKey;

private:
  mutable absl::Mutex mMutex;
  std::string mValue ABSL_GUARDED_BY(mMutex);
};

// Waits until the host refuses the part, or no longer refuses it. Returns whether it does.
bool
AwaitRefusal(TestHost& aHost, PromptPartKey aPart, bool aRefused)
{
  const Instant deadline = SuspendAwareNow() + kTestTimeout;
  while (!HasPassed(deadline, SuspendAwareNow())) {
    std::promise<TrafficReport> report;
    aHost.Traffic().Report([&](TrafficReport aReport) { report.set_value(std::move(aReport)); });
    const auto& refusals = report.get_future().get().mCrashes.mRefusals;
    const auto refusal = refusals.find(aPart);
    if ((refusal != refusals.end() && !refusal->second.mAnswered) == aRefused) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

// Waits until the record in the store has a part, or none. Returns whether it does.
bool
AwaitRecord(const SharedRecordStore& aStore, bool aHasPart)
{
  const Instant deadline = SuspendAwareNow() + kTestTimeout;
  while (!HasPassed(deadline, SuspendAwareNow())) {
    const auto record =
      ParseRefusalRecord(aStore.Value(), { .mNow = SuspendAwareNow(), .mWallNow = WallNow() });
    if (record.ok() && record->empty() != aHasPart) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

// Guards against servers that crash again under a part of prompts after all hosts, which knew it
// and refused it, were killed (BUDGET).
SCENARIO("all hosts are killed while they refuse a part of prompts")
{
  constexpr PromptPartKey kPart = 0xfedcba9876543210;
  SharedRecordStore store;
  const ScriptedServer storeServer{ [&store](const ReceivedRequest& aRequest) {
    return store.Answer(aRequest);
  } };
  const auto applyRefusal = [kPart](TestHost& aHost, bool aAnswered) {
    CrashEvidence evidence;
    evidence.mRefusals[kPart] = { .mUntil = SuspendAwareNow() + 2 * kTestTimeout,
                                  .mGeneration = 1,
                                  .mLevel = 1,
                                  .mAnswered = aAnswered };
    aHost.Traffic().ApplyCrashEvidence(evidence);
  };
  {
    TestHost before{ storeServer };
    applyRefusal(before, false);
    REQUIRE(AwaitRecord(store, true));
  }
  TestHost after{ storeServer };
  THEN("the hosts that start refuse it")
  {
    CHECK(AwaitRefusal(after, kPart, true));
  }
  WHEN("a request with the part has been answered since")
  {
    REQUIRE(AwaitRefusal(after, kPart, true));
    applyRefusal(after, true);
    THEN("the record has it no longer")
    {
      CHECK(AwaitRecord(store, false));
    }
  }
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

constexpr const char* kQuotaAccount = "club";

// A store that lists the hosts of a large fleet, all at one endpoint, and an account with a quota
// that hardly refills.
std::string
FleetList(std::string_view aPrefix, const Endpoint& aHosts)
{
  constexpr int kHosts = 40;
  std::vector<std::string> items;
  if (aPrefix == kOperatorPrefix) {
    items.push_back(
      ItemText("op/config",
               fmt::format(R"({{"Version":1,"Routes":[],"Services":[],"Tenants":[{{"Name":"{}",)"
                           R"("ApiKeys":["k"],"Unit":"tokens","RatePerS":1,"Burst":1000000}}]}})",
                           kQuotaAccount),
               1));
  } else if (aPrefix == kHostPrefix) {
    for (int i = 2; i < kHosts + 2; ++i) {
      items.push_back(
        ItemText(HostKey(AvailabilityZoneId{ "a" }, HostId{ fmt::format("host-{}", i) }),
                 ToText(aHosts),
                 1));
    }
  }
  return fmt::format(R"({{"Items":[{}],"HasMore":false,"At":2}})", fmt::join(items, ","));
}

// An aggregator of the zone of a host, as far as the host's reports and the quota go.
class TestAggregator
{
public:
  TestAggregator() { BindExclusively(mSocket, mEndpoint); }

  const Endpoint& OwnEndpoint() const { return mEndpoint; }

  // Reads what has arrived, for at most `aWait`. Returns whether it has a report of another round
  // than the last one.
  bool ReadNewReport(Milliseconds aWait)
  {
    const Instant deadline = SuspendAwareNow() + aWait;
    std::array<char, 65'507> buffer{};
    do {
      if (!mSocket.poll(Poco::Timespan{ 0, 1'000 }, Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      const int count = mSocket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      const auto message = Decode({ buffer.data(), static_cast<std::size_t>(count) });
      const auto* report = message.ok() ? std::get_if<HostReport>(&*message) : nullptr;
      if (report != nullptr &&
          std::exchange(mRound, report->mUpdate.mSequence) != report->mUpdate.mSequence) {
        return true;
      }
    } while (!HasPassed(deadline, SuspendAwareNow()));
    return false;
  }

  // Tells the host that the others have used this much more of the quota.
  void SendTotals(const Endpoint& aTo, std::uint64_t aUsed)
  {
    mUsed += aUsed;
    const std::string bytes = Encode(TotalsMessage{
      .mHost = HostId{ "host-2" },
      .mEpoch = 1,
      .mSequence = ++mSequence,
      .mZone = AvailabilityZoneId{ "a" },
      .mScope = TotalsScope::kFleet,
      .mLiveHosts = 40,
      .mWallMs = UnixMilliseconds(WallNow()),
      .mCounters = {
        { .mKind = CounterKind::kQuotaUsed, .mSubject = kQuotaAccount, .mTotal = mUsed } } });
    mSocket.sendTo(bytes.data(),
                   static_cast<int>(bytes.size()),
                   Poco::Net::SocketAddress{ aTo.mAddress, aTo.mPort });
  }

private:
  Endpoint mEndpoint = FreeEndpoint();
  Poco::Net::DatagramSocket mSocket;
  std::uint64_t mRound = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mUsed = 0;
};

// Returns what the host takes to be left of the quota.
double
QuotaLevel(TestHost& aHost)
{
  std::promise<TrafficReport> report;
  aHost.Traffic().Report([&](TrafficReport aReport) { report.set_value(std::move(aReport)); });
  const auto quotas = report.get_future().get().mQuotaUsed;
  const auto quota = quotas.find(ClientAccountId{ kQuotaAccount });
  return quota == quotas.end() ? 0.0 : quota->second.mSnapshot.mLevel;
}

// Guards against requests beyond a quota that are admitted while the host keeps what it has been
// told until its next round (QUOTA).
SCENARIO("a host of a large fleet is told what the others have used of a quota")
{
  TestAggregator aggregator;
  const ScriptedServer store{ [&aggregator](const ReceivedRequest& aRequest) {
    const std::string& target = aRequest.mRequest.mTarget;
    const std::string_view path = PathOf(target);
    if (path == "/trefoillb/kv-range") {
      return Reply{
        .mBytes = MakeAnswer(
          aRequest, 200, "", FleetList(QueryValue(target, "PathPrefix"), aggregator.OwnEndpoint()))
      };
    }
    if (path == "/trefoillb/kv-watch") {
      return Reply{ .mHang = true };
    }
    return Reply{ .mBytes = MakeAnswer(aRequest, path == "/trefoillb/kv-key" ? 404 : 503) };
  } };
  TestHost host{ store };
  constexpr std::uint64_t kUsed = 1'000;
  // The first message only aligns the totals.
  const auto tell = [&] {
    REQUIRE(aggregator.ReadNewReport(kTestTimeout));
    aggregator.SendTotals(host.PeerEndpoint(), kUsed);
  };
  tell();
  tell();
  REQUIRE(aggregator.ReadNewReport(kTestTimeout));
  constexpr int kRounds = 6;
  int appliedAtOnce = 0;
  for (int round = 0; round < kRounds; ++round) {
    const double before = QuotaLevel(host);
    tell();
    const Instant deadline = SuspendAwareNow() + kTestTimeout;
    while (QuotaLevel(host) > before - kUsed / 2.0 && !HasPassed(deadline, SuspendAwareNow())) {
      std::this_thread::sleep_for(kPollInterval);
    }
    REQUIRE(QuotaLevel(host) <= before - kUsed / 2.0);
    // What is applied in a round is followed by the report of that round.
    appliedAtOnce += aggregator.ReadNewReport(5 * kPollInterval) ? 0 : 1;
  }
  THEN("it applies that before it reports again")
  {
    // A busy machine can delay single messages by an interval.
    CHECK(2 * appliedAtOnce > kRounds);
  }
}

} // namespace
} // namespace trefoil
