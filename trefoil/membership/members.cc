#include "trefoil/membership/members.h"

#include <algorithm>
#include <tuple>

namespace trefoil {
namespace {

bool
IsNewer(const Heartbeat& aFirst, const Heartbeat& aSecond)
{
  return std::tie(aFirst.mIncarnation, aFirst.mSequence) >
         std::tie(aSecond.mIncarnation, aSecond.mSequence);
}

void
SetState(Member& aMember, MemberState aState, Instant aNow)
{
  aMember.mState = aState;
  switch (aState) {
    case MemberState::kAlive:
    case MemberState::kLeaving:
      aMember.mExpiresAt = aNow + kSuspectTimeout;
      break;
    case MemberState::kSuspect:
      aMember.mExpiresAt = aNow + kSuspicionTimeout;
      break;
    case MemberState::kDead:
      aMember.mExpiresAt = aNow + kDeadMemberRetention;
      break;
  }
}

void
ApplyNewerUpdate(Member& aMember, const MemberStatus& aUpdate, Instant aNow)
{
  aMember.mHeartbeat.mSequence = aUpdate.mSequence;
  aMember.mHeartbeat.mConfigRevision = aUpdate.mConfigRevision;
  aMember.mHeartbeat.mConfigDigest = aUpdate.mConfigDigest;
  aMember.mHeartbeat.mLeaving =
    aMember.mHeartbeat.mLeaving || aUpdate.mState == MemberState::kLeaving;
  const bool leaving = aMember.mHeartbeat.mLeaving && aUpdate.mState != MemberState::kDead;
  SetState(aMember, leaving ? MemberState::kLeaving : aUpdate.mState, aNow);
}

// Applies a suspicion or a death that another host reports for the sequence that this host has. If
// this host has the member as alive, a reported death makes it a suspect first, so that the member
// can refute it.
void
ApplyReportedFailure(Member& aMember, MemberState aReported, Instant aNow)
{
  const bool worse = aReported == MemberState::kSuspect || aReported == MemberState::kDead;
  if (worse && aMember.mState == MemberState::kAlive) {
    SetState(aMember, MemberState::kSuspect, aNow);
  } else if (aReported == MemberState::kDead && aMember.mState != MemberState::kDead) {
    SetState(aMember, MemberState::kDead, aNow);
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
  if (!added && !IsNewer(aHeartbeat, member.mHeartbeat)) {
    return false;
  }
  member.mHeartbeat = aHeartbeat;
  member.mState = aHeartbeat.mLeaving ? MemberState::kLeaving : MemberState::kAlive;
  member.mExpiresAt = aSuspectAt;
  return true;
}

MemberUpdateResult
ApplyMemberUpdate(Members& aMembers, const MemberStatus& aUpdate, Instant aNow)
{
  const auto found = aMembers.mByHost.find(aUpdate.mHost);
  if (found == aMembers.mByHost.end()) {
    return aUpdate.mState == MemberState::kDead ? MemberUpdateResult::kStale
                                                : MemberUpdateResult::kHeartbeatNeeded;
  }
  Member& member = found->second;
  if (aUpdate.mIncarnation > member.mHeartbeat.mIncarnation) {
    return MemberUpdateResult::kHeartbeatNeeded;
  }
  if (aUpdate.mIncarnation < member.mHeartbeat.mIncarnation ||
      aUpdate.mSequence < member.mHeartbeat.mSequence) {
    return MemberUpdateResult::kStale;
  }
  if (aUpdate.mSequence > member.mHeartbeat.mSequence) {
    ApplyNewerUpdate(member, aUpdate, aNow);
  } else {
    ApplyReportedFailure(member, aUpdate.mState, aNow);
  }
  return MemberUpdateResult::kApplied;
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
    SetState(member, NextState(member.mState), aNow);
    if (member.mState == MemberState::kSuspect) {
      suspects.push_back(host);
    }
  }
  return suspects;
}

void
RestartMemberTimeouts(Members& aMembers, Instant aNow)
{
  for (auto& [host, member] : aMembers.mByHost) {
    SetState(member, member.mState, aNow);
  }
}

bool
IsAlive(const Member& aMember)
{
  return aMember.mState == MemberState::kAlive;
}

} // namespace trefoil
