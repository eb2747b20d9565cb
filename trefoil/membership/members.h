// Membership table: the entry hosts that this host has observed, and whether each is alive.
//
//   Members members;
//   ApplyHeartbeat(members, heartbeat, aNow + kSuspectTimeout);
//   ExpireMembers(members, aNow);
//
// Only the host itself increments its sequence number, so a higher number proves that the host was
// alive more recently. The highest (incarnation, sequence) pair wins: it refutes a suspicion or a
// death that was reported for an older pair.
//
// Plain data and pure functions; the caller serializes access.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/wire/gossip_message.h"

#include <map>
#include <vector>

namespace trefoil {

// How long a host of the own zone may be silent before it becomes a suspect.
inline constexpr Milliseconds kSuspectTimeout{ 4'000 };
// How long a suspect has to refute the suspicion before it counts as dead.
inline constexpr Milliseconds kSuspicionTimeout{ 4'000 };
// How long a dead host stays in the table, so that delayed messages do not mark it alive again.
inline constexpr Milliseconds kDeadMemberRetention{ 3'600'000 };

struct Member
{
  // The newest heartbeat of the host.
  Heartbeat mHeartbeat;
  MemberState mState = MemberState::kAlive;
  // When the member enters its next state unless a newer heartbeat arrives: alive becomes suspect,
  // suspect and leaving become dead, and a dead member is removed.
  Instant mExpiresAt;
};

struct Members
{
  std::map<HostId, Member> mByHost;
};

enum class MemberUpdateResult
{
  // The table has a newer sequence of the host, or the update reports the death of a host that is
  // not in the table.
  kStale,
  kApplied,
  // The host, or this incarnation of it, is not in the table. Its full heartbeat must be requested,
  // since an update does not hold the host's endpoints.
  kHeartbeatNeeded,
};

// Applies a heartbeat if it is newer than the stored one of that host. The host becomes a suspect
// at `aSuspectAt` unless a newer heartbeat or update arrives before. Returns whether the heartbeat
// was applied.
bool
ApplyHeartbeat(Members& aMembers, const Heartbeat& aHeartbeat, Instant aSuspectAt);

// Applies an update about a member that another host sent. A newer sequence sets the reported state
// and an equal one can only make the state worse. The new state starts its timeout at `aNow`.
MemberUpdateResult
ApplyMemberUpdate(Members& aMembers, const MemberStatus& aUpdate, Instant aNow);

// Moves each member whose `mExpiresAt` has passed to its next state and removes dead members after
// kDeadMemberRetention. Returns the hosts that became suspects.
std::vector<HostId>
ExpireMembers(Members& aMembers, Instant aNow);

// Restarts the timeout of each member's current state. Called after this process was frozen, since
// it could not receive heartbeats meanwhile.
void
RestartMemberTimeouts(Members& aMembers, Instant aNow);

// Returns whether work may be assigned to the member: it is not a suspect, not leaving, not dead.
bool
IsAlive(const Member& aMember);

} // namespace trefoil
