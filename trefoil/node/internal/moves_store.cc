#include "trefoil/node/internal/moves_store.h"

#include "trefoil/duty/holder_record.h"
#include "trefoil/node/internal/moves.h"

#include <spdlog/spdlog.h>

namespace trefoil {
namespace {

constexpr Milliseconds kDutyCallLimit{ 1'400 };
constexpr Milliseconds kMoveCallLimit{ 2'500 };

ControlEffect
CallFor(const GrantLease& aWanted, Instant aNow)
{
  return LeaseCallWanted{ .mKind = LeaseCallKind::kGrant,
                          .mCallNumber = aWanted.mCallNumber,
                          .mDeadline = aNow + kDutyCallLimit };
}

ControlEffect
CallFor(const RenewLease& aWanted, Instant aNow)
{
  return LeaseCallWanted{ .mKind = LeaseCallKind::kRenew,
                          .mCallNumber = aWanted.mCallNumber,
                          .mLease = aWanted.mLease,
                          .mDeadline = aNow + kDutyCallLimit };
}

ControlEffect
CallFor(const EndLease& aWanted, Instant aNow)
{
  return LeaseCallWanted{ .mKind = LeaseCallKind::kEnd,
                          .mLease = aWanted.mLease,
                          .mDeadline = aNow + kDutyCallLimit };
}

ControlEffect
CallFor(const WriteDutyClaim& aWanted, Instant aNow)
{
  return StoreWriteWanted{ .mTopic = StoreTopic::kLeases,
                           .mTag = aWanted.mCallNumber,
                           .mWrite = { .mKey = DutyClaimKey(aWanted.mService),
                                       .mValue = RenderHolderRecord(aWanted.mRecord),
                                       .mLease = aWanted.mLease },
                           .mDeadline = aNow + kDutyCallLimit };
}

ControlEffect
CallFor(const ReadDutyClaim& aWanted, Instant aNow)
{
  return StoreReadWanted{ .mTopic = StoreTopic::kLeases,
                          .mTag = aWanted.mCallNumber,
                          .mKey = DutyClaimKey(aWanted.mService),
                          .mDeadline = aNow + kDutyCallLimit };
}

// Returns the answer about the claim that the call was made for.
DutyClaimCompleted
AnswerFor(const ControlState& aState,
          std::uint64_t aCall,
          DutyClaimResult aResult,
          const StoreEntry& aEntry)
{
  DutyClaimCompleted answer{ .mCallNumber = aCall,
                             .mResult = aResult,
                             .mRevision = aEntry.mRevision };
  for (const auto& [service, claim] : aState.mMoves.mDuties.mClaims) {
    if (claim.mCallNumber == aCall) {
      answer.mService = service;
    }
  }
  const auto record = ParseHolderRecord(aEntry.mValue);
  if (record.ok()) {
    answer.mRecord = *record;
  }
  return answer;
}

DutyClaimResult
ResultOf(const StoreWrite& aWrite)
{
  switch (aWrite.mState) {
    case StoreWriteState::kWritten:
      return DutyClaimResult::kWritten;
    case StoreWriteState::kConflict:
      return DutyClaimResult::kTaken;
    case StoreWriteState::kNotWritten:
    case StoreWriteState::kUnknown:
      break;
  }
  return DutyClaimResult::kUnknown;
}

ControlEffects
StepDuties(ControlState& aState, const DutyEvent& aEvent, Instant aNow)
{
  ControlEffects effects;
  AddDutyEffects(effects, Step(aState.mMoves.mDuties, aEvent, aNow), aNow);
  return effects;
}

// Takes out the call about a move record that has ended, nothing if it is not known.
std::optional<MoveCall>
TakeCall(MovesState& aMoves, std::uint64_t aTag)
{
  const auto found = aMoves.mCalls.find(aTag);
  if (found == aMoves.mCalls.end()) {
    return std::nullopt;
  }
  MoveCall call = std::move(found->second);
  aMoves.mCalls.erase(found);
  return call;
}

// Steps the duty of a service if this host still holds it.
void
StepMove(ControlState& aState, const ServiceId& aService, const MoveEvent& aEvent, Instant aNow)
{
  const auto found = aState.mMoves.mServices.find(aService);
  if (found != aState.mMoves.mServices.end() && found->second.mDuty.has_value()) {
    Step(*found->second.mDuty, aEvent, aNow);
  }
}

MoveEvent
ReadEventOf(const absl::StatusOr<StoreEntry>& aEntry)
{
  if (!aEntry.ok()) {
    return MoveRecordInvalidated{};
  }
  if (aEntry->mRevision == 0) {
    return MoveRecordRead{};
  }
  const auto record = ParseMoveRecord(aEntry->mValue);
  if (!record.ok()) {
    return MoveRecordInvalidated{};
  }
  return MoveRecordRead{ .mRecord = *record, .mRevision = aEntry->mRevision };
}

void
LogMove(const ServiceId& aService, const MoveRecord& aRecord)
{
  spdlog::info("move of {} to version {}: {} at {} permille, reason {}",
               aService.Value(),
               aRecord.mVersion.Value(),
               NameOf(kMovePhaseNames, aRecord.mPhase),
               aRecord.mSharePermille,
               NameOf(kMoveReasonNames, aRecord.mReason));
}

} // namespace

void
AddDutyEffects(ControlEffects& aEffects, const DutyEffects& aWanted, Instant aNow)
{
  for (const DutyEffect& wanted : aWanted) {
    aEffects.push_back(
      std::visit([aNow](const auto& aKind) { return CallFor(aKind, aNow); }, wanted));
  }
}

void
AddMoveEffects(ControlState& aState,
               const ServiceId& aService,
               const MoveEffects& aWanted,
               ControlEffects& aEffects,
               Instant aNow)
{
  for (const MoveEffect& wanted : aWanted) {
    const std::uint64_t tag = ++aState.mMoves.mNextTag;
    MoveCall& call = aState.mMoves.mCalls[tag];
    call.mService = aService;
    if (const auto* write = std::get_if<WriteMoveRecord>(&wanted)) {
      call.mRecord = write->mRecord;
      aEffects.emplace_back(
        StoreWriteWanted{ .mTopic = StoreTopic::kMoves,
                          .mTag = tag,
                          .mWrite = { .mKey = MoveKey(aService),
                                      .mValue = RenderMoveRecord(write->mRecord),
                                      .mExpected = write->mExpected },
                          .mDeadline = aNow + kMoveCallLimit });
    } else {
      aEffects.emplace_back(StoreReadWanted{ .mTopic = StoreTopic::kMoves,
                                             .mTag = tag,
                                             .mKey = MoveKey(aService),
                                             .mDeadline = aNow + kMoveCallLimit });
    }
  }
}

ControlEffects
OnLeaseCall(ControlState& aState, const LeaseCallDone& aEvent, Instant aNow)
{
  switch (aEvent.mAnswer) {
    case LeaseAnswer::kLive:
      return StepDuties(
        aState,
        LeaseCallSucceeded{ .mCallNumber = aEvent.mCallNumber, .mLease = aEvent.mLease },
        aNow);
    case LeaseAnswer::kLost:
      return StepDuties(aState, LeaseLost{ .mLease = aEvent.mLease }, aNow);
    case LeaseAnswer::kUnknown:
      return StepDuties(aState, LeaseCallFailed{ .mCallNumber = aEvent.mCallNumber }, aNow);
  }
  return {};
}

ControlEffects
OnMovesRead(ControlState& aState, const StoreReadDone& aEvent, Instant aNow)
{
  if (aEvent.mTopic == StoreTopic::kLeases) {
    const StoreEntry entry = aEvent.mEntry.ok() ? *aEvent.mEntry : StoreEntry{};
    const DutyClaimResult found =
      entry.mRevision == 0 ? DutyClaimResult::kFree : DutyClaimResult::kTaken;
    const DutyClaimResult result = aEvent.mEntry.ok() ? found : DutyClaimResult::kUnknown;
    return StepDuties(aState, AnswerFor(aState, aEvent.mTag, result, entry), aNow);
  }
  if (aEvent.mTopic == StoreTopic::kMoves) {
    if (const auto call = TakeCall(aState.mMoves, aEvent.mTag)) {
      StepMove(aState, call->mService, ReadEventOf(aEvent.mEntry), aNow);
    }
  }
  return {};
}

ControlEffects
OnMovesWrite(ControlState& aState, const StoreWriteDone& aEvent, Instant aNow)
{
  if (aEvent.mTopic == StoreTopic::kLeases) {
    return StepDuties(
      aState,
      AnswerFor(aState, aEvent.mTag, ResultOf(aEvent.mWrite), aEvent.mWrite.mCurrent),
      aNow);
  }
  if (aEvent.mTopic != StoreTopic::kMoves) {
    return {};
  }
  const auto call = TakeCall(aState.mMoves, aEvent.mTag);
  if (!call.has_value() || !call->mRecord.has_value()) {
    return {};
  }
  if (aEvent.mWrite.mState != StoreWriteState::kWritten) {
    StepMove(aState, call->mService, MoveRecordInvalidated{}, aNow);
    return {};
  }
  LogMove(call->mService, *call->mRecord);
  StepMove(
    aState,
    call->mService,
    MoveRecordWritten{ .mRecord = *call->mRecord, .mRevision = aEvent.mWrite.mCurrent.mRevision },
    aNow);
  return {};
}

} // namespace trefoil
