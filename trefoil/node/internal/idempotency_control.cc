#include "trefoil/node/internal/idempotency_control.h"

#include "trefoil/idempotency/slot_codec.h"

#include <utility>

namespace trefoil {
namespace {

constexpr Milliseconds kStoreTimeout{ 1'000 };
// A tag holds the bucket in its low bits and the slot above them.
constexpr unsigned kBucketBits = 48;

std::uint64_t
TagOf(const SlotId& aSlot)
{
  return (std::uint64_t{ aSlot.mSlot } << kBucketBits) | static_cast<std::uint64_t>(aSlot.mBucket);
}

SlotId
SlotOfTag(std::uint64_t aTag)
{
  constexpr std::uint64_t kBucketMask = (std::uint64_t{ 1 } << kBucketBits) - 1;
  return { .mSlot = static_cast<std::uint32_t>(aTag >> kBucketBits),
           .mBucket = static_cast<std::int64_t>(aTag & kBucketMask) };
}

ControlEffect
Translate(const ClaimOptions&, const AnswerClaim& aEffect, Instant)
{
  return aEffect;
}

ControlEffect
Translate(const ClaimOptions& aOptions, const ReadSlot& aEffect, Instant aNow)
{
  return ReadStoreEntry{ .mTopic = StoreTopic::kClaims,
                         .mTag = TagOf(aEffect.mSlot),
                         .mKey = StoreKeyOf(aOptions, aEffect.mSlot),
                         .mDeadline = aNow + kStoreTimeout };
}

ControlEffect
Translate(const ClaimOptions& aOptions, const WriteSlot& aEffect, Instant aNow)
{
  return WriteStoreEntry{ .mTopic = StoreTopic::kClaims,
                          .mTag = TagOf(aEffect.mSlot),
                          .mWrite = { .mKey = StoreKeyOf(aOptions, aEffect.mSlot),
                                      .mValue = EncodeSlot(aEffect.mValue),
                                      .mExpected = aEffect.mExpected },
                          .mDeadline = aNow + kStoreTimeout };
}

ControlEffects
Translate(const ClaimOptions& aOptions, const ClaimEffects& aEffects, Instant aNow)
{
  ControlEffects effects;
  for (const ClaimEffect& effect : aEffects) {
    effects.push_back(std::visit(
      [&](const auto& aAlternative) { return Translate(aOptions, aAlternative, aNow); }, effect));
  }
  return effects;
}

ControlEffects
StepClaims(IdempotencyControlState& aState, const ClaimEvent& aEvent, Instant aNow)
{
  return Translate(aState.mClaims.mOptions, Step(aState.mClaims, aEvent, aNow), aNow);
}

// Returns std::nullopt if the value of the entry is not a valid slot. An empty value of a key that
// exists counts as invalid: reading it as an empty slot would lose claims.
std::optional<StoredSlot>
StoredSlotOf(const StoreEntry& aEntry)
{
  if (aEntry.mValue.empty() && aEntry.mRevision != 0) {
    return std::nullopt;
  }
  auto value = DecodeSlot(aEntry.mValue);
  if (!value.ok()) {
    return std::nullopt;
  }
  return StoredSlot{ .mValue = std::move(*value), .mRevision = aEntry.mRevision };
}

SlotWriteResult
ResultOf(StoreWriteState aState)
{
  switch (aState) {
    case StoreWriteState::kWritten:
      return SlotWriteResult::kWritten;
    case StoreWriteState::kConflict:
      return SlotWriteResult::kConflict;
    case StoreWriteState::kNotWritten:
      return SlotWriteResult::kNotWritten;
    case StoreWriteState::kUnknown:
      break;
  }
  return SlotWriteResult::kUnknown;
}

} // namespace

ControlEffects
OnIdempotency(IdempotencyControlState& aState, const ClaimRequested& aEvent, Instant aNow)
{
  return StepClaims(aState, aEvent, aNow);
}

ControlEffects
OnIdempotency(IdempotencyControlState& aState, const ClaimCompleted& aEvent, Instant aNow)
{
  return StepClaims(aState, aEvent, aNow);
}

ControlEffects
OnIdempotency(IdempotencyControlState& aState, const TicketRequested& aEvent, Instant)
{
  return { AnswerTicketRequest{
    .mWaiter = aEvent.mWaiter,
    .mTicket = IssueTicket(aState.mTickets, aEvent.mAccount, aEvent.mService, aEvent.mNow) } };
}

ControlEffects
OnIdempotency(IdempotencyControlState& aState, const TicketUsed& aEvent, Instant)
{
  return { AnswerTicketUse{
    .mWaiter = aEvent.mWaiter,
    .mAnswer = UseTicket(aState.mTickets, aEvent.mTicket, aEvent.mRequestSha256, aEvent.mNow) } };
}

ControlEffects
OnIdempotency(IdempotencyControlState& aState, const TicketRequestCompleted& aEvent, Instant)
{
  RecordTicketOutcome(aState.mTickets, aEvent.mSerial, aEvent.mOutcome);
  return {};
}

ControlEffects
OnIdempotency(IdempotencyControlState& aState, const StoreReadCompleted& aEvent, Instant aNow)
{
  SlotReadCompleted completed{ .mSlot = SlotOfTag(aEvent.mTag) };
  if (aEvent.mEntry.ok()) {
    completed.mStored = StoredSlotOf(*aEvent.mEntry);
  }
  return StepClaims(aState, completed, aNow);
}

ControlEffects
OnIdempotency(IdempotencyControlState& aState, const StoreWriteCompleted& aEvent, Instant aNow)
{
  SlotWriteCompleted completed{ .mSlot = SlotOfTag(aEvent.mTag),
                                .mResult = ResultOf(aEvent.mWrite.mState) };
  const auto stored = StoredSlotOf(aEvent.mWrite.mCurrent);
  if (stored.has_value()) {
    completed.mStored = *stored;
  } else {
    completed.mResult = SlotWriteResult::kUnknown;
  }
  return StepClaims(aState, completed, aNow);
}

ControlEffects
OnIdempotencyTimer(IdempotencyControlState& aState, Instant aNow)
{
  return Translate(aState.mClaims.mOptions, Tick(aState.mClaims, aNow), aNow);
}

} // namespace trefoil
