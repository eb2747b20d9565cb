#include "trefoil/rollout/move_duty.h"

namespace trefoil {
namespace {

constexpr Milliseconds kCallLimit{ 3'000 };
// How often the evidence is tested.
constexpr Milliseconds kLookEvery{ 2'000 };

// Takes in what stands in the store. A record of another revision begins a step anew.
void
AdoptRecord(MoveDuty& aDuty, const MoveRecord& aRecord, std::uint64_t aRevision, Instant aNow)
{
  if (aDuty.mKnown && aRevision < aDuty.mRevision) {
    return;
  }
  aDuty.mCallUntil.reset();
  const bool isNew = !aDuty.mKnown || aRevision != aDuty.mRevision;
  if (isNew && aRecord.mVersion != aDuty.mRecord.mVersion) {
    aDuty.mEvidence = { .mStart = aNow };
  }
  aDuty.mKnown = true;
  aDuty.mRecord = aRecord;
  aDuty.mRevision = aRevision;
  if (isNew) {
    aDuty.mStepAt = aNow;
    aDuty.mStepWindow = WindowAt(aDuty.mEvidence, aNow);
    aDuty.mStopped = false;
    aDuty.mNextLookAt = aNow;
  }
}

// Returns the record that should follow, nothing if the present one is right.
std::optional<MoveRecord>
NextRecord(const MoveDuty& aDuty, const MoveTick& aTick, Instant aNow)
{
  if (aTick.mDocument == nullptr) {
    return std::nullopt;
  }
  auto planned = PlanMove(aDuty.mRecord, *aTick.mDocument, aTick.mDocumentRevision, aTick.mWallNow);
  if (planned.has_value() || aDuty.mRecord.mPhase != MovePhase::kMoving) {
    return planned;
  }
  const StepView view{ .mAssessment = Assess(aDuty.mEvidence,
                                             { .mVersion = aDuty.mRecord.mVersion,
                                               .mFromWindow = aDuty.mStepWindow,
                                               .mServers = aTick.mServers }),
                       .mStepAt = aDuty.mStepAt,
                       .mStopped = aDuty.mStopped,
                       .mNow = aNow,
                       .mWallNow = aTick.mWallNow };
  return DecideMove(aDuty.mRecord, view);
}

MoveEffects
On(MoveDuty& aDuty, const MoveTick& aTick, Instant aNow)
{
  if (aDuty.mCallUntil.has_value()) {
    if (!HasPassed(*aDuty.mCallUntil, aNow)) {
      return {};
    }
    // No answer came: what stands in the store has to be read.
    aDuty.mKnown = false;
    aDuty.mCallUntil.reset();
  }
  if (!aDuty.mKnown) {
    aDuty.mCallUntil = aNow + kCallLimit;
    return { ReadMoveRecord{} };
  }
  if (!aDuty.mStopped && !HasPassed(aDuty.mNextLookAt, aNow)) {
    return {};
  }
  aDuty.mNextLookAt = aNow + kLookEvery;
  auto next = NextRecord(aDuty, aTick, aNow);
  if (!next.has_value()) {
    return {};
  }
  aDuty.mCallUntil = aNow + kCallLimit;
  return { WriteMoveRecord{ .mRecord = std::move(*next), .mExpected = aDuty.mRevision } };
}

MoveEffects
On(MoveDuty& aDuty, const MoveRecordRead& aEvent, Instant aNow)
{
  AdoptRecord(aDuty, aEvent.mRecord, aEvent.mRevision, aNow);
  return {};
}

MoveEffects
On(MoveDuty& aDuty, const MoveRecordWritten& aEvent, Instant aNow)
{
  AdoptRecord(aDuty, aEvent.mRecord, aEvent.mRevision, aNow);
  return {};
}

MoveEffects
On(MoveDuty& aDuty, const MoveRecordUnknown&, Instant)
{
  aDuty.mKnown = false;
  return {};
}

MoveEffects
On(MoveDuty& aDuty, const ReportArrived& aEvent, Instant aNow)
{
  Add(aDuty.mEvidence, aEvent.mReport, aNow);
  return {};
}

MoveEffects
On(MoveDuty& aDuty, const StopArrived& aEvent, Instant)
{
  aDuty.mStopped = aDuty.mStopped || (aDuty.mKnown && aEvent.mNumber >= aDuty.mRevision &&
                                      aDuty.mRecord.mPhase == MovePhase::kMoving);
  return {};
}

} // namespace

MoveDuty
MakeMoveDuty(const ServiceId& aService, Instant aNow)
{
  MoveDuty duty{ .mService = aService };
  duty.mEvidence.mStart = aNow;
  duty.mStepAt = aNow;
  duty.mNextLookAt = aNow;
  return duty;
}

MoveEffects
Step(MoveDuty& aDuty, const MoveEvent& aEvent, Instant aNow)
{
  return std::visit([&aDuty, aNow](const auto& aKind) { return On(aDuty, aKind, aNow); }, aEvent);
}

MovePermit
PermitOf(const MoveDuty& aDuty, WallTime aWallNow)
{
  if (!aDuty.mKnown) {
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
