#include "trefoil/node/internal/idempotency_control.h"

#include "trefoil/idempotency/slot_codec.h"

#include <utility>

namespace trefoil {
namespace {

constexpr Milliseconds kStoreLimit{ 1'000 };
// A tag holds a slot above its bucket.
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
  return StoreReadWanted{ .mTopic = StoreTopic::kClaims,
                          .mTag = TagOf(aEffect.mSlot),
                          .mKey = StoreKeyOf(aOptions, aEffect.mSlot),
                          .mDeadline = aNow + kStoreLimit };
}

ControlEffect
Translate(const ClaimOptions& aOptions, const WriteSlot& aEffect, Instant aNow)
{
  return StoreWriteWanted{ .mTopic = StoreTopic::kClaims,
                           .mTag = TagOf(aEffect.mSlot),
                           .mWrite = { .mKey = StoreKeyOf(aOptions, aEffect.mSlot),
                                       .mValue = EncodeSlot(aEffect.mValue),
                                       .mExpected = aEffect.mExpected },
                           .mDeadline = aNow + kStoreLimit };
}

ControlEffects
Translate(const ClaimOptions& aOptions, const ClaimEffects& aEffects, Instant aNow)
{
  ControlEffects effects;
  for (const ClaimEffect& effect : aEffects) {
    effects.push_back(
      std::visit([&](const auto& aKind) { return Translate(aOptions, aKind, aNow); }, effect));
  }
  return effects;
}

ControlEffects
StepClaims(IdempotencyControl& aState, const ClaimEvent& aEvent, Instant aNow)
{
  return Translate(aState.mClaims.mOptions, Step(aState.mClaims, aEvent, aNow), aNow);
}

// Returns nothing for an entry that holds no slot: the store's answer is then of no use. An empty
// value that was written is no empty slot: to take it for one would forget claims.
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
OnIdempotency(IdempotencyControl& aState, const ClaimRequested& aEvent, Instant aNow)
{
  return StepClaims(aState, aEvent, aNow);
}

ControlEffects
OnIdempotency(IdempotencyControl& aState, const ClaimCompleted& aEvent, Instant aNow)
{
  return StepClaims(aState, aEvent, aNow);
}

ControlEffects
OnIdempotency(IdempotencyControl& aState, const TicketWanted& aEvent, Instant)
{
  return { TicketMinted{
    .mWaiter = aEvent.mWaiter,
    .mTicket = IssueTicket(aState.mTickets, aEvent.mAccount, aEvent.mService, aEvent.mNow) } };
}

ControlEffects
OnIdempotency(IdempotencyControl& aState, const TicketUsed& aEvent, Instant)
{
  return { TicketDecided{
    .mWaiter = aEvent.mWaiter,
    .mAnswer = UseTicket(aState.mTickets, aEvent.mTicket, aEvent.mRequestSha256, aEvent.mNow) } };
}

ControlEffects
OnIdempotency(IdempotencyControl& aState, const TicketEnded& aEvent, Instant)
{
  RecordTicketOutcome(aState.mTickets, aEvent.mSerial, aEvent.mOutcome);
  return {};
}

ControlEffects
OnIdempotency(IdempotencyControl& aState, const StoreReadDone& aEvent, Instant aNow)
{
  SlotReadCompleted ended{ .mSlot = SlotOfTag(aEvent.mTag) };
  if (aEvent.mEntry.ok()) {
    ended.mStored = StoredSlotOf(*aEvent.mEntry);
  }
  return StepClaims(aState, ended, aNow);
}

ControlEffects
OnIdempotency(IdempotencyControl& aState, const StoreWriteDone& aEvent, Instant aNow)
{
  SlotWriteCompleted ended{ .mSlot = SlotOfTag(aEvent.mTag),
                            .mResult = ResultOf(aEvent.mWrite.mState) };
  const auto stored = StoredSlotOf(aEvent.mWrite.mCurrent);
  if (stored.has_value()) {
    ended.mStored = *stored;
  } else {
    ended.mResult = SlotWriteResult::kUnknown;
  }
  return StepClaims(aState, ended, aNow);
}

ControlEffects
OnIdempotencyTimer(IdempotencyControl& aState, Instant aNow)
{
  return Translate(aState.mClaims.mOptions, Tick(aState.mClaims, aNow), aNow);
}

} // namespace trefoil
