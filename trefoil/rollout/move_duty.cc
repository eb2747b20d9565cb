#include "trefoil/rollout/move_duty.h"

namespace trefoil {
namespace {

constexpr Milliseconds kStoreCallTimeout{ 3'000 };
// The interval at which the evidence is assessed.
constexpr Milliseconds kAssessmentInterval{ 1'000 };

// Applies the record in the store. A new revision starts a new step; a new version also
// discards the evidence. A revision below the current one is ignored.
void
ApplyStoredRecord(MoveDuty& aDuty, const MoveRecord& aRecord, std::uint64_t aRevision, Instant aNow)
{
  if (aDuty.mRecordIsCurrent && aRevision < aDuty.mRevision) {
    return;
  }
  aDuty.mCallDeadline.reset();
  const bool isNew = !aDuty.mRecordIsCurrent || aRevision != aDuty.mRevision;
  if (isNew && aRecord.mVersion != aDuty.mRecord.mVersion) {
    aDuty.mEvidence = { .mStart = aNow };
  }
  aDuty.mRecordIsCurrent = true;
  aDuty.mRecord = aRecord;
  aDuty.mRevision = aRevision;
  if (isNew) {
    aDuty.mStepStartedAt = aNow;
    aDuty.mStepWindow = WindowAt(aDuty.mEvidence, aNow);
    aDuty.mStopped = false;
    aDuty.mNextAssessmentAt = aNow;
  }
}

// Returns the record to write next; std::nullopt if the current one remains.
std::optional<MoveRecord>
NextRecord(const MoveDuty& aDuty, const MoveTick& aTick, Instant aNow)
{
  if (aTick.mDocument == nullptr) {
    return std::nullopt;
  }
  auto planned =
    ApplyDocument(aDuty.mRecord, *aTick.mDocument, aTick.mDocumentRevision, aTick.mWallNow);
  if (planned.has_value() || aDuty.mRecord.mPhase != MovePhase::kMoving) {
    return planned;
  }
  const MoveStepStatus status{ .mAssessment = Assess(aDuty.mEvidence,
                                                     { .mVersion = aDuty.mRecord.mVersion,
                                                       .mFromWindow = aDuty.mStepWindow,
                                                       .mServers = aTick.mServers }),
                               .mStepStartedAt = aDuty.mStepStartedAt,
                               .mStopped = aDuty.mStopped,
                               .mNow = aNow,
                               .mWallNow = aTick.mWallNow };
  return AdvanceMove(aDuty.mRecord, status);
}

MoveEffects
On(MoveDuty& aDuty, const MoveTick& aTick, Instant aNow)
{
  if (aDuty.mCallDeadline.has_value()) {
    if (!HasPassed(*aDuty.mCallDeadline, aNow)) {
      return {};
    }
    // The call timed out and may have taken effect, so the record has to be read again.
    aDuty.mRecordIsCurrent = false;
    aDuty.mCallDeadline.reset();
  }
  if (!aDuty.mRecordIsCurrent) {
    aDuty.mCallDeadline = aNow + kStoreCallTimeout;
    return { ReadMoveRecord{} };
  }
  if (!aDuty.mStopped && !HasPassed(aDuty.mNextAssessmentAt, aNow)) {
    return {};
  }
  aDuty.mNextAssessmentAt = aNow + kAssessmentInterval;
  auto next = NextRecord(aDuty, aTick, aNow);
  if (!next.has_value()) {
    return {};
  }
  aDuty.mCallDeadline = aNow + kStoreCallTimeout;
  return { WriteMoveRecord{ .mRecord = std::move(*next), .mExpected = aDuty.mRevision } };
}

MoveEffects
On(MoveDuty& aDuty, const MoveRecordRead& aEvent, Instant aNow)
{
  ApplyStoredRecord(aDuty, aEvent.mRecord, aEvent.mRevision, aNow);
  return {};
}

MoveEffects
On(MoveDuty& aDuty, const MoveRecordWritten& aEvent, Instant aNow)
{
  ApplyStoredRecord(aDuty, aEvent.mRecord, aEvent.mRevision, aNow);
  return {};
}

MoveEffects
On(MoveDuty& aDuty, const MoveRecordInvalidated&, Instant)
{
  aDuty.mRecordIsCurrent = false;
  return {};
}

MoveEffects
On(MoveDuty& aDuty, const VersionHealthReportReceived& aEvent, Instant aNow)
{
  ApplyHealthReport(aDuty.mEvidence, aEvent.mReport, aNow);
  return {};
}

MoveEffects
On(MoveDuty& aDuty, const VersionStopReceived& aEvent, Instant)
{
  aDuty.mStopped = aDuty.mStopped || (aDuty.mRecordIsCurrent && aEvent.mNumber >= aDuty.mRevision &&
                                      aDuty.mRecord.mPhase == MovePhase::kMoving);
  return {};
}

} // namespace

MoveDuty
MakeMoveDuty(const ServiceId& aService, Instant aNow)
{
  MoveDuty duty{ .mService = aService };
  duty.mEvidence.mStart = aNow;
  duty.mStepStartedAt = aNow;
  duty.mNextAssessmentAt = aNow;
  return duty;
}

MoveEffects
Step(MoveDuty& aDuty, const MoveEvent& aEvent, Instant aNow)
{
  return std::visit([&aDuty, aNow](const auto& aKind) { return On(aDuty, aKind, aNow); }, aEvent);
}

MovePermit
MakePermit(const MoveDuty& aDuty, WallTime aWallNow)
{
  if (!aDuty.mRecordIsCurrent) {
    return { .mService = aDuty.mService };
  }
  const MoveRecord& record = aDuty.mRecord;
  const auto endsIn = std::chrono::duration_cast<Milliseconds>(record.mEndsAt - aWallNow);
  return { .mService = aDuty.mService,
           .mNumber = aDuty.mRevision,
           .mPhase = record.mPhase,
           .mVersion = record.mVersion,
           .mPermille = record.mSharePermille,
           .mEndsInMilliseconds = std::max<std::int64_t>(0, endsIn.count()),
           .mSettled = record.mSettled };
}

} // namespace trefoil
