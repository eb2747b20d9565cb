#include "trefoil/membership/members.h"

#include <algorithm>
#include <tuple>

namespace trefoil {
namespace {

bool
IsNewer(const Heartbeat& aLeft, const Heartbeat& aRight)
{
  return std::tie(aLeft.mIncarnation, aLeft.mSequence) >
         std::tie(aRight.mIncarnation, aRight.mSequence);
}

void
MoveTo(Member& aMember, MemberState aState, Instant aNow)
{
  aMember.mState = aState;
  switch (aState) {
    case MemberState::kAlive:
    case MemberState::kLeaving:
      aMember.mExpiresAt = aNow + kSuspectAfter;
      break;
    case MemberState::kSuspect:
      aMember.mExpiresAt = aNow + kDeadAfter;
      break;
    case MemberState::kDead:
      aMember.mExpiresAt = aNow + kForgetAfter;
      break;
  }
}

void
ApplyNewerBeat(Member& aMember, const Beat& aBeat, Instant aNow)
{
  aMember.mLast.mSequence = aBeat.mSequence;
  aMember.mLast.mConfigRevision = aBeat.mConfigRevision;
  aMember.mLast.mConfigDigest = aBeat.mConfigDigest;
  aMember.mLast.mLeaving = aMember.mLast.mLeaving || aBeat.mState == MemberState::kLeaving;
  const bool leaving = aMember.mLast.mLeaving && aBeat.mState != MemberState::kDead;
  MoveTo(aMember, leaving ? MemberState::kLeaving : aBeat.mState, aNow);
}

// Takes over a worse state that another host reports of the same heartbeat. A death that this host
// has not suspected is a suspicion first, so that the member can refute it.
void
ApplySuspicion(Member& aMember, MemberState aReported, Instant aNow)
{
  const bool worse = aReported == MemberState::kSuspect || aReported == MemberState::kDead;
  if (worse && aMember.mState == MemberState::kAlive) {
    MoveTo(aMember, MemberState::kSuspect, aNow);
  } else if (aReported == MemberState::kDead && aMember.mState != MemberState::kDead) {
    MoveTo(aMember, MemberState::kDead, aNow);
  }
}

MemberState
NextState(MemberState aState)
{
  return aState == MemberState::kAlive ? MemberState::kSuspect : MemberState::kDead;
}

} // namespace

bool
ApplyHeartbeat(Members& aMembers, const Heartbeat& aHeartbeat, Instant aSuspectAt)
{
  const auto [entry, added] = aMembers.mByHost.try_emplace(aHeartbeat.mHost);
  Member& member = entry->second;
  if (!added && !IsNewer(aHeartbeat, member.mLast)) {
    return false;
  }
  member.mLast = aHeartbeat;
  member.mState = aHeartbeat.mLeaving ? MemberState::kLeaving : MemberState::kAlive;
  member.mExpiresAt = aSuspectAt;
  return true;
}

BeatOutcome
ApplyBeat(Members& aMembers, const Beat& aBeat, Instant aNow)
{
  const auto found = aMembers.mByHost.find(aBeat.mHost);
  if (found == aMembers.mByHost.end()) {
    return aBeat.mState == MemberState::kDead ? BeatOutcome::kOld : BeatOutcome::kHeartbeatNeeded;
  }
  Member& member = found->second;
  if (aBeat.mIncarnation > member.mLast.mIncarnation) {
    return BeatOutcome::kHeartbeatNeeded;
  }
  if (aBeat.mIncarnation < member.mLast.mIncarnation || aBeat.mSequence < member.mLast.mSequence) {
    return BeatOutcome::kOld;
  }
  if (aBeat.mSequence > member.mLast.mSequence) {
    ApplyNewerBeat(member, aBeat, aNow);
  } else {
    ApplySuspicion(member, aBeat.mState, aNow);
  }
  return BeatOutcome::kApplied;
}

std::vector<HostId>
ExpireMembers(Members& aMembers, Instant aNow)
{
  std::erase_if(aMembers.mByHost, [aNow](const auto& aEntry) {
    const Member& member = aEntry.second;
    return member.mState == MemberState::kDead && HasPassed(member.mExpiresAt, aNow);
  });
  std::vector<HostId> suspects;
  for (auto& [host, member] : aMembers.mByHost) {
    if (!HasPassed(member.mExpiresAt, aNow)) {
      continue;
    }
    MoveTo(member, NextState(member.mState), aNow);
    if (member.mState == MemberState::kSuspect) {
      suspects.push_back(host);
    }
  }
  return suspects;
}

void
RenewMembers(Members& aMembers, Instant aNow)
{
  for (auto& [host, member] : aMembers.mByHost) {
    MoveTo(member, member.mState, aNow);
  }
}

bool
IsAlive(const Member& aMember)
{
  return aMember.mState == MemberState::kAlive;
}

} // namespace trefoil
