// The state machine by which the duty holder moves traffic between the versions of one service.
//
//   MoveDuty duty = MakeMoveDuty(service, aNow);
//   MoveEffects effects = Step(duty, MoveTick{ .mDocument = document, ... }, aNow);
//   MovePermit permit = MakePermit(duty, wallNow);
//
// The holder acts only on a record that the store has confirmed: permits are made from that
// record. The caller must check before each effect and each permit that it still holds the
// duty. Plain data and pure functions.
#pragma once

#include "trefoil/rollout/evidence.h"
#include "trefoil/rollout/move_plan.h"
#include "trefoil/rollout/service_shares.h"

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace trefoil {

struct MoveDuty
{
  ServiceId mService;
  // Whether mRecord and mRevision are the newest that the store has confirmed. If false, the
  // record has to be read again.
  bool mRecordIsCurrent = false;
  MoveRecord mRecord;
  std::uint64_t mRevision = 0;
  Evidence mEvidence;
  Instant mStepStartedAt;
  std::uint64_t mStepWindow = 0;
  // Whether an entry host has stopped the version under the current record.
  bool mStopped = false;
  // When the pending store call times out; std::nullopt if no call is pending.
  std::optional<Instant> mCallDeadline;
  Instant mNextAssessmentAt;
};

// Periodic event, sent about once a second while the host holds the duty.
struct MoveTick
{
  std::shared_ptr<const ServiceDocument> mDocument;
  std::uint64_t mDocumentRevision = 0;
  ServerCounts mServers;
  WallTime mWallNow;
};

// The record was read. The revision is 0 if there is no record.
struct MoveRecordRead
{
  MoveRecord mRecord;
  std::uint64_t mRevision = 0;
};

// The record was written.
struct MoveRecordWritten
{
  MoveRecord mRecord;
  std::uint64_t mRevision = 0;
};

// A store call failed, or the store has another revision than expected. The record is read
// again after the call's deadline.
struct MoveRecordInvalidated
{};

struct VersionHealthReportReceived
{
  VersionHealthReport mReport;
};

// An entry host stopped the version under the permit with this number.
struct VersionStopReceived
{
  std::uint64_t mNumber = 0;
};

using MoveEvent = std::variant<MoveTick,
                               MoveRecordRead,
                               MoveRecordWritten,
                               MoveRecordInvalidated,
                               VersionHealthReportReceived,
                               VersionStopReceived>;

struct ReadMoveRecord
{};

// Write the record if the revision in the store equals mExpected.
struct WriteMoveRecord
{
  MoveRecord mRecord;
  std::uint64_t mExpected = 0;
};

using MoveEffect = std::variant<ReadMoveRecord, WriteMoveRecord>;
using MoveEffects = std::vector<MoveEffect>;

// Returns the state of a holder that has not read the record yet.
MoveDuty
MakeMoveDuty(const ServiceId& aService, Instant aNow);

// Handles an event and returns the effects that the caller must execute.
MoveEffects
Step(MoveDuty& aDuty, const MoveEvent& aEvent, Instant aNow);

// Returns the permit that the current record allows; its number is 0 if the record is not
// current.
MovePermit
MakePermit(const MoveDuty& aDuty, WallTime aWallNow);

} // namespace trefoil
