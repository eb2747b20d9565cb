#include "trefoil/simulation/control_network.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace trefoil {
namespace {

constexpr Milliseconds kSettle{ 40'000 };
// Within which a leaving server gets no new work.
constexpr Milliseconds kLeavingBound{ 2'000 };

bool
Runs(ControlNetwork& aNetwork, std::size_t aHost)
{
  return aNetwork.Host(aHost).mCondition == HostCondition::kRunning;
}

// Returns the state in which `aObserver` holds `aHost`, nothing if it does not know it.
std::optional<MemberState>
StateSeen(ControlNetwork& aNetwork, std::size_t aObserver, std::size_t aHost)
{
  const auto& members = aNetwork.Host(aObserver).mState.mGossip.mMembers.mByHost;
  const auto found = members.find(aNetwork.IdOf(aHost));
  if (found == members.end()) {
    return std::nullopt;
  }
  return found->second.mState;
}

// Returns whether every running host holds the running hosts of its zone alive, and no other.
bool
MembersAgree(ControlNetwork& aNetwork)
{
  for (std::size_t a = 0; a < aNetwork.HostCount(); ++a) {
    for (std::size_t b = 0; b < aNetwork.HostCount(); ++b) {
      if (a == b || !Runs(aNetwork, a) || aNetwork.ZoneOf(a) != aNetwork.ZoneOf(b)) {
        continue;
      }
      const bool alive = StateSeen(aNetwork, a, b) == MemberState::kAlive;
      if (alive != Runs(aNetwork, b)) {
        return false;
      }
    }
  }
  return true;
}

bool
AllHave(ControlNetwork& aNetwork, std::uint64_t aRevision)
{
  for (std::size_t i = 0; i < aNetwork.HostCount(); ++i) {
    if (Runs(aNetwork, i) && aNetwork.RevisionOn(i) != aRevision) {
      return false;
    }
  }
  return true;
}

// Returns whether every running host gives a server no new work.
bool
AllAvoid(ControlNetwork& aNetwork, const BackendServerId& aServer)
{
  for (std::size_t i = 0; i < aNetwork.HostCount(); ++i) {
    if (Runs(aNetwork, i) && !aNetwork.Host(i).mSnapshot->mNotUp->contains(aServer)) {
      return false;
    }
  }
  return true;
}

// Returns whether every running host may give a server new work.
bool
NoneAvoids(ControlNetwork& aNetwork, const BackendServerId& aServer)
{
  for (std::size_t i = 0; i < aNetwork.HostCount(); ++i) {
    if (Runs(aNetwork, i) && aNetwork.Host(i).mSnapshot->mNotUp->contains(aServer)) {
      return false;
    }
  }
  return true;
}

std::size_t
WatcherCount(ControlNetwork& aNetwork)
{
  std::size_t watchers = 0;
  for (std::size_t i = 0; i < aNetwork.HostCount(); ++i) {
    watchers += aNetwork.Host(i).mWatchesStore ? 1 : 0;
  }
  return watchers;
}

TEST_CASE("Entry hosts of three zones act together")
{
  ControlNetwork network{ { .mZones = 3, .mHostsOfZone = 5, .mServersOfZone = 4 } };
  network.PutDocument();
  REQUIRE(network.RunUntil([&] { return MembersAgree(network) && AllHave(network, 1); }, kSettle));

  SECTION("two hosts of a zone watch the store")
  {
    CHECK(network.RunUntil([&] { return WatcherCount(network) == 6; }, kSettle));
  }
  SECTION("a document is known to be in force everywhere")
  {
    const ServiceId service{ "rules" };
    CHECK(network.RunUntil(
      [&] {
        const auto& spread = network.Host(7).mSnapshot->mServices.at(service).mPropagation;
        return spread.mReachedAllHostsAt.has_value();
      },
      kSettle));
    SECTION("which is not claimed while a zone is cut off")
    {
      network.CutZone(0, true);
      network.Run(kZoneDigestMaxAge);
      const std::uint64_t newest = network.PutDocument();
      network.Run(kSettle);
      const auto& view = network.Host(7).mSnapshot->mServices.at(service);
      CHECK(view.mRevision == newest);
      CHECK_FALSE(view.mPropagation.mReachedAllHostsAt.has_value());
    }
  }
  SECTION("a zone that is cut off from the store has documents from other zones")
  {
    network.CutStore(2, true);
    network.Run(kSettle);
    const std::uint64_t newest = network.PutDocument();
    CHECK(network.RunUntil([&] { return AllHave(network, newest); }, Milliseconds{ 13'000 }));
  }
  SECTION("a refused document leaves the last good one in force, also on a new host")
  {
    network.PutDocument(false);
    network.Run(Milliseconds{ 5'000 });
    network.Kill(3);
    network.Run(Milliseconds{ 1'000 });
    network.Restart(3);
    CHECK(network.RunUntil([&] { return AllHave(network, 1); }, kSettle));
    CHECK_FALSE(
      network.Host(3).mState.mConfig.mDocuments.mByService.begin()->second.mRefusal.empty());
  }
  SECTION("a leaving server gets no new work after the bound")
  {
    SECTION("when all is well") {}
    SECTION("when its zone is cut off from the store")
    {
      network.CutStore(0, true);
    }
    network.Run(kSettle);
    network.Server(1).mLeaving = true;
    CHECK(network.RunUntil([&] { return AllAvoid(network, network.Server(1).mServer); },
                           kLeavingBound));
  }
  SECTION("a dead server is avoided, and used again once it is back")
  {
    network.Server(1).mUp = false;
    const auto avoided = [&] { return AllAvoid(network, network.Server(1).mServer); };
    CHECK(network.RunUntil(avoided, kSettle));
    network.Server(1).mUp = true;
    ++network.Server(1).mIncarnation;
    CHECK(
      network.RunUntil([&] { return NoneAvoids(network, network.Server(1).mServer); }, kSettle));
  }
  SECTION("a host that leaves is told of at once")
  {
    network.Host(1).mState.mGossip.mSelf.mLeaving = true;
    CHECK(network.RunUntil([&] { return StateSeen(network, 0, 1) == MemberState::kLeaving; },
                           Milliseconds{ 2'000 }));
  }
  SECTION("a frozen process that thaws does not act on its old view")
  {
    network.Run(kSettle);
    network.Freeze(1);
    network.Run(Milliseconds{ 60'000 });
    REQUIRE(StateSeen(network, 0, 1) == MemberState::kDead);
    CHECK_FALSE(IsFresh(*network.Host(1).mSnapshot, network.Now()));
    network.Thaw(1);
    CHECK_FALSE(IsFresh(*network.Host(1).mSnapshot, network.Now()));

    SECTION("before it has heard from another host")
    {
      CHECK(network.RunUntil([&] { return IsFresh(*network.Host(1).mSnapshot, network.Now()); },
                             kEchoTimeout));
      SECTION("and holds no other host dead for its own freeze")
      {
        CHECK(StateSeen(network, 1, 0) == MemberState::kAlive);
      }
    }
    SECTION("and is alive again for the others")
    {
      CHECK(network.RunUntil([&] { return MembersAgree(network); }, kSettle));
    }
  }
}

// One random disturbance.
void
Disturb(ControlNetwork& aNetwork)
{
  const auto host = *rc::gen::inRange<std::size_t>(0, aNetwork.HostCount());
  const auto zone = aNetwork.ZoneOf(host);
  switch (*rc::gen::inRange(0, 10)) {
    case 0:
    case 1:
      aNetwork.Freeze(host);
      break;
    case 2:
    case 3:
      aNetwork.Thaw(host);
      break;
    case 4:
      aNetwork.Kill(host);
      break;
    case 5:
      aNetwork.Restart(host);
      break;
    case 6:
      aNetwork.CutZone(zone, *rc::gen::arbitrary<bool>());
      break;
    case 7:
      aNetwork.CutStore(zone, *rc::gen::arbitrary<bool>());
      break;
    default:
      aNetwork.PutDocument();
      break;
  }
  aNetwork.Run(Milliseconds{ *rc::gen::inRange(0, 12'000) });
}

// Ends all disturbances. A host that is down stays so.
void
Heal(ControlNetwork& aNetwork)
{
  for (std::size_t i = 0; i < aNetwork.HostCount(); ++i) {
    aNetwork.Thaw(i);
    aNetwork.CutZone(aNetwork.ZoneOf(i), false);
    aNetwork.CutStore(aNetwork.ZoneOf(i), false);
  }
}

// Watches every snapshot of every host for what must never happen.
struct Watcher
{
  std::vector<std::uint64_t> mHighest;
  std::vector<std::uint64_t> mStarts;
  // Whether a host has a report that server 0 is leaving.
  std::vector<bool> mKnowsLeaving;
  // Whether all hosts know it, so that none may use it from here on.
  bool mAllAvoid = false;
  bool mRevisionWentDown = false;
  bool mLeavingServerUsedAgain = false;
};

void
Observe(Watcher& aWatcher, ControlNetwork& aNetwork, std::size_t aHost)
{
  const SimulatedHost& host = aNetwork.Host(aHost);
  const std::uint64_t revision = aNetwork.RevisionOn(aHost);
  const SimulatedServer& server = aNetwork.Server(0);
  const bool avoids = host.mSnapshot->mNotUp->contains(server.mServer);
  const auto report = host.mSnapshot->mServers->find(server.mServer);
  const bool knows =
    report != host.mSnapshot->mServers->end() && report->second.mState == ServerState::kLeaving;
  if (host.mStarts == aWatcher.mStarts[aHost]) {
    const bool wentDown = revision < aWatcher.mHighest[aHost];
    const bool settled = aWatcher.mKnowsLeaving[aHost] || aWatcher.mAllAvoid;
    const bool usedAgain = server.mLeaving && settled && !avoids;
    aWatcher.mRevisionWentDown = aWatcher.mRevisionWentDown || wentDown;
    aWatcher.mLeavingServerUsedAgain = aWatcher.mLeavingServerUsedAgain || usedAgain;
  }
  aWatcher.mStarts[aHost] = host.mStarts;
  aWatcher.mHighest[aHost] = revision;
  aWatcher.mKnowsLeaving[aHost] = server.mLeaving && knows;
}

TEST_CASE("Whatever is lost, late, repeated, frozen, restarted or cut off")
{
  const bool holds = rc::check("revisions go up only and hosts agree in the end", [] {
    ControlNetwork network{ { .mZones = 2,
                              .mHostsOfZone = 3,
                              .mServersOfZone = 1,
                              .mLostPercent = *rc::gen::inRange(0U, 30U),
                              .mRepeatedPercent = *rc::gen::inRange(0U, 30U),
                              .mMaxDelayMilliseconds = *rc::gen::inRange(1U, 2'000U),
                              .mSeed = *rc::gen::arbitrary<std::uint64_t>() } };
    const std::size_t hosts = network.HostCount();
    Watcher watcher{ .mHighest = std::vector<std::uint64_t>(hosts),
                     .mStarts = std::vector<std::uint64_t>(hosts),
                     .mKnowsLeaving = std::vector<bool>(hosts) };
    network.mOnPublished = [&](std::size_t aHost) { Observe(watcher, network, aHost); };
    network.PutDocument();
    for (int i = *rc::gen::inRange(0, 8); i > 0; --i) {
      Disturb(network);
    }
    network.Server(0).mLeaving = true;
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
      Disturb(network);
    }
    Heal(network);
    const std::uint64_t newest = network.PutDocument();
    RC_ASSERT(network.RunUntil([&] { return MembersAgree(network); }, 10 * kSettle));
    RC_ASSERT(network.RunUntil([&] { return AllHave(network, newest); }, 10 * kSettle));
    const auto avoided = [&] { return AllAvoid(network, network.Server(0).mServer); };
    RC_ASSERT(network.RunUntil(avoided, kSettle));
    network.Run(kLeavingBound);
    watcher.mAllAvoid = true;
    network.Run(kSettle);
    RC_ASSERT(avoided());
    RC_ASSERT(!watcher.mRevisionWentDown);
    RC_ASSERT(!watcher.mLeavingServerUsedAgain);
    network.Server(0).mLeaving = false;
    ++network.Server(0).mIncarnation;
    RC_ASSERT(network.RunUntil([&] { return NoneAvoids(network, network.Server(0).mServer); },
                               10 * kSettle));
  });
  CHECK(holds);
}

} // namespace
} // namespace trefoil
