#include "trefoil/membership/members.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const HostId kHost{ "h1" };
const Instant kStart{};

Heartbeat
HeartbeatOf(std::uint64_t aIncarnation, std::uint64_t aSequence, bool aLeaving = false)
{
  return {
    .mHost = kHost, .mIncarnation = aIncarnation, .mSequence = aSequence, .mLeaving = aLeaving
  };
}

Beat
BeatOf(std::uint64_t aIncarnation, std::uint64_t aSequence, MemberState aState)
{
  return { .mHost = kHost, .mIncarnation = aIncarnation, .mSequence = aSequence, .mState = aState };
}

TEST_CASE("Entry hosts learn of each other by heartbeats")
{
  Members members;
  ApplyHeartbeat(members, HeartbeatOf(2, 5), kStart + kSuspectAfter);
  const Member& member = members.mByHost.at(kHost);
  REQUIRE(member.mState == MemberState::kAlive);

  SECTION("an older heartbeat changes nothing")
  {
    ApplyHeartbeat(members, HeartbeatOf(2, 4, true), kStart);
    ApplyHeartbeat(members, HeartbeatOf(1, 9, true), kStart);
    ApplyBeat(members, BeatOf(2, 4, MemberState::kDead), kStart);
    CHECK(member.mState == MemberState::kAlive);
  }
  SECTION("a host that says so is leaving")
  {
    ApplyHeartbeat(members, HeartbeatOf(2, 6, true), kStart + kSuspectAfter);
    REQUIRE(member.mState == MemberState::kLeaving);
    SECTION("and stays so, whatever others still say")
    {
      ApplyBeat(members, BeatOf(2, 7, MemberState::kAlive), kStart);
      ApplyBeat(members, BeatOf(2, 7, MemberState::kSuspect), kStart);
      CHECK(member.mState == MemberState::kLeaving);
    }
  }
  SECTION("a new start of a host is asked for its endpoints")
  {
    CHECK(ApplyBeat(members, BeatOf(3, 1, MemberState::kAlive), kStart) ==
          BeatOutcome::kHeartbeatNeeded);
  }
  SECTION("another host's report of a death is a suspicion first")
  {
    ApplyBeat(members, BeatOf(2, 5, MemberState::kDead), kStart);
    CHECK(member.mState == MemberState::kSuspect);
  }
  SECTION("a silent host is a suspect first")
  {
    const Instant silent = kStart + kSuspectAfter;
    CHECK(ExpireMembers(members, silent) == std::vector<HostId>{ kHost });
    REQUIRE(member.mState == MemberState::kSuspect);

    SECTION("then alive again, if it or another host has a newer heartbeat")
    {
      ApplyBeat(members, BeatOf(2, 6, MemberState::kAlive), silent);
      CHECK(member.mState == MemberState::kAlive);
    }
    SECTION("or dead")
    {
      const Instant dead = silent + kDeadAfter;
      ExpireMembers(members, dead);
      REQUIRE(member.mState == MemberState::kDead);
      SECTION("which an old heartbeat does not change")
      {
        ApplyHeartbeat(members, HeartbeatOf(2, 5), dead);
        ApplyBeat(members, BeatOf(2, 5, MemberState::kAlive), dead);
        CHECK(member.mState == MemberState::kDead);
      }
      SECTION("but a newer one does")
      {
        ApplyBeat(members, BeatOf(2, 6, MemberState::kAlive), dead);
        CHECK(member.mState == MemberState::kAlive);
      }
      SECTION("and is forgotten at last")
      {
        ExpireMembers(members, dead + kForgetAfter);
        CHECK(members.mByHost.empty());
      }
    }
  }
}

} // namespace
} // namespace trefoil
