// The part of the control state for duties and version moves.
#pragma once

#include "trefoil/duty/duty.h"
#include "trefoil/rollout/local_health.h"
#include "trefoil/rollout/move_duty.h"
#include "trefoil/rollout/service_shares.h"

#include <cstdint>
#include <map>
#include <optional>

namespace trefoil {

// The version move of one service on this host.
struct ServiceMoves
{
  LocalHealth mHealth;
  ServiceShares mShares;
  // Set while this host holds the duty of moving the service's versions.
  std::optional<MoveDuty> mDuty;
  // The other host that last announced that it holds the duty, and when the announcement expires.
  Endpoint mHolder;
  Instant mHolderExpiresAt;
  // The revision of the move record that the holder announced; 0 if it announced none.
  std::uint64_t mAnnouncedRecord = 0;
  // When the reports that await a permit were sent, by sequence number.
  std::map<std::uint64_t, Instant> mReportSentAt;
};

// A pending call to the store for a move record.
struct MoveCall
{
  ServiceId mService;
  // The record to be written; std::nullopt for a read.
  std::optional<MoveRecord> mRecord;
};

struct MovesState
{
  DutyState mDuties;
  std::map<ServiceId, ServiceMoves> mServices;
  std::map<std::uint64_t, MoveCall> mCalls;
  std::uint64_t mNextTag = 0;
  // The start time by the monotonic clock and by the wall clock, to convert between them.
  Instant mStartedAt;
  WallTime mStartedAtWall;
  Instant mNextTickAt;
  Instant mNextReportAt;
  Instant mNextAnnounceAt;
  // Whether a traffic share has changed since the last snapshot.
  bool mChanged = false;
};

} // namespace trefoil
