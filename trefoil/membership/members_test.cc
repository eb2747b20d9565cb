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

MemberStatus
MemberUpdateOf(std::uint64_t aIncarnation, std::uint64_t aSequence, MemberState aState)
{
  return { .mHost = kHost, .mIncarnation = aIncarnation, .mSequence = aSequence, .mState = aState };
}

TEST_CASE("Entry hosts track each other by heartbeats")
{
  Members members;
  ApplyHeartbeat(members, HeartbeatOf(2, 5), kStart + kSuspectTimeout);
  const Member& member = members.mByHost.at(kHost);
  REQUIRE(member.mState == MemberState::kAlive);

  SECTION("an older heartbeat is ignored")
  {
    ApplyHeartbeat(members, HeartbeatOf(2, 4, true), kStart);
    ApplyHeartbeat(members, HeartbeatOf(1, 9, true), kStart);
    ApplyMemberUpdate(members, MemberUpdateOf(2, 4, MemberState::kDead), kStart);
    CHECK(member.mState == MemberState::kAlive);
  }
  SECTION("a heartbeat with the leaving flag marks the host as leaving")
  {
    ApplyHeartbeat(members, HeartbeatOf(2, 6, true), kStart + kSuspectTimeout);
    REQUIRE(member.mState == MemberState::kLeaving);
    SECTION("and updates from other hosts do not change that")
    {
      ApplyMemberUpdate(members, MemberUpdateOf(2, 7, MemberState::kAlive), kStart);
      ApplyMemberUpdate(members, MemberUpdateOf(2, 7, MemberState::kSuspect), kStart);
      CHECK(member.mState == MemberState::kLeaving);
    }
  }
  SECTION("an update about a new incarnation requires the full heartbeat with its endpoints")
  {
    CHECK(ApplyMemberUpdate(members, MemberUpdateOf(3, 1, MemberState::kAlive), kStart) ==
          MemberUpdateResult::kHeartbeatNeeded);
  }
  SECTION("a death that another host reports makes the member a suspect first")
  {
    ApplyMemberUpdate(members, MemberUpdateOf(2, 5, MemberState::kDead), kStart);
    CHECK(member.mState == MemberState::kSuspect);
  }
  SECTION("a silent host becomes a suspect first")
  {
    const Instant suspectAt = kStart + kSuspectTimeout;
    CHECK(ExpireMembers(members, suspectAt) == std::vector<HostId>{ kHost });
    REQUIRE(member.mState == MemberState::kSuspect);

    SECTION("then alive again when an update with a newer sequence arrives")
    {
      ApplyMemberUpdate(members, MemberUpdateOf(2, 6, MemberState::kAlive), suspectAt);
      CHECK(member.mState == MemberState::kAlive);
    }
    SECTION("or dead when no newer sequence arrives in time")
    {
      const Instant deadAt = suspectAt + kSuspicionTimeout;
      ExpireMembers(members, deadAt);
      REQUIRE(member.mState == MemberState::kDead);
      SECTION("an old heartbeat does not change that")
      {
        ApplyHeartbeat(members, HeartbeatOf(2, 5), deadAt);
        ApplyMemberUpdate(members, MemberUpdateOf(2, 5, MemberState::kAlive), deadAt);
        CHECK(member.mState == MemberState::kDead);
      }
      SECTION("a newer sequence makes it alive again")
      {
        ApplyMemberUpdate(members, MemberUpdateOf(2, 6, MemberState::kAlive), deadAt);
        CHECK(member.mState == MemberState::kAlive);
      }
      SECTION("and it is removed after kDeadMemberRetention")
      {
        ExpireMembers(members, deadAt + kDeadMemberRetention);
        CHECK(members.mByHost.empty());
      }
    }
  }
}

} // namespace
} // namespace trefoil
