#include "trefoil/simulation/control_network.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace trefoil {
namespace {

constexpr Milliseconds kSettlingTime{ 40'000 };
// Maximum time from when a server starts to leave until no host sends it new requests.
constexpr Milliseconds kMaxLeavingDelay{ 2'000 };

bool
IsRunning(ControlNetwork& aNetwork, std::size_t aHost)
{
  return aNetwork.Host(aHost).mCondition == HostCondition::kRunning;
}

// Returns the member state that `aObserver` has for `aHost`, or std::nullopt if `aHost` is not in
// its member list.
std::optional<MemberState>
ObservedState(ControlNetwork& aNetwork, std::size_t aObserver, std::size_t aHost)
{
  const auto& members = aNetwork.Host(aObserver).mState.mGossip.mMembers.mByHost;
  const auto found = members.find(aNetwork.IdOf(aHost));
  if (found == members.end()) {
    return std::nullopt;
  }
  return found->second.mState;
}

// Returns whether every running host considers exactly the running hosts of its zone alive.
bool
MembersAgree(ControlNetwork& aNetwork)
{
  for (std::size_t a = 0; a < aNetwork.HostCount(); ++a) {
    for (std::size_t b = 0; b < aNetwork.HostCount(); ++b) {
      if (a == b || !IsRunning(aNetwork, a) || aNetwork.ZoneOf(a) != aNetwork.ZoneOf(b)) {
        continue;
      }
      const bool alive = ObservedState(aNetwork, a, b) == MemberState::kAlive;
      if (alive != IsRunning(aNetwork, b)) {
        return false;
      }
    }
  }
  return true;
}

bool
AllHostsHaveRevision(ControlNetwork& aNetwork, std::uint64_t aRevision)
{
  for (std::size_t i = 0; i < aNetwork.HostCount(); ++i) {
    if (IsRunning(aNetwork, i) && aNetwork.RevisionOn(i) != aRevision) {
      return false;
    }
  }
  return true;
}

// Returns whether no running host sends new requests to `aServer`.
bool
AllHostsAvoid(ControlNetwork& aNetwork, const BackendServerId& aServer)
{
  for (std::size_t i = 0; i < aNetwork.HostCount(); ++i) {
    if (IsRunning(aNetwork, i) && !aNetwork.Host(i).mSnapshot->mNotUp->contains(aServer)) {
      return false;
    }
  }
  return true;
}

// Returns whether every running host may send new requests to `aServer`.
bool
NoHostAvoids(ControlNetwork& aNetwork, const BackendServerId& aServer)
{
  for (std::size_t i = 0; i < aNetwork.HostCount(); ++i) {
    if (IsRunning(aNetwork, i) && aNetwork.Host(i).mSnapshot->mNotUp->contains(aServer)) {
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

TEST_CASE("Entry hosts of three zones converge on one control state")
{
  ControlNetwork network{ { .mZones = 3, .mHostsPerZone = 5, .mServersPerZone = 4 } };
  network.PutDocument();
  REQUIRE(network.RunUntil(
    [&] { return MembersAgree(network) && AllHostsHaveRevision(network, 1); }, kSettlingTime));

  SECTION("two hosts of a zone watch the store")
  {
    CHECK(network.RunUntil([&] { return WatcherCount(network) == 6; }, kSettlingTime));
  }
  SECTION("a host observes when a document is in force on all hosts")
  {
    const ServiceId service{ "rules" };
    CHECK(network.RunUntil(
      [&] {
        const auto& propagation = network.Host(7).mSnapshot->mServices.at(service).mPropagation;
        return propagation.mReachedAllHostsAt.has_value();
      },
      kSettlingTime));
    SECTION("but does not report a new revision as such while a zone is partitioned")
    {
      network.SetZonePartitioned(0, true);
      network.Run(kZoneDigestMaxAge);
      const std::uint64_t newest = network.PutDocument();
      network.Run(kSettlingTime);
      const auto& view = network.Host(7).mSnapshot->mServices.at(service);
      CHECK(view.mRevision == newest);
      CHECK_FALSE(view.mPropagation.mReachedAllHostsAt.has_value());
    }
  }
  SECTION("a zone partitioned from the store fetches documents from other zones")
  {
    network.SetStorePartitioned(2, true);
    network.Run(kSettlingTime);
    const std::uint64_t newest = network.PutDocument();
    CHECK(network.RunUntil([&] { return AllHostsHaveRevision(network, newest); },
                           Milliseconds{ 13'000 }));
  }
  SECTION("a refused document leaves the last valid one in force, also on a restarted host")
  {
    network.PutDocument(false);
    network.Run(Milliseconds{ 5'000 });
    network.Kill(3);
    network.Run(Milliseconds{ 1'000 });
    network.Restart(3);
    CHECK(network.RunUntil([&] { return AllHostsHaveRevision(network, 1); }, kSettlingTime));
    CHECK_FALSE(
      network.Host(3).mState.mConfig.mDocuments.mByService.begin()->second.mRefusal.empty());
  }
  SECTION("a leaving server gets no new requests after the maximum delay")
  {
    SECTION("without faults") {}
    SECTION("when its zone is partitioned from the store")
    {
      network.SetStorePartitioned(0, true);
    }
    network.Run(kSettlingTime);
    network.Server(1).mLeaving = true;
    CHECK(network.RunUntil([&] { return AllHostsAvoid(network, network.Server(1).mServer); },
                           kMaxLeavingDelay));
  }
  SECTION("a dead server is avoided, and used again after it restarts")
  {
    network.Server(1).mUp = false;
    const auto avoided = [&] { return AllHostsAvoid(network, network.Server(1).mServer); };
    CHECK(network.RunUntil(avoided, kSettlingTime));
    network.Server(1).mUp = true;
    ++network.Server(1).mIncarnation;
    CHECK(network.RunUntil([&] { return NoHostAvoids(network, network.Server(1).mServer); },
                           kSettlingTime));
  }
  SECTION("a leaving host is announced to its peers within two seconds")
  {
    network.Host(1).mState.mGossip.mSelf.mLeaving = true;
    CHECK(network.RunUntil([&] { return ObservedState(network, 0, 1) == MemberState::kLeaving; },
                           Milliseconds{ 2'000 }));
  }
  SECTION("a thawed process does not act on its stale snapshot")
  {
    network.Run(kSettlingTime);
    network.Freeze(1);
    network.Run(Milliseconds{ 60'000 });
    REQUIRE(ObservedState(network, 0, 1) == MemberState::kDead);
    CHECK_FALSE(IsFresh(*network.Host(1).mSnapshot, network.Now()));
    network.Thaw(1);
    CHECK_FALSE(IsFresh(*network.Host(1).mSnapshot, network.Now()));

    SECTION("until another host has echoed its message")
    {
      CHECK(network.RunUntil([&] { return IsFresh(*network.Host(1).mSnapshot, network.Now()); },
                             kEchoTimeout));
      SECTION("and does not declare other hosts dead because of its own freeze")
      {
        CHECK(ObservedState(network, 1, 0) == MemberState::kAlive);
      }
    }
    SECTION("and the other hosts consider it alive again")
    {
      CHECK(network.RunUntil([&] { return MembersAgree(network); }, kSettlingTime));
    }
  }
}

// Injects one random fault, or a new document, and lets up to 12 s pass.
void
InjectFault(ControlNetwork& aNetwork)
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
      aNetwork.SetZonePartitioned(zone, *rc::gen::arbitrary<bool>());
      break;
    case 7:
      aNetwork.SetStorePartitioned(zone, *rc::gen::arbitrary<bool>());
      break;
    default:
      aNetwork.PutDocument();
      break;
  }
  aNetwork.Run(Milliseconds{ *rc::gen::inRange(0, 12'000) });
}

// Thaws all hosts and ends all partitions. Hosts that are down stay down.
void
RemoveFaults(ControlNetwork& aNetwork)
{
  for (std::size_t i = 0; i < aNetwork.HostCount(); ++i) {
    aNetwork.Thaw(i);
    aNetwork.SetZonePartitioned(aNetwork.ZoneOf(i), false);
    aNetwork.SetStorePartitioned(aNetwork.ZoneOf(i), false);
  }
}

// Checks every published snapshot of every host for violations of invariants.
struct InvariantChecker
{
  std::vector<std::uint64_t> mLastRevision;
  std::vector<std::uint64_t> mStartCount;
  // Per host: whether its last snapshot had a report that server 0 is leaving.
  std::vector<bool> mHasLeavingReport;
  // Set once all hosts avoid server 0, after which none may use it until it restarts.
  bool mMustBeAvoided = false;
  bool mRevisionWentDown = false;
  bool mLeavingServerUsedAgain = false;
};

void
CheckInvariants(InvariantChecker& aChecker, ControlNetwork& aNetwork, std::size_t aHost)
{
  const SimulatedHost& host = aNetwork.Host(aHost);
  const std::uint64_t revision = aNetwork.RevisionOn(aHost);
  const SimulatedServer& server = aNetwork.Server(0);
  const bool avoids = host.mSnapshot->mNotUp->contains(server.mServer);
  const auto report = host.mSnapshot->mServers->find(server.mServer);
  const bool hasLeavingReport =
    report != host.mSnapshot->mServers->end() && report->second.mState == ServerState::kLeaving;
  if (host.mStartCount == aChecker.mStartCount[aHost]) {
    const bool wentDown = revision < aChecker.mLastRevision[aHost];
    const bool mustBeAvoided = aChecker.mHasLeavingReport[aHost] || aChecker.mMustBeAvoided;
    const bool usedAgain = server.mLeaving && mustBeAvoided && !avoids;
    aChecker.mRevisionWentDown = aChecker.mRevisionWentDown || wentDown;
    aChecker.mLeavingServerUsedAgain = aChecker.mLeavingServerUsedAgain || usedAgain;
  }
  aChecker.mStartCount[aHost] = host.mStartCount;
  aChecker.mLastRevision[aHost] = revision;
  aChecker.mHasLeavingReport[aHost] = server.mLeaving && hasLeavingReport;
}

TEST_CASE(
  "Control state converges after message loss, delay, duplication, freezes, restarts, partitions")
{
  const bool holds =
    rc::check("revisions never decrease on a host and all hosts agree after the faults end", [] {
      ControlNetwork network{ { .mZones = 2,
                                .mHostsPerZone = 3,
                                .mServersPerZone = 1,
                                .mLostPercent = *rc::gen::inRange(0U, 30U),
                                .mDuplicatedPercent = *rc::gen::inRange(0U, 30U),
                                .mMaxDelayMilliseconds = *rc::gen::inRange(1U, 2'000U),
                                .mSeed = *rc::gen::arbitrary<std::uint64_t>() } };
      const std::size_t hosts = network.HostCount();
      InvariantChecker checker{ .mLastRevision = std::vector<std::uint64_t>(hosts),
                                .mStartCount = std::vector<std::uint64_t>(hosts),
                                .mHasLeavingReport = std::vector<bool>(hosts) };
      network.mOnPublished = [&](std::size_t aHost) { CheckInvariants(checker, network, aHost); };
      network.PutDocument();
      for (int i = *rc::gen::inRange(0, 8); i > 0; --i) {
        InjectFault(network);
      }
      network.Server(0).mLeaving = true;
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        InjectFault(network);
      }
      RemoveFaults(network);
      const std::uint64_t newest = network.PutDocument();
      RC_ASSERT(network.RunUntil([&] { return MembersAgree(network); }, 10 * kSettlingTime));
      RC_ASSERT(network.RunUntil([&] { return AllHostsHaveRevision(network, newest); },
                                 10 * kSettlingTime));
      const auto avoided = [&] { return AllHostsAvoid(network, network.Server(0).mServer); };
      RC_ASSERT(network.RunUntil(avoided, kSettlingTime));
      network.Run(kMaxLeavingDelay);
      checker.mMustBeAvoided = true;
      network.Run(kSettlingTime);
      RC_ASSERT(avoided());
      RC_ASSERT(!checker.mRevisionWentDown);
      RC_ASSERT(!checker.mLeavingServerUsedAgain);
      network.Server(0).mLeaving = false;
      ++network.Server(0).mIncarnation;
      RC_ASSERT(network.RunUntil([&] { return NoHostAvoids(network, network.Server(0).mServer); },
                                 10 * kSettlingTime));
    });
  CHECK(holds);
}

} // namespace
} // namespace trefoil
