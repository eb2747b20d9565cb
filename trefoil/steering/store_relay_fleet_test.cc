// Simulates the watches and relays of a fleet on a clock of its own, and counts the calls to the
// store.
#include "trefoil/steering/prefix_watch.h"
#include "trefoil/steering/store_relay.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <functional>
#include <limits>
#include <random>

namespace trefoil {
namespace {

const Instant kStart{ std::chrono::hours{ 1 } };
constexpr Milliseconds kStep{ 10 };
// The values that the control thread uses.
constexpr Milliseconds kRelayingWait{ 500 };
constexpr Milliseconds kQueryInterval{ 400 };
constexpr Milliseconds kDrainWithin{ 3'000 };
// 94 servers rewrite their entries every 1,200 ms.
constexpr double kRefreshesPerStep = 94.0 * 10 / 1'200;

// The record of one prefix at one host, and its calls to the store.
struct SimulatedPrefix
{
  // How long a call waits without changes, and the time from an answer to the next call.
  Milliseconds mWait{ 0 };
  Milliseconds mDelay{ 0 };
  PrefixRecord mRecord;
  Instant mLastReceivedAt = kStart;
  // When the call in progress was sent, and when it is answered.
  std::optional<Instant> mSentAt;
  Instant mAnsweredAt;
  Instant mNextCallAt = kStart;
  int mCalls = 0;
  // Calls after which the keys were listed, since the store had dropped changes.
  int mLists = 0;
};

struct SimulatedHost
{
  HostId mName;
  StoreRelay mRelay;
  SimulatedPrefix mOperators;
  SimulatedPrefix mServers;
  Instant mNextQueryAt = kStart;
  bool mIsDown = false;
  // Whether the store rejects the calls of this host.
  bool mIsRejected = false;
  // When the host first knew of the change.
  std::optional<Instant> mKnownAt;
};

// Four zones, of which the first two hosts of each watch for it.
class SimulatedFleet
{
public:
  explicit SimulatedFleet(int aHostsInZone)
  {
    for (int zone = 0; zone < 4; ++zone) {
      for (int i = 0; i < aHostsInZone; ++i) {
        SimulatedHost& host = mHosts[Name(zone, i)];
        host.mName = Name(zone, i);
        host.mOperators.mWait = kRelayingWait;
        host.mServers.mDelay = GatherTime(kDrainWithin);
        host.mNextQueryAt += Milliseconds{ mRandom() % kQueryInterval.count() };
        AdoptPlan(
          host.mRelay,
          PlanRelay(host.mName, { Name(zone, 0), Name(zone, 1) }, { Name(0, 0), Name(1, 0) }),
          host.mName.Value().back() % 2);
        for (SimulatedPrefix* prefix : { &host.mOperators, &host.mServers }) {
          ApplyList(prefix->mRecord, {}, mRevision, kStart);
        }
      }
    }
  }

  static HostId Name(int aZone, int aHost)
  {
    return HostId{ fmt::format("{}-{:02}", aZone, aHost) };
  }
  SimulatedHost& Host(int aZone, int aHost) { return mHosts.at(Name(aZone, aHost)); }

  // An operator and a server write a key each, now.
  void Change()
  {
    mChangeRevision = ++mRevision;
    mChangedAt = mNow;
  }

  // The store drops the changes up to now, or all that are older than `aKeepsHistory`.
  void DropHistory() { mHistorySince = mRevision; }
  void SetHistory(Milliseconds aKeepsHistory) { mKeepsHistory = aKeepsHistory; }

  void Run(Milliseconds aTime)
  {
    const Instant end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      mRevisionAt[mNow] = mRevision;
      if (mKeepsHistory > Milliseconds{ 0 } && mRevisionAt.contains(mNow - mKeepsHistory)) {
        mHistorySince = std::max(mHistorySince, mRevisionAt.at(mNow - mKeepsHistory));
      }
      mRefreshes += kRefreshesPerStep;
      mRevision += static_cast<std::int64_t>(mRefreshes);
      mRefreshes -= static_cast<double>(static_cast<std::int64_t>(mRefreshes));
      for (auto& [name, host] : mHosts) {
        if (!host.mIsDown) {
          CallStore(host, host.mOperators, false);
          CallStore(host, host.mServers, true);
          Query(host);
        }
      }
    }
  }

  int Calls(SimulatedPrefix SimulatedHost::*aPrefix) const
  {
    int calls = 0;
    for (const auto& [name, host] : mHosts) {
      calls += (host.*aPrefix).mCalls;
    }
    return calls;
  }

  int Lists() const
  {
    int lists = 0;
    for (const auto& [name, host] : mHosts) {
      lists += host.mOperators.mLists + host.mServers.mLists;
    }
    return lists;
  }

  // The longest time from the change until a host knew of it that is up and not rejected.
  Milliseconds LongestDelay() const
  {
    Milliseconds longest{ 0 };
    for (const auto& [name, host] : mHosts) {
      if (!host.mIsDown && !host.mIsRejected) {
        const Instant knownAt = host.mKnownAt.value_or(Instant::max());
        longest = std::max(longest, std::chrono::duration_cast<Milliseconds>(knownAt - mChangedAt));
      }
    }
    return longest;
  }

private:
  bool HasChange(const SimulatedPrefix& aPrefix) const
  {
    return mChangeRevision > 0 && aPrefix.mRecord.mRevision >= mChangeRevision;
  }

  void Learn(SimulatedHost& aHost)
  {
    if (!aHost.mKnownAt.has_value() && HasChange(aHost.mOperators) && HasChange(aHost.mServers)) {
      aHost.mKnownAt = mNow;
    }
  }

  void CallStore(SimulatedHost& aHost, SimulatedPrefix& aPrefix, bool aIsRefreshed)
  {
    if (!aPrefix.mSentAt.has_value()) {
      const Instant due =
        IsRelayed(aHost.mRelay)
          ? std::max(aPrefix.mNextCallAt, StoreCallDueAt(aPrefix.mRecord, aPrefix.mLastReceivedAt))
          : aPrefix.mNextCallAt;
      if (due > mNow) {
        return;
      }
      ++aPrefix.mCalls;
      if (aHost.mIsRejected) {
        aPrefix.mNextCallAt = mNow + Milliseconds{ 400 };
        return;
      }
      aPrefix.mSentAt = mNow;
      aPrefix.mAnsweredAt = mNow + (IsRelayed(aHost.mRelay) ? kStep : aPrefix.mWait);
    }
    const bool isChanged = mChangeRevision > aPrefix.mRecord.mRevision;
    if (aHost.mIsRejected) {
      // The answer to a watch that was open when the store began to reject the host is lost.
      aPrefix.mSentAt.reset();
      aPrefix.mNextCallAt = mNow + Milliseconds{ 1'500 };
      return;
    }
    if (!isChanged && !aIsRefreshed && mNow < aPrefix.mAnsweredAt) {
      return;
    }
    std::vector<StoreItem> items;
    if (isChanged) {
      items.push_back({ .mKey = "changed", .mRevision = mChangeRevision });
    }
    if (aPrefix.mRecord.mRevision < mHistorySince) {
      ++aPrefix.mLists;
      items = *ChangesInList(aPrefix.mRecord, items, mRevision);
    }
    ApplyChanges(aPrefix.mRecord, items, mRevision, *aPrefix.mSentAt, true);
    aPrefix.mLastReceivedAt = mNow;
    aPrefix.mSentAt.reset();
    aPrefix.mNextCallAt = mNow + aPrefix.mDelay;
    Learn(aHost);
    Push(aHost);
  }

  void Query(SimulatedHost& aHost)
  {
    if (aHost.mNextQueryAt > mNow) {
      return;
    }
    aHost.mNextQueryAt = mNow + kQueryInterval;
    const auto target = NextQueryTarget(aHost.mRelay, mNow);
    if (!target.has_value() || mHosts.at(*target).mIsDown) {
      return;
    }
    SimulatedHost& watcher = mHosts.at(*target);
    watcher.mRelay.mSubscribers[aHost.mName].mLastReceivedAt = mNow;
    Reply(watcher, aHost, aHost.mRelay.mQueryNumber);
  }

  void Push(SimulatedHost& aHost)
  {
    for (auto& [name, subscriber] : aHost.mRelay.mSubscribers) {
      SimulatedHost& receiver = mHosts.at(name);
      subscriber.mOperatorRevision = receiver.mOperators.mRecord.mRevision;
      subscriber.mServerRevision = receiver.mServers.mRecord.mRevision;
      if (!receiver.mIsDown &&
          LacksChanges(subscriber, aHost.mOperators.mRecord, aHost.mServers.mRecord)) {
        Reply(aHost, receiver, 0);
      }
    }
  }

  void Reply(const SimulatedHost& aFrom, SimulatedHost& aTo, std::uint64_t aNumber)
  {
    const auto relayed = [&](const SimulatedPrefix& aHas, const SimulatedPrefix& aLacks) {
      return MakeRelayedPrefix(aHas.mRecord, aLacks.mRecord.mRevision, mNow);
    };
    const RelayedPrefix operators = relayed(aFrom.mOperators, aTo.mOperators);
    const RelayedPrefix servers = relayed(aFrom.mServers, aTo.mServers);
    const auto sentAt =
      OnRelayReply(aTo.mRelay, aNumber, Milliseconds{ std::max(operators.mAgeMs, servers.mAgeMs) });
    const bool hasOperatorNews = ApplyRelayed(aTo.mOperators, operators, sentAt);
    const bool hasServerNews = ApplyRelayed(aTo.mServers, servers, sentAt);
    Learn(aTo);
    if (hasOperatorNews || hasServerNews) {
      Push(aTo);
    }
  }

  bool ApplyRelayed(SimulatedPrefix& aPrefix,
                    const RelayedPrefix& aRelayed,
                    std::optional<Instant> aQuerySentAt) const
  {
    const UpdateOutcome outcome =
      ApplyPrefixUpdate(aPrefix.mRecord, MakePrefixUpdate(aRelayed, aQuerySentAt), true);
    if (outcome == UpdateOutcome::kBehind) {
      aPrefix.mNextCallAt = mNow;
    } else if (aQuerySentAt.has_value()) {
      aPrefix.mLastReceivedAt = mNow;
    }
    return outcome == UpdateOutcome::kChanged;
  }

  std::map<HostId, SimulatedHost> mHosts;
  std::mt19937_64 mRandom{ 7 };
  Instant mNow = kStart;
  std::int64_t mRevision = 100;
  double mRefreshes = 0;
  std::int64_t mChangeRevision = 0;
  Instant mChangedAt;
  std::map<Instant, std::int64_t> mRevisionAt;
  Milliseconds mKeepsHistory{ 0 };
  // The store has the changes after this revision.
  std::int64_t mHistorySince = 0;
};

constexpr Milliseconds kSettle{ 5'000 };
constexpr std::chrono::seconds kMinute{ 60 };

// Guards against: the calls to the store grow with the watchers of the zones or with the servers
// that rewrite their entries, and a failure makes bounds break or calls come without end.
SCENARIO("84 hosts in four zones follow the store")
{
  SimulatedFleet fleet{ 21 };
  // Changes come at different times between two calls of the store.
  fleet.Run(kSettle + Milliseconds{ GENERATE(0, 170, 340, 510, 680, 850) });
  const int operatorsBefore = fleet.Calls(&SimulatedHost::mOperators);
  const int serversBefore = fleet.Calls(&SimulatedHost::mServers);
  const auto callsSince = [&] {
    return std::pair{ fleet.Calls(&SimulatedHost::mOperators) - operatorsBefore,
                      fleet.Calls(&SimulatedHost::mServers) - serversBefore };
  };
  WHEN("nothing happens for a minute")
  {
    fleet.Run(kMinute);
    THEN("one host calls the store for all")
    {
      const auto [operators, servers] = callsSince();
      CAPTURE(operators, servers);
      CHECK(operators <= 125);
      CHECK(servers <= 63);
    }
  }
  WHEN("an operator and a server change their keys")
  {
    fleet.Change();
    fleet.Run(kSettle);
    THEN("all hosts know within the time for which changes are gathered, and a little")
    {
      CHECK(fleet.LongestDelay().count() <= 1'100);
    }
  }
  WHEN("the host that watches is lost as the keys change")
  {
    fleet.Host(0, 0).mIsDown = true;
    fleet.Change();
    fleet.Run(kSettle);
    THEN("the others know in time")
    {
      CHECK(fleet.LongestDelay().count() <= 2'500);
    }
    AND_WHEN("it stays away for a minute")
    {
      const auto before = callsSince();
      fleet.Run(kMinute);
      THEN("the host that stood by calls for all")
      {
        const auto after = callsSince();
        CAPTURE(after.first - before.first, after.second - before.second);
        CHECK(after.first - before.first <= 200);
        CHECK(after.second - before.second <= 120);
      }
    }
  }
  WHEN("the zone of the host that watches is lost as the keys change")
  {
    for (int i = 0; i < 21; ++i) {
      fleet.Host(0, i).mIsDown = true;
    }
    fleet.Change();
    fleet.Run(kSettle);
    THEN("the others know in time")
    {
      CHECK(fleet.LongestDelay().count() <= 2'500);
    }
  }
  WHEN("the store begins to reject the host that watches as the keys change")
  {
    fleet.Host(0, 0).mIsRejected = true;
    fleet.Change();
    fleet.Run(kSettle);
    THEN("all others know in time, and the rejected host is told")
    {
      CHECK(fleet.LongestDelay().count() <= 2'500);
      CHECK(fleet.Host(0, 0).mKnownAt.has_value());
    }
    AND_WHEN("that goes on for a minute")
    {
      const auto before = callsSince();
      fleet.Run(kMinute);
      THEN("the calls stay few, those that are rejected included")
      {
        const auto after = callsSince();
        CAPTURE(after.first - before.first, after.second - before.second);
        CHECK(after.first - before.first <= 450);
        CHECK(after.second - before.second <= 350);
      }
    }
  }
  WHEN("the store begins to reject every other host of all zones as the keys change")
  {
    for (int zone = 0; zone < 4; ++zone) {
      for (int i = 0; i < 21; i += 2) {
        fleet.Host(zone, i).mIsRejected = true;
      }
    }
    fleet.Change();
    fleet.Run(kSettle);
    THEN("the hosts that it serves know in time")
    {
      CHECK(fleet.LongestDelay().count() <= 2'500);
    }
  }
}

// Guards against: all hosts list the keys together after the store has dropped its history, and
// hosts that were cut off meanwhile miss a change that comes after a quiet time (CONFIG).
SCENARIO("the store drops its history while hosts are cut off")
{
  SimulatedFleet fleet{ 21 };
  fleet.SetHistory(std::chrono::seconds{ 20 });
  fleet.Run(kSettle);
  const auto setDown = [&fleet](bool aIsDown) {
    for (int zone = 0; zone < 4; ++zone) {
      for (int i = 0; i < 21; i += 3) {
        fleet.Host(zone, i).mIsDown = aIsDown;
      }
    }
  };
  WHEN("no host is cut off")
  {
    fleet.DropHistory();
    fleet.Run(kSettle);
    THEN("only the host that watches lists the keys")
    {
      CHECK(fleet.Lists() <= 2);
    }
  }
  WHEN("a third of the hosts is cut off, the one that watches included")
  {
    setDown(true);
    fleet.Run(kSettle);
    fleet.DropHistory();
    fleet.Run(kSettle);
    setDown(false);
    fleet.Run(kSettle);
    THEN("only hosts that were cut off list the keys, each prefix once")
    {
      CHECK(fleet.Lists() <= 2 * (28 + 2));
    }
    AND_WHEN("the next change comes after more time than the store keeps changes")
    {
      fleet.Run(std::chrono::seconds{ 25 });
      const int listsBefore = fleet.Lists();
      fleet.Change();
      fleet.Run(kSettle);
      THEN("all hosts are told in time, and none lists the keys")
      {
        CHECK(fleet.LongestDelay().count() <= 1'100);
        CHECK(fleet.Lists() == listsBefore);
      }
    }
  }
}

// Guards against: bounds of small deployments become looser, or long ones make records too old.
SCENARIO("changes are gathered for a part of the time within which they must be in force")
{
  CHECK(GatherTime(Milliseconds{ 1 }) == Milliseconds{ 500 });
  CHECK(GatherTime(Milliseconds{ 2'000 }) == Milliseconds{ 500 });
  CHECK(GatherTime(Milliseconds{ 2'600 }) == Milliseconds{ 800 });
  CHECK(GatherTime(Milliseconds{ 3'000 }) == Milliseconds{ 1'000 });
  CHECK(GatherTime(Milliseconds{ 60'000 }) == Milliseconds{ 1'000 });
}

} // namespace
} // namespace trefoil
