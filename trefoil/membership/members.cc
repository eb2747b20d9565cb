#include "trefoil/membership/members.h"

#include <tuple>

namespace trefoil {
namespace {

constexpr Milliseconds kSuspectAfter{ 1500 };
constexpr Milliseconds kForgetAfter{ 30'000 };

bool
IsNewer(const Heartbeat& aLeft, const Heartbeat& aRight)
{
  return std::tie(aLeft.mIncarnation, aLeft.mSequence) >
         std::tie(aRight.mIncarnation, aRight.mSequence);
}

} // namespace

void
ApplyHeartbeat(Members& aMembers, const Heartbeat& aHeartbeat, Instant aNow)
{
  const auto [entry, added] = aMembers.mByHost.try_emplace(aHeartbeat.mHost);
  Member& member = entry->second;
  if (!added && !IsNewer(aHeartbeat, member.mLast)) {
    return;
  }
  member.mLast = aHeartbeat;
  member.mState = aHeartbeat.mLeaving ? MemberState::kLeaving : MemberState::kAlive;
  member.mSuspectAt = aNow + kSuspectAfter;
  member.mForgetAt = aNow + kForgetAfter;
}

void
ExpireMembers(Members& aMembers, Instant aNow)
{
  std::erase_if(aMembers.mByHost,
                [aNow](const auto& aEntry) { return HasPassed(aEntry.second.mForgetAt, aNow); });
  for (auto& [host, member] : aMembers.mByHost) {
    if (member.mState == MemberState::kAlive && HasPassed(member.mSuspectAt, aNow)) {
      member.mState = MemberState::kSuspect;
    }
  }
}

} // namespace trefoil
