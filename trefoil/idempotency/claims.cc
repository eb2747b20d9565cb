#include "trefoil/idempotency/claims.h"

#include <algorithm>
#include <iterator>

namespace trefoil {
namespace {

constexpr int kMaxPauseDoublings = 4;
constexpr int kMaxBackoff = 5;

// Returns the record of a key in a value that may be changed, null if there is none.
ClaimRecord*
FindRecord(SlotValue& aValue, std::string_view aKey)
{
  const auto found = std::ranges::find(aValue.mRecords, aKey, &ClaimRecord::mKey);
  return found == aValue.mRecords.end() ? nullptr : &*found;
}

// Returns whether a claim may take the place of `aRecord`: its claimant said that it never ran, or
// this host is the claimant and is about to say so.
bool
IsReplaceable(const SlotState& aSlot, const ClaimRecord& aRecord)
{
  if (aRecord.mOutcome.mStage == ClaimStage::kNotRun) {
    return true;
  }
  const auto own = aSlot.mOutcomes.find(aRecord.mNonce);
  return own != aSlot.mOutcomes.end() && own->second.mOutcome.mStage == ClaimStage::kNotRun;
}

ClaimAnswer
AnswerFor(const ClaimRecord& aStanding, const ClaimRecord& aWanted)
{
  if (aStanding.mNonce == aWanted.mNonce) {
    return ClaimAnswer::kDispatch;
  }
  if (aStanding.mRequestSha256 != aWanted.mRequestSha256) {
    return ClaimAnswer::kOtherRequest;
  }
  const bool open = aStanding.mOutcome.mStage == ClaimStage::kClaimed;
  return open ? ClaimAnswer::kInProgress : ClaimAnswer::kRecorded;
}

// Returns what a known value says to a pending claim, nothing if the claim has to be written.
std::optional<ClaimDecided>
Decide(const ClaimOptions& aOptions, const SlotState& aSlot, SlotId aId, const PendingClaim& aClaim)
{
  const auto decided = [&aClaim](ClaimAnswer aAnswer, const ClaimRecord& aRecord) {
    return ClaimDecided{ .mWaiter = aClaim.mWaiter, .mAnswer = aAnswer, .mRecord = aRecord };
  };
  const SlotValue& value = aSlot.mKnown->mValue;
  if (value.mBucket > aId.mBucket) {
    return decided(ClaimAnswer::kExpired, aClaim.mRecord);
  }
  if (value.mBucket < aId.mBucket) {
    return std::nullopt;
  }
  const ClaimRecord* standing = FindRecord(value, aClaim.mRecord.mKey);
  if (standing == nullptr) {
    const bool full = value.mRecords.size() >= aOptions.mMaxRecords;
    return full ? std::optional{ decided(ClaimAnswer::kFull, aClaim.mRecord) } : std::nullopt;
  }
  if (standing->mNonce != aClaim.mRecord.mNonce && IsReplaceable(aSlot, *standing)) {
    return std::nullopt;
  }
  return decided(AnswerFor(*standing, aClaim.mRecord), *standing);
}

// Decides the pending claims that a newly learned value answers.
void
SettleClaims(const ClaimOptions& aOptions, SlotId aId, SlotState& aSlot, ClaimEffects& aEffects)
{
  for (auto entry = aSlot.mClaims.begin(); entry != aSlot.mClaims.end();) {
    const auto decided = Decide(aOptions, aSlot, aId, entry->second);
    if (decided.has_value()) {
      aEffects.emplace_back(*decided);
      entry = aSlot.mClaims.erase(entry);
    } else {
      ++entry;
    }
  }
}

// Returns whether the value holds an outcome, or another claim took the place of one not run.
bool
IsSuperseded(const SlotValue& aValue, const ClaimRecord& aOutcome)
{
  const ClaimRecord* standing = FindRecord(aValue, aOutcome.mKey);
  if (standing == nullptr) {
    return false;
  }
  const bool notRun = aOutcome.mOutcome.mStage == ClaimStage::kNotRun;
  return *standing == aOutcome || (notRun && standing->mNonce != aOutcome.mNonce);
}

// Forgets the outcomes that need not be written any more.
void
SettleOutcomes(SlotId aId, SlotState& aSlot)
{
  const SlotValue& value = aSlot.mKnown->mValue;
  if (value.mBucket < aId.mBucket) {
    return;
  }
  std::erase_if(aSlot.mOutcomes, [&](const auto& aEntry) {
    return value.mBucket > aId.mBucket || IsSuperseded(value, aEntry.second);
  });
}

void
Settle(const ClaimOptions& aOptions, SlotId aId, SlotState& aSlot, ClaimEffects& aEffects)
{
  SettleClaims(aOptions, aId, aSlot, aEffects);
  SettleOutcomes(aId, aSlot);
}

void
MergeClaim(const ClaimOptions& aOptions, const ClaimRecord& aRecord, SlotValue& aValue)
{
  ClaimRecord* standing = FindRecord(aValue, aRecord.mKey);
  if (standing == nullptr) {
    if (aValue.mRecords.size() < aOptions.mMaxRecords) {
      aValue.mRecords.push_back(aRecord);
    }
  } else if (standing->mOutcome.mStage == ClaimStage::kNotRun) {
    *standing = aRecord;
  }
}

// Returns the known value with the host's outcomes and claims.
SlotValue
Merge(const ClaimOptions& aOptions, SlotId aId, const SlotState& aSlot)
{
  SlotValue value = aSlot.mKnown->mValue;
  if (value.mBucket < aId.mBucket) {
    value = { .mBucket = aId.mBucket };
  }
  for (const auto& [nonce, outcome] : aSlot.mOutcomes) {
    ClaimRecord* standing = FindRecord(value, outcome.mKey);
    if (standing != nullptr && standing->mNonce == nonce) {
      *standing = outcome;
    }
  }
  for (const auto& [nonce, claim] : aSlot.mClaims) {
    MergeClaim(aOptions, claim.mRecord, value);
  }
  return value;
}

bool
NeedsCall(const SlotState& aSlot)
{
  const bool waits = !aSlot.mClaims.empty() || !aSlot.mOutcomes.empty();
  return waits && !aSlot.mSettled && aSlot.mCall == SlotCall::kNone;
}

// Starts the call that a slot needs next. Returns nothing if the store holds all already.
std::optional<ClaimEffect>
StartCall(const ClaimOptions& aOptions, SlotId aId, SlotState& aSlot)
{
  if (!aSlot.mKnown.has_value()) {
    aSlot.mCall = SlotCall::kReading;
    return SlotReadWanted{ .mSlot = aId };
  }
  SlotValue merged = Merge(aOptions, aId, aSlot);
  if (merged == aSlot.mKnown->mValue || merged.mRecords.empty()) {
    aSlot.mSettled = true;
    return std::nullopt;
  }
  aSlot.mCall = SlotCall::kWriting;
  aSlot.mWriting = merged;
  return SlotWriteWanted{ .mSlot = aId,
                          .mValue = std::move(merged),
                          .mExpected = aSlot.mKnown->mRevision };
}

// Keeps an outcome until the store holds it. One that does not fit is lost: the claim then stands
// as "may have run".
void
KeepOutcome(const ClaimOptions& aOptions, SlotState& aSlot, const ClaimRecord& aRecord)
{
  if (aSlot.mOutcomes.size() < aOptions.mMaxOutcomes) {
    aSlot.mOutcomes[aRecord.mNonce] = aRecord;
  }
}

void
ExpireClaims(const ClaimOptions& aOptions, SlotState& aSlot, ClaimEffects& aEffects, Instant aNow)
{
  for (auto entry = aSlot.mClaims.begin(); entry != aSlot.mClaims.end();) {
    PendingClaim& claim = entry->second;
    if (!HasPassed(claim.mDeadline, aNow)) {
      ++entry;
      continue;
    }
    aEffects.emplace_back(ClaimDecided{
      .mWaiter = claim.mWaiter, .mAnswer = ClaimAnswer::kNoStore, .mRecord = claim.mRecord });
    claim.mRecord.mOutcome.mStage = ClaimStage::kNotRun;
    KeepOutcome(aOptions, aSlot, claim.mRecord);
    entry = aSlot.mClaims.erase(entry);
  }
}

bool
HoldsAnswers(const SlotState& aSlot)
{
  return std::ranges::any_of(aSlot.mOutcomes, [](const auto& aEntry) {
    return aEntry.second.mOutcome.mStage != ClaimStage::kNotRun;
  });
}

// Returns whether `aLeft` is the better one to forget.
bool
IsLessUseful(const SlotState& aLeft, const SlotState& aRight)
{
  const bool leftHolds = HoldsAnswers(aLeft);
  const bool rightHolds = HoldsAnswers(aRight);
  return leftHolds == rightHolds ? aLeft.mLastUsedAt < aRight.mLastUsedAt : rightHolds;
}

// Forgets slots that no claim waits for, first those without an answer for the store and of them
// those that were not used for longest.
void
DropIdleSlots(Claims& aClaims)
{
  while (aClaims.mSlots.size() > aClaims.mOptions.mMaxSlotsKept) {
    auto oldest = aClaims.mSlots.end();
    for (auto slot = aClaims.mSlots.begin(); slot != aClaims.mSlots.end(); ++slot) {
      const bool idle = slot->second.mCall == SlotCall::kNone && slot->second.mClaims.empty();
      const bool first = oldest == aClaims.mSlots.end();
      oldest = idle && (first || IsLessUseful(slot->second, oldest->second)) ? slot : oldest;
    }
    if (oldest == aClaims.mSlots.end()) {
      return;
    }
    aClaims.mSlots.erase(oldest);
  }
}

// Returns the outcome of a key that this host dispatched and the store may not hold yet.
const ClaimRecord*
OwnOutcome(const SlotState& aSlot, const std::string& aKey)
{
  const auto own = std::ranges::find_if(aSlot.mOutcomes, [&aKey](const auto& aEntry) {
    return aEntry.second.mKey == aKey && aEntry.second.mOutcome.mStage != ClaimStage::kNotRun;
  });
  return own == aSlot.mOutcomes.end() ? nullptr : &own->second;
}

// Holds back the host's calls after one that failed.
void
PauseCalls(Claims& aClaims, Instant aNow)
{
  const std::int64_t factor = std::int64_t{ 1 } << std::min(aClaims.mFailures, kMaxPauseDoublings);
  ++aClaims.mFailures;
  aClaims.mNextCallAt = aNow + Milliseconds{ aClaims.mOptions.mFailurePauseMilliseconds * factor };
}

void
On(Claims& aClaims, const ClaimWanted& aEvent, ClaimEffects& aEffects, Instant aNow)
{
  SlotState& slot = aClaims.mSlots[aEvent.mSlot];
  slot.mLastUsedAt = aNow;
  if (const ClaimRecord* own = OwnOutcome(slot, aEvent.mRecord.mKey)) {
    aEffects.emplace_back(ClaimDecided{
      .mWaiter = aEvent.mWaiter, .mAnswer = AnswerFor(*own, aEvent.mRecord), .mRecord = *own });
    return;
  }
  slot.mClaims[aEvent.mRecord.mNonce] = { .mWaiter = aEvent.mWaiter,
                                          .mRecord = aEvent.mRecord,
                                          .mDeadline = aEvent.mDeadline };
  if (!slot.mKnown.has_value()) {
    return;
  }
  const ClaimRecord* standing = FindRecord(slot.mKnown->mValue, aEvent.mRecord.mKey);
  if (standing != nullptr && standing->mOutcome.mStage == ClaimStage::kClaimed) {
    // The claim may have ended since the value was seen.
    slot.mKnown.reset();
    return;
  }
  Settle(aClaims.mOptions, aEvent.mSlot, slot, aEffects);
}

void
On(Claims& aClaims, const OutcomeKnown& aEvent, ClaimEffects&, Instant aNow)
{
  SlotState& slot = aClaims.mSlots[aEvent.mSlot];
  slot.mLastUsedAt = aNow;
  KeepOutcome(aClaims.mOptions, slot, aEvent.mRecord);
  if (slot.mKnown.has_value() && slot.mKnown->mRevision == 0) {
    // The slot was forgotten since the claim: its value has to be read.
    slot.mKnown.reset();
  }
}

void
On(Claims& aClaims, const SlotReadEnded& aEvent, ClaimEffects& aEffects, Instant aNow)
{
  SlotState& slot = aClaims.mSlots[aEvent.mSlot];
  slot.mCall = SlotCall::kNone;
  if (!aEvent.mStored.has_value()) {
    PauseCalls(aClaims, aNow);
    return;
  }
  aClaims.mFailures = 0;
  slot.mKnown = aEvent.mStored;
  Settle(aClaims.mOptions, aEvent.mSlot, slot, aEffects);
}

void
On(Claims& aClaims, const SlotWriteEnded& aEvent, ClaimEffects& aEffects, Instant aNow)
{
  SlotState& slot = aClaims.mSlots[aEvent.mSlot];
  slot.mCall = SlotCall::kNone;
  switch (aEvent.mResult) {
    case SlotWriteResult::kWritten:
      aClaims.mBackoff = std::max(aClaims.mBackoff - 1, 0);
      slot.mKnown = { .mValue = std::move(slot.mWriting), .mRevision = aEvent.mStored.mRevision };
      break;
    case SlotWriteResult::kConflict:
      aClaims.mBackoff = std::min(aClaims.mBackoff + 1, kMaxBackoff);
      slot.mKnown = aEvent.mStored;
      break;
    case SlotWriteResult::kNotWritten:
      PauseCalls(aClaims, aNow);
      return;
    case SlotWriteResult::kUnknown:
      slot.mKnown.reset();
      PauseCalls(aClaims, aNow);
      return;
  }
  aClaims.mFailures = 0;
  Settle(aClaims.mOptions, aEvent.mSlot, slot, aEffects);
}

} // namespace

ClaimEffects
Step(Claims& aClaims, const ClaimEvent& aEvent, Instant aNow)
{
  ClaimEffects effects;
  // A claim whose deadline has passed is ended first: its request may have been answered.
  const auto prepare = [&](const auto& aKind) {
    SlotState& slot = aClaims.mSlots[aKind.mSlot];
    slot.mSettled = false;
    ExpireClaims(aClaims.mOptions, slot, effects, aNow);
  };
  std::visit(prepare, aEvent);
  std::visit([&](const auto& aKind) { On(aClaims, aKind, effects, aNow); }, aEvent);
  std::ranges::move(Tick(aClaims, aNow), std::back_inserter(effects));
  return effects;
}

ClaimEffects
Tick(Claims& aClaims, Instant aNow)
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
      const std::int64_t factor = std::int64_t{ 1 } << aClaims.mBackoff;
      slot.mNextCallAt = aNow + Milliseconds{ aClaims.mOptions.mSlotPaceMilliseconds * factor };
      aClaims.mNextCallAt = aNow + Milliseconds{ aClaims.mOptions.mHostPaceMilliseconds };
    }
  }
  DropIdleSlots(aClaims);
  return effects;
}

Instant
NextTimer(const Claims& aClaims, Instant aLatest)
{
  Instant next = aLatest;
  for (const auto& [id, slot] : aClaims.mSlots) {
    for (const auto& [nonce, claim] : slot.mClaims) {
      next = std::min(next, claim.mDeadline);
    }
    if (NeedsCall(slot)) {
      next = std::min(next, std::max(slot.mNextCallAt, aClaims.mNextCallAt));
    }
  }
  return next;
}

} // namespace trefoil
