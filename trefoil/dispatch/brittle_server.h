// Keeps requests away from servers that fail once they have to reject too many of them.
//
//   ObserveBrittleness(brittle, { .mIncarnation = incarnation, .mIsStated = true }, now);
//   RecordRejection(brittle, { .mIncarnation = incarnation, .mAt = now }, server.mSlots, now);
//   const ServerUse use{ .mInFlight = 2, .mSlots = server.mSlots, .mRank = 4, .mHosts = 9 };
//   if (HasRoom(brittle, use, now)) { ... }
//
// A server counts the rejections of all entry hosts together. So the hosts divide its slots among
// themselves by a rendezvous hash, as they divide limits (server_limit.h), and a rejection that one
// host receives makes all of them pause and use half as many slots, which then grow one by one. A
// host without a part does not use the server. Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace trefoil {

// What a host knows of one incarnation of a server.
struct BrittleServer
{
  std::int64_t mIncarnation = 0;
  // From then on the server is not taken to be brittle, unless it states so again.
  Instant mExpiresAt;
  // When a host last received a rejection; the epoch if none has.
  Instant mRejectedAt;
  // This host sends no request before this time.
  Instant mPausedUntil;
  // How many of the slots all hosts together use from mPausedUntil on; empty if no rejection has
  // lowered it.
  std::optional<int> mUsedSlots;
  // The number of rejections that each came soon after the pause of the one before.
  int mConsecutiveRejections = 0;
};

// What an answer states.
struct BrittlenessObservation
{
  std::int64_t mIncarnation = 0;
  bool mIsStated = false;
};

// A rejection of a brittle server, observed by this host or reported by another one.
struct RejectionReport
{
  BackendServerId mServer;
  std::int64_t mIncarnation = 0;
  Instant mAt;
};

// The use of a server by this host.
struct ServerUse
{
  // The requests of this host at the server.
  int mInFlight = 0;
  int mSlots = 0;
  // The position of this host in the order by which the slots are divided, and the number of hosts.
  std::size_t mRank = 0;
  std::size_t mHosts = 1;
};

// Records what an answer states about the server.
void
ObserveBrittleness(BrittleServer& aServer,
                   const BrittlenessObservation& aObservation,
                   Instant aNow);

// Returns whether the server is known to be brittle.
bool
IsBrittle(const BrittleServer& aServer, Instant aNow);

// Records a rejection. Returns whether it is news, so that other hosts must be told if this host
// received it. Rejections of one moment count once.
bool
RecordRejection(BrittleServer& aServer,
                const RejectionReport& aRejection,
                int aSlots,
                Instant aNow);

// Returns whether this host may send the brittle server another request.
bool
HasRoom(const BrittleServer& aServer, const ServerUse& aUse, Instant aNow);

} // namespace trefoil
