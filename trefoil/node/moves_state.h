// What an entry host knows of duties and version moves.
#pragma once

#include "trefoil/duty/duty.h"
#include "trefoil/rollout/local_health.h"
#include "trefoil/rollout/move_duty.h"
#include "trefoil/rollout/service_shares.h"

#include <cstdint>
#include <map>
#include <optional>

namespace trefoil {

// One service's versions, as this host sees and uses them.
struct ServiceMoves
{
  LocalHealth mHealth;
  ServiceShares mShares;
  // Set while this host holds the duty.
  std::optional<MoveDuty> mDuty;
  // Another host that holds it, and until when that is believed.
  Endpoint mHolder;
  Instant mHolderUntil;
  // The record that the holder announced.
  std::uint64_t mAnnounced = 0;
  // When the reports on the way were sent, by sequence.
  std::map<std::uint64_t, Instant> mAsked;
};

// A call to the store about a move record.
struct MoveCall
{
  ServiceId mService;
  // The record that is written; not set for a read.
  std::optional<MoveRecord> mRecord;
};

struct MovesState
{
  DutyState mDuties;
  std::map<ServiceId, ServiceMoves> mServices;
  std::map<std::uint64_t, MoveCall> mCalls;
  std::uint64_t mNextTag = 0;
  // A point in time by both clocks.
  Instant mStartedAt;
  WallTime mStartedWall;
  Instant mNextTickAt;
  Instant mNextReportAt;
  Instant mNextAnnounceAt;
  // Whether a share has changed since the last snapshot.
  bool mChanged = false;
};

} // namespace trefoil
