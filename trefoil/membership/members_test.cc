#include "trefoil/membership/members.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

TEST_CASE("Entry hosts learn of each other by heartbeats")
{
  Members members;
  const HostId host{ "h1" };
  const Instant start{};
  ApplyHeartbeat(members, { .mHost = host, .mIncarnation = 2, .mSequence = 5 }, start);
  REQUIRE(members.mByHost.at(host).mState == MemberState::kAlive);

  SECTION("an older heartbeat changes nothing")
  {
    ApplyHeartbeat(
      members, { .mHost = host, .mIncarnation = 2, .mSequence = 4, .mLeaving = true }, start);
    ApplyHeartbeat(
      members, { .mHost = host, .mIncarnation = 1, .mSequence = 9, .mLeaving = true }, start);
    CHECK(members.mByHost.at(host).mState == MemberState::kAlive);
  }
  SECTION("a host that says so is leaving")
  {
    ApplyHeartbeat(
      members, { .mHost = host, .mIncarnation = 2, .mSequence = 6, .mLeaving = true }, start);
    CHECK(members.mByHost.at(host).mState == MemberState::kLeaving);
  }
  SECTION("a silent host is a suspect first")
  {
    ExpireMembers(members, start + Milliseconds{ 2000 });
    REQUIRE(members.mByHost.at(host).mState == MemberState::kSuspect);

    SECTION("then alive again, if it speaks")
    {
      ApplyHeartbeat(members, { .mHost = host, .mIncarnation = 2, .mSequence = 6 }, start);
      CHECK(members.mByHost.at(host).mState == MemberState::kAlive);
    }
    SECTION("or forgotten")
    {
      ExpireMembers(members, start + Milliseconds{ 60'000 });
      CHECK(members.mByHost.empty());
    }
  }
}

} // namespace
} // namespace trefoil
