#include "trefoil/node/internal/move_store_calls.h"

#include "trefoil/duty/holder_record.h"
#include "trefoil/node/internal/move_control.h"

#include <spdlog/spdlog.h>

namespace trefoil {
namespace {

constexpr Milliseconds kDutyCallTimeout{ 1'400 };
constexpr Milliseconds kMoveCallTimeout{ 2'500 };

ControlEffect
StoreCallOf(const GrantLease& aEffect, Instant aNow)
{
  return SendLeaseCall{ .mKind = LeaseCallKind::kGrant,
                        .mCallNumber = aEffect.mCallNumber,
                        .mDeadline = aNow + kDutyCallTimeout };
}

ControlEffect
StoreCallOf(const RenewLease& aEffect, Instant aNow)
{
  return SendLeaseCall{ .mKind = LeaseCallKind::kRenew,
                        .mCallNumber = aEffect.mCallNumber,
                        .mLease = aEffect.mLease,
                        .mDeadline = aNow + kDutyCallTimeout };
}

ControlEffect
StoreCallOf(const EndLease& aEffect, Instant aNow)
{
  return SendLeaseCall{ .mKind = LeaseCallKind::kEnd,
                        .mLease = aEffect.mLease,
                        .mDeadline = aNow + kDutyCallTimeout };
}

ControlEffect
StoreCallOf(const WriteDutyClaim& aEffect, Instant aNow)
{
  return WriteStoreEntry{ .mTopic = StoreTopic::kLeases,
                          .mTag = aEffect.mCallNumber,
                          .mWrite = { .mKey = DutyClaimKey(aEffect.mService),
                                      .mValue = RenderHolderRecord(aEffect.mRecord),
                                      .mLease = aEffect.mLease },
                          .mDeadline = aNow + kDutyCallTimeout };
}

ControlEffect
StoreCallOf(const ReadDutyClaim& aEffect, Instant aNow)
{
  return ReadStoreEntry{ .mTopic = StoreTopic::kLeases,
                         .mTag = aEffect.mCallNumber,
                         .mKey = DutyClaimKey(aEffect.mService),
                         .mDeadline = aNow + kDutyCallTimeout };
}

// Returns the event for the claim that the call belongs to.
DutyClaimCompleted
ClaimCompletionOf(const NodeControlState& aState,
                  std::uint64_t aCallNumber,
                  DutyClaimResult aResult,
                  const StoreEntry& aEntry)
{
  DutyClaimCompleted completed{ .mCallNumber = aCallNumber,
                                .mResult = aResult,
                                .mRevision = aEntry.mRevision };
  for (const auto& [service, claim] : aState.mMoves.mDuties.mClaims) {
    if (claim.mCallNumber == aCallNumber) {
      completed.mService = service;
    }
  }
  const auto record = ParseHolderRecord(aEntry.mValue);
  if (record.ok()) {
    completed.mRecord = *record;
  }
  return completed;
}

DutyClaimResult
ResultOf(const StoreWriteResult& aWrite)
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
StepDuties(NodeControlState& aState, const DutyEvent& aEvent, Instant aNow)
{
  ControlEffects effects;
  AppendDutyEffects(effects, Step(aState.mMoves.mDuties, aEvent, aNow), aNow);
  return effects;
}

// Removes and returns the pending call with the tag. Returns std::nullopt if there is none.
std::optional<MoveCall>
RemoveCall(MovesState& aMoves, std::uint64_t aTag)
{
  const auto found = aMoves.mCalls.find(aTag);
  if (found == aMoves.mCalls.end()) {
    return std::nullopt;
  }
  MoveCall call = std::move(found->second);
  aMoves.mCalls.erase(found);
  return call;
}

// Passes an event to the version move of a service if this host still holds the duty.
void
StepMove(NodeControlState& aState, const ServiceId& aService, const MoveEvent& aEvent, Instant aNow)
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
AppendDutyEffects(ControlEffects& aEffects, const DutyEffects& aEffect, Instant aNow)
{
  for (const DutyEffect& effect : aEffect) {
    aEffects.push_back(std::visit(
      [aNow](const auto& aAlternative) { return StoreCallOf(aAlternative, aNow); }, effect));
  }
}

void
AppendMoveRecordCalls(NodeControlState& aState,
                      const ServiceId& aService,
                      const MoveEffects& aEffect,
                      ControlEffects& aEffects,
                      Instant aNow)
{
  for (const MoveEffect& effect : aEffect) {
    const std::uint64_t tag = ++aState.mMoves.mNextTag;
    MoveCall& call = aState.mMoves.mCalls[tag];
    call.mService = aService;
    if (const auto* write = std::get_if<WriteMoveRecord>(&effect)) {
      call.mRecord = write->mRecord;
      aEffects.emplace_back(WriteStoreEntry{ .mTopic = StoreTopic::kMoves,
                                             .mTag = tag,
                                             .mWrite = { .mKey = MoveKey(aService),
                                                         .mValue = RenderMoveRecord(write->mRecord),
                                                         .mExpected = write->mExpected },
                                             .mDeadline = aNow + kMoveCallTimeout });
    } else {
      aEffects.emplace_back(ReadStoreEntry{ .mTopic = StoreTopic::kMoves,
                                            .mTag = tag,
                                            .mKey = MoveKey(aService),
                                            .mDeadline = aNow + kMoveCallTimeout });
    }
  }
}

ControlEffects
OnLeaseCall(NodeControlState& aState, const LeaseCallCompleted& aEvent, Instant aNow)
{
  switch (aEvent.mAnswer) {
    case LeaseRenewalResult::kLive:
      return StepDuties(
        aState,
        LeaseCallSucceeded{ .mCallNumber = aEvent.mCallNumber, .mLease = aEvent.mLease },
        aNow);
    case LeaseRenewalResult::kLost:
      return StepDuties(aState, LeaseLost{ .mLease = aEvent.mLease }, aNow);
    case LeaseRenewalResult::kUnknown:
      return StepDuties(aState, LeaseCallFailed{ .mCallNumber = aEvent.mCallNumber }, aNow);
  }
  return {};
}

ControlEffects
OnMovesRead(NodeControlState& aState, const StoreReadCompleted& aEvent, Instant aNow)
{
  if (aEvent.mTopic == StoreTopic::kLeases) {
    const StoreEntry entry = aEvent.mEntry.ok() ? *aEvent.mEntry : StoreEntry{};
    const DutyClaimResult found =
      entry.mRevision == 0 ? DutyClaimResult::kFree : DutyClaimResult::kTaken;
    const DutyClaimResult result = aEvent.mEntry.ok() ? found : DutyClaimResult::kUnknown;
    return StepDuties(aState, ClaimCompletionOf(aState, aEvent.mTag, result, entry), aNow);
  }
  if (aEvent.mTopic == StoreTopic::kMoves) {
    if (const auto call = RemoveCall(aState.mMoves, aEvent.mTag)) {
      StepMove(aState, call->mService, ReadEventOf(aEvent.mEntry), aNow);
    }
  }
  return {};
}

ControlEffects
OnMovesWrite(NodeControlState& aState, const StoreWriteCompleted& aEvent, Instant aNow)
{
  if (aEvent.mTopic == StoreTopic::kLeases) {
    return StepDuties(
      aState,
      ClaimCompletionOf(aState, aEvent.mTag, ResultOf(aEvent.mWrite), aEvent.mWrite.mCurrent),
      aNow);
  }
  if (aEvent.mTopic != StoreTopic::kMoves) {
    return {};
  }
  const auto call = RemoveCall(aState.mMoves, aEvent.mTag);
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
