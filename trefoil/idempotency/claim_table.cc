#include "trefoil/idempotency/claim_table.h"

#include <algorithm>
#include <iterator>

namespace trefoil {
namespace {

constexpr int kMaxBackoffDoublings = 4;
constexpr int kMaxIntervalDoublings = 5;

// Returns the mutable record of a key, or null if there is none.
ClaimRecord*
FindRecord(SlotValue& aValue, std::string_view aKey)
{
  const auto found = std::ranges::find(aValue.mRecords, aKey, &ClaimRecord::mKey);
  return found == aValue.mRecords.end() ? nullptr : &*found;
}

// Returns whether another claim may replace `aRecord`: its claimant recorded kNotRun, or this host
// is the claimant and kNotRun is among its pending outcomes.
bool
IsReplaceable(const SlotState& aSlot, const ClaimRecord& aRecord)
{
  if (aRecord.mOutcome.mStage == ClaimStage::kNotRun) {
    return true;
  }
  const auto pendingOutcome = aSlot.mPendingOutcomes.find(aRecord.mNonce);
  return pendingOutcome != aSlot.mPendingOutcomes.end() &&
         pendingOutcome->second.mOutcome.mStage == ClaimStage::kNotRun;
}

// Returns the answer to a claim of a key that has the record `aStored`.
ClaimAnswer
AnswerFor(const ClaimRecord& aStored, const ClaimRecord& aWanted)
{
  if (aStored.mNonce == aWanted.mNonce) {
    return ClaimAnswer::kDispatch;
  }
  if (aStored.mRequestSha256 != aWanted.mRequestSha256) {
    return ClaimAnswer::kOtherRequest;
  }
  const bool open = aStored.mOutcome.mStage == ClaimStage::kClaimed;
  return open ? ClaimAnswer::kInProgress : ClaimAnswer::kRecorded;
}

// Returns the answer to a pending claim according to the cached value, or std::nullopt if the claim
// must be written first. Must be called with a cached value.
std::optional<AnswerClaim>
Decide(const ClaimOptions& aOptions,
       const SlotState& aSlot,
       SlotId aSlotId,
       const PendingClaim& aClaim)
{
  const auto decided = [&aClaim](ClaimAnswer aAnswer, const ClaimRecord& aRecord) {
    return AnswerClaim{ .mWaiter = aClaim.mWaiter, .mAnswer = aAnswer, .mRecord = aRecord };
  };
  const SlotValue& value = aSlot.mCached->mValue;
  if (value.mBucket > aSlotId.mBucket) {
    return decided(ClaimAnswer::kExpired, aClaim.mRecord);
  }
  if (value.mBucket < aSlotId.mBucket) {
    return std::nullopt;
  }
  const ClaimRecord* storedRecord = FindRecord(value, aClaim.mRecord.mKey);
  if (storedRecord == nullptr) {
    const bool full = value.mRecords.size() >= aOptions.mMaxRecords;
    return full ? std::optional{ decided(ClaimAnswer::kFull, aClaim.mRecord) } : std::nullopt;
  }
  if (storedRecord->mNonce != aClaim.mRecord.mNonce && IsReplaceable(aSlot, *storedRecord)) {
    return std::nullopt;
  }
  return decided(AnswerFor(*storedRecord, aClaim.mRecord), *storedRecord);
}

// Answers the pending claims that the cached value decides.
void
DecideClaims(const ClaimOptions& aOptions, SlotId aSlotId, SlotState& aSlot, ClaimEffects& aEffects)
{
  for (auto entry = aSlot.mPendingClaims.begin(); entry != aSlot.mPendingClaims.end();) {
    const auto decided = Decide(aOptions, aSlot, aSlotId, entry->second);
    if (decided.has_value()) {
      aEffects.emplace_back(*decided);
      entry = aSlot.mPendingClaims.erase(entry);
    } else {
      ++entry;
    }
  }
}

// Returns whether the value contains the outcome, or another claim replaced the one that did not
// run.
bool
IsStoredOrSuperseded(const SlotValue& aValue, const ClaimRecord& aOutcome)
{
  const ClaimRecord* storedRecord = FindRecord(aValue, aOutcome.mKey);
  if (storedRecord == nullptr) {
    return false;
  }
  const bool notRun = aOutcome.mOutcome.mStage == ClaimStage::kNotRun;
  return *storedRecord == aOutcome || (notRun && storedRecord->mNonce != aOutcome.mNonce);
}

// Removes the pending outcomes that no longer need to be written.
void
RemoveStoredOutcomes(SlotId aSlotId, SlotState& aSlot)
{
  const SlotValue& value = aSlot.mCached->mValue;
  if (value.mBucket < aSlotId.mBucket) {
    return;
  }
  std::erase_if(aSlot.mPendingOutcomes, [&](const auto& aEntry) {
    return value.mBucket > aSlotId.mBucket || IsStoredOrSuperseded(value, aEntry.second);
  });
}

// Answers the claims and removes the outcomes that a new cached value settles.
void
ApplyCachedValue(const ClaimOptions& aOptions,
                 SlotId aSlotId,
                 SlotState& aSlot,
                 ClaimEffects& aEffects)
{
  DecideClaims(aOptions, aSlotId, aSlot, aEffects);
  RemoveStoredOutcomes(aSlotId, aSlot);
}

// Adds a claim to the value unless it is full or the key has a claim that must not be replaced.
void
ApplyClaim(const ClaimOptions& aOptions, const ClaimRecord& aRecord, SlotValue& aValue)
{
  ClaimRecord* storedRecord = FindRecord(aValue, aRecord.mKey);
  if (storedRecord == nullptr) {
    if (aValue.mRecords.size() < aOptions.mMaxRecords) {
      aValue.mRecords.push_back(aRecord);
    }
  } else if (storedRecord->mOutcome.mStage == ClaimStage::kNotRun) {
    *storedRecord = aRecord;
  }
}

// Returns the cached value with the pending outcomes and claims of this host applied.
SlotValue
MergedValue(const ClaimOptions& aOptions, SlotId aSlotId, const SlotState& aSlot)
{
  SlotValue value = aSlot.mCached->mValue;
  if (value.mBucket < aSlotId.mBucket) {
    value = { .mBucket = aSlotId.mBucket };
  }
  for (const auto& [nonce, outcome] : aSlot.mPendingOutcomes) {
    ClaimRecord* storedRecord = FindRecord(value, outcome.mKey);
    if (storedRecord != nullptr && storedRecord->mNonce == nonce) {
      *storedRecord = outcome;
    }
  }
  for (const auto& [nonce, claim] : aSlot.mPendingClaims) {
    ApplyClaim(aOptions, claim.mRecord, value);
  }
  return value;
}

bool
NeedsCall(const SlotState& aSlot)
{
  const bool waits = !aSlot.mPendingClaims.empty() || !aSlot.mPendingOutcomes.empty();
  return waits && !aSlot.mStoreUpToDate && aSlot.mPendingCall == SlotCall::kNone;
}

// Starts the next store call of a slot. Returns std::nullopt if nothing has to be written.
std::optional<ClaimEffect>
StartCall(const ClaimOptions& aOptions, SlotId aSlotId, SlotState& aSlot)
{
  if (!aSlot.mCached.has_value()) {
    aSlot.mPendingCall = SlotCall::kReading;
    return ReadSlot{ .mSlot = aSlotId };
  }
  SlotValue merged = MergedValue(aOptions, aSlotId, aSlot);
  if (merged == aSlot.mCached->mValue || merged.mRecords.empty()) {
    aSlot.mStoreUpToDate = true;
    return std::nullopt;
  }
  aSlot.mPendingCall = SlotCall::kWriting;
  aSlot.mValueInFlight = merged;
  return WriteSlot{ .mSlot = aSlotId,
                    .mValue = std::move(merged),
                    .mExpected = aSlot.mCached->mRevision };
}

// Queues an outcome until it is stored. If the queue is full, the outcome is dropped; the claim
// then stays in stage kClaimed, and callers that repeat the request learn that it may have run.
void
QueueOutcome(const ClaimOptions& aOptions, SlotState& aSlot, const ClaimRecord& aRecord)
{
  if (aSlot.mPendingOutcomes.size() < aOptions.mMaxPendingOutcomes) {
    aSlot.mPendingOutcomes[aRecord.mNonce] = aRecord;
  }
}

// Answers kStoreUnavailable to the pending claims whose deadline has passed and queues kNotRun for
// them.
void
ExpireClaims(const ClaimOptions& aOptions, SlotState& aSlot, ClaimEffects& aEffects, Instant aNow)
{
  for (auto entry = aSlot.mPendingClaims.begin(); entry != aSlot.mPendingClaims.end();) {
    PendingClaim& claim = entry->second;
    if (!HasPassed(claim.mDeadline, aNow)) {
      ++entry;
      continue;
    }
    aEffects.emplace_back(AnswerClaim{ .mWaiter = claim.mWaiter,
                                       .mAnswer = ClaimAnswer::kStoreUnavailable,
                                       .mRecord = claim.mRecord });
    claim.mRecord.mOutcome.mStage = ClaimStage::kNotRun;
    QueueOutcome(aOptions, aSlot, claim.mRecord);
    entry = aSlot.mPendingClaims.erase(entry);
  }
}

// Returns whether the slot has a pending outcome of a request that was dispatched.
bool
HasDispatchedOutcome(const SlotState& aSlot)
{
  return std::ranges::any_of(aSlot.mPendingOutcomes, [](const auto& aEntry) {
    return aEntry.second.mOutcome.mStage != ClaimStage::kNotRun;
  });
}

// Returns whether `aLeft` is evicted before `aRight`: slots without a pending outcome of a
// dispatched request first, then the least recently used ones.
bool
IsEvictedBefore(const SlotState& aLeft, const SlotState& aRight)
{
  const bool leftHasOutcome = HasDispatchedOutcome(aLeft);
  const bool rightHasOutcome = HasDispatchedOutcome(aRight);
  return leftHasOutcome == rightHasOutcome ? aLeft.mLastUsedAt < aRight.mLastUsedAt
                                           : rightHasOutcome;
}

// Evicts slots without pending claims and calls in the order of IsEvictedBefore until at most
// mMaxCachedSlots are left. Outcomes of evicted slots that are not stored yet are lost.
void
EvictIdleSlots(ClaimTable& aClaims)
{
  while (aClaims.mSlots.size() > aClaims.mOptions.mMaxCachedSlots) {
    auto evicted = aClaims.mSlots.end();
    for (auto slot = aClaims.mSlots.begin(); slot != aClaims.mSlots.end(); ++slot) {
      const bool idle =
        slot->second.mPendingCall == SlotCall::kNone && slot->second.mPendingClaims.empty();
      const bool first = evicted == aClaims.mSlots.end();
      evicted = idle && (first || IsEvictedBefore(slot->second, evicted->second)) ? slot : evicted;
    }
    if (evicted == aClaims.mSlots.end()) {
      return;
    }
    aClaims.mSlots.erase(evicted);
  }
}

// Returns the pending outcome of a request with this key that this host dispatched, or null if
// there is none.
const ClaimRecord*
FindDispatchedOutcome(const SlotState& aSlot, const std::string& aKey)
{
  const auto pendingOutcome =
    std::ranges::find_if(aSlot.mPendingOutcomes, [&aKey](const auto& aEntry) {
      return aEntry.second.mKey == aKey && aEntry.second.mOutcome.mStage != ClaimStage::kNotRun;
    });
  return pendingOutcome == aSlot.mPendingOutcomes.end() ? nullptr : &pendingOutcome->second;
}

// Delays all store calls of the host after a failed one.
void
DelayCallsAfterFailure(ClaimTable& aClaims, Instant aNow)
{
  const std::int64_t factor = std::int64_t{ 1 }
                              << std::min(aClaims.mConsecutiveFailures, kMaxBackoffDoublings);
  ++aClaims.mConsecutiveFailures;
  aClaims.mNextCallAt =
    aNow + Milliseconds{ aClaims.mOptions.mFailureBackoffMilliseconds * factor };
}

void
On(ClaimTable& aClaims, const ClaimRequested& aEvent, ClaimEffects& aEffects, Instant aNow)
{
  SlotState& slot = aClaims.mSlots[aEvent.mSlot];
  slot.mLastUsedAt = aNow;
  if (const ClaimRecord* pendingOutcome = FindDispatchedOutcome(slot, aEvent.mRecord.mKey)) {
    aEffects.emplace_back(AnswerClaim{ .mWaiter = aEvent.mWaiter,
                                       .mAnswer = AnswerFor(*pendingOutcome, aEvent.mRecord),
                                       .mRecord = *pendingOutcome });
    return;
  }
  slot.mPendingClaims[aEvent.mRecord.mNonce] = { .mWaiter = aEvent.mWaiter,
                                                 .mRecord = aEvent.mRecord,
                                                 .mDeadline = aEvent.mDeadline };
  if (!slot.mCached.has_value()) {
    return;
  }
  const ClaimRecord* storedRecord = FindRecord(slot.mCached->mValue, aEvent.mRecord.mKey);
  if (storedRecord != nullptr && storedRecord->mOutcome.mStage == ClaimStage::kClaimed) {
    // The claimed request may have ended since the value was cached.
    slot.mCached.reset();
    return;
  }
  ApplyCachedValue(aClaims.mOptions, aEvent.mSlot, slot, aEffects);
}

void
On(ClaimTable& aClaims, const ClaimCompleted& aEvent, ClaimEffects&, Instant aNow)
{
  SlotState& slot = aClaims.mSlots[aEvent.mSlot];
  slot.mLastUsedAt = aNow;
  QueueOutcome(aClaims.mOptions, slot, aEvent.mRecord);
  if (slot.mCached.has_value() && slot.mCached->mRevision == 0) {
    // The slot was evicted after the claim was stored: its value must be read again.
    slot.mCached.reset();
  }
}

void
On(ClaimTable& aClaims, const SlotReadCompleted& aEvent, ClaimEffects& aEffects, Instant aNow)
{
  SlotState& slot = aClaims.mSlots[aEvent.mSlot];
  slot.mPendingCall = SlotCall::kNone;
  if (!aEvent.mStored.has_value()) {
    DelayCallsAfterFailure(aClaims, aNow);
    return;
  }
  aClaims.mConsecutiveFailures = 0;
  slot.mCached = aEvent.mStored;
  ApplyCachedValue(aClaims.mOptions, aEvent.mSlot, slot, aEffects);
}

void
On(ClaimTable& aClaims, const SlotWriteCompleted& aEvent, ClaimEffects& aEffects, Instant aNow)
{
  SlotState& slot = aClaims.mSlots[aEvent.mSlot];
  slot.mPendingCall = SlotCall::kNone;
  switch (aEvent.mResult) {
    case SlotWriteResult::kWritten:
      aClaims.mIntervalDoublings = std::max(aClaims.mIntervalDoublings - 1, 0);
      slot.mCached = { .mValue = std::move(slot.mValueInFlight),
                       .mRevision = aEvent.mStored.mRevision };
      break;
    case SlotWriteResult::kConflict:
      aClaims.mIntervalDoublings = std::min(aClaims.mIntervalDoublings + 1, kMaxIntervalDoublings);
      slot.mCached = aEvent.mStored;
      break;
    case SlotWriteResult::kNotWritten:
      DelayCallsAfterFailure(aClaims, aNow);
      return;
    case SlotWriteResult::kUnknown:
      slot.mCached.reset();
      DelayCallsAfterFailure(aClaims, aNow);
      return;
  }
  aClaims.mConsecutiveFailures = 0;
  ApplyCachedValue(aClaims.mOptions, aEvent.mSlot, slot, aEffects);
}

} // namespace

ClaimEffects
Step(ClaimTable& aClaims, const ClaimEvent& aEvent, Instant aNow)
{
  ClaimEffects effects;
  // ClaimTable whose deadline has passed are answered first, because their requests may already
  // have been answered without them.
  const auto prepare = [&](const auto& aTypedEvent) {
    SlotState& slot = aClaims.mSlots[aTypedEvent.mSlot];
    slot.mStoreUpToDate = false;
    ExpireClaims(aClaims.mOptions, slot, effects, aNow);
  };
  std::visit(prepare, aEvent);
  std::visit([&](const auto& aTypedEvent) { On(aClaims, aTypedEvent, effects, aNow); }, aEvent);
  std::ranges::move(Tick(aClaims, aNow), std::back_inserter(effects));
  return effects;
}

ClaimEffects
Tick(ClaimTable& aClaims, Instant aNow)
{
  ClaimEffects effects;
  for (auto& [id, slot] : aClaims.mSlots) {
    ExpireClaims(aClaims.mOptions, slot, effects, aNow);
    const bool due = HasPassed(slot.mNextCallAt, aNow) && HasPassed(aClaims.mNextCallAt, aNow);
    if (!due || !NeedsCall(slot)) {
      continue;
    }
    if (auto call = StartCall(aClaims.mOptions, id, slot)) {
      effects.push_back(std::move(*call));
      const std::int64_t factor = std::int64_t{ 1 } << aClaims.mIntervalDoublings;
      slot.mNextCallAt =
        aNow + Milliseconds{ aClaims.mOptions.mMinSlotIntervalMilliseconds * factor };
      aClaims.mNextCallAt = aNow + Milliseconds{ aClaims.mOptions.mMinHostIntervalMilliseconds };
    }
  }
  EvictIdleSlots(aClaims);
  return effects;
}

Instant
NextTimer(const ClaimTable& aClaims, Instant aLatest)
{
  Instant next = aLatest;
  for (const auto& [id, slot] : aClaims.mSlots) {
    for (const auto& [nonce, claim] : slot.mPendingClaims) {
      next = std::min(next, claim.mDeadline);
    }
    if (NeedsCall(slot)) {
      next = std::min(next, std::max(slot.mNextCallAt, aClaims.mNextCallAt));
    }
  }
  return next;
}

} // namespace trefoil
