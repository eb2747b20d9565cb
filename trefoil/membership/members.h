// Which entry hosts are alive.
//
//   Members members;
//   ApplyHeartbeat(members, heartbeat, { .mSuspectAt = aNow + kSuspectAfter });
//   ExpireMembers(members, aNow);
//
// A host alone raises its sequence, so a higher one proves that it lived later. Who knows the
// highest is right: a suspicion, or a death, of an older sequence is refuted by it.
//
// Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/wire/gossip_message.h"

#include <map>
#include <vector>

namespace trefoil {

// How long a host may be silent before it is a suspect.
inline constexpr Milliseconds kSuspectAfter{ 4'000 };
// How long a suspect has to refute the suspicion.
inline constexpr Milliseconds kDeadAfter{ 4'000 };
// How long a dead host is remembered, so that late messages do not raise it.
inline constexpr Milliseconds kForgetAfter{ 3'600'000 };

struct Member
{
  // The newest heartbeat.
  Heartbeat mLast;
  MemberState mState = MemberState::kAlive;
  // When it falls to the next state unless a newer heartbeat comes: from alive to suspect, from
  // suspect or leaving to dead, from dead to forgotten.
  Instant mExpiresAt;
};

struct Members
{
  std::map<HostId, Member> mByHost;
};

enum class BeatOutcome
{
  kOld,
  kApplied,
  // The host's endpoints are not known: its heartbeat is needed.
  kHeartbeatNeeded,
};

// Takes in a heartbeat unless a newer one of the host is known. The host becomes a suspect at
// `aSuspectAt` unless it is heard of again. Returns whether it was new.
bool
ApplyHeartbeat(Members& aMembers, const Heartbeat& aHeartbeat, Instant aSuspectAt);

// Takes in what another host knows of a member.
BeatOutcome
ApplyBeat(Members& aMembers, const Beat& aBeat, Instant aNow);

// Moves the members that were not heard of in time to their next states. Returns the hosts that
// became suspects.
std::vector<HostId>
ExpireMembers(Members& aMembers, Instant aNow);

// Gives every member its full time again, after this process was frozen and could not hear them.
void
RenewMembers(Members& aMembers, Instant aNow);

// Returns whether the member takes part in the work: it is neither leaving nor dead nor suspect.
bool
IsAlive(const Member& aMember);

} // namespace trefoil
