// Which entry hosts are alive.
//
//   Members members;
//   ApplyHeartbeat(members, heartbeat, aNow);
//   ExpireMembers(members, aNow);
//
// Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/wire/message.h"

#include <map>

namespace trefoil {

enum class MemberState
{
  kAlive,
  // Not heard of in time.
  kSuspect,
  kLeaving,
};

inline constexpr NameTable<MemberState, 3> kMemberStateNames{ {
  { MemberState::kAlive, "alive" },
  { MemberState::kSuspect, "suspect" },
  { MemberState::kLeaving, "leaving" },
} };

struct Member
{
  // The newest heartbeat.
  Heartbeat mLast;
  MemberState mState = MemberState::kAlive;
  // When it becomes a suspect unless a newer heartbeat comes.
  Instant mSuspectAt;
  // When it is forgotten unless a newer heartbeat comes.
  Instant mForgetAt;
};

struct Members
{
  std::map<HostId, Member> mByHost;
};

// Takes in a heartbeat unless a newer one of the host is known.
void
ApplyHeartbeat(Members& aMembers, const Heartbeat& aHeartbeat, Instant aNow);

// Marks members that were not heard of, and forgets those that were not heard of for long.
void
ExpireMembers(Members& aMembers, Instant aNow);

} // namespace trefoil
