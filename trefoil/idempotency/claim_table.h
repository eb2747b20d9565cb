// The idempotency keys that one entry host claims. Decides whether the host may dispatch a
// non-idempotent request, so that no request with the same key is dispatched by two hosts.
//
//   ClaimTable claims{ .mOptions = {} };
//   const ClaimRequested event{ .mWaiter = 7, .mSlot = slot, .mRecord = record };
//   ClaimEffects effects = Step(claims, event, aNow);
//
// The caller executes the effects, reports the results of store calls as SlotReadCompleted and
// SlotWriteCompleted, and calls Tick at NextTimer.
//
// A request may be dispatched only after the answer kDispatch. Each nonce gets this answer at most
// once. Another nonce of the same key gets it only after the earlier claimant reported kNotRun. The
// compare-and-swap of the store prevents two hosts from claiming the same key; a stale cached value
// only costs an additional store call. If the result of a write is unknown, the value is read
// again and searched for the nonce. The rate of store calls is limited for each slot and for the
// host, so it does not depend on the number of requests.
//
// Plain data and functions without I/O.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/idempotency/claim.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace trefoil {

enum class ClaimAnswer
{
  // The request may be dispatched once.
  kDispatch,
  // An earlier request with the key has ended. The record contains its outcome.
  kRecorded,
  // An earlier request claimed the key, and its outcome is not recorded yet.
  kInProgress,
  // The key was used with a different request.
  kOtherRequest,
  // The claims of the key's time bucket have been overwritten by those of a later bucket.
  kExpired,
  // The value of the key's slot and bucket has reached mMaxRecords.
  kFull,
  // The store did not answer before the deadline. This claim never leads to a dispatch.
  kStoreUnavailable,
};

inline constexpr NameTable<ClaimAnswer, 7> kClaimAnswerNames{ {
  { ClaimAnswer::kDispatch, "dispatch" },
  { ClaimAnswer::kRecorded, "recorded" },
  { ClaimAnswer::kInProgress, "in_progress" },
  { ClaimAnswer::kOtherRequest, "other_request" },
  { ClaimAnswer::kExpired, "expired" },
  { ClaimAnswer::kFull, "full" },
  { ClaimAnswer::kStoreUnavailable, "no_store" },
} };

// Event: a request needs its key claimed.
struct ClaimRequested
{
  // Identifies the request in AnswerClaim.
  std::uint64_t mWaiter = 0;
  SlotId mSlot;
  // In stage kClaimed, with a new nonce.
  ClaimRecord mRecord;
  // A claim that is undecided at this time is answered kStoreUnavailable.
  Instant mDeadline;
};

// Event: a request with the answer kDispatch has ended, or was abandoned and will never be
// dispatched (kNotRun).
struct ClaimCompleted
{
  SlotId mSlot;
  ClaimRecord mRecord;
};

// Event: a read of a slot has completed or failed.
struct SlotReadCompleted
{
  SlotId mSlot;
  // Empty if the read failed.
  std::optional<StoredSlot> mStored;
};

enum class SlotWriteResult
{
  kWritten,
  kConflict,
  kNotWritten,
  // The write may have taken effect.
  kUnknown,
};

// Event: a write of a slot has completed or failed.
struct SlotWriteCompleted
{
  SlotId mSlot;
  SlotWriteResult mResult = SlotWriteResult::kUnknown;
  // For kConflict, the current value in the store and its revision. For kWritten, only the revision
  // is used. Otherwise unused.
  StoredSlot mStored;
};

using ClaimEvent =
  std::variant<ClaimRequested, ClaimCompleted, SlotReadCompleted, SlotWriteCompleted>;

// Effect: answers the request `mWaiter`.
struct AnswerClaim
{
  std::uint64_t mWaiter = 0;
  ClaimAnswer mAnswer = ClaimAnswer::kStoreUnavailable;
  ClaimRecord mRecord;
};

// Effect: reads a slot from the store.
struct ReadSlot
{
  SlotId mSlot;
};

// Effect: writes a slot to the store if its revision is still mExpected.
struct WriteSlot
{
  SlotId mSlot;
  SlotValue mValue;
  std::uint64_t mExpected = 0;
};

using ClaimEffect = std::variant<AnswerClaim, ReadSlot, WriteSlot>;
using ClaimEffects = std::vector<ClaimEffect>;

// The store call in flight for a slot and bucket.
enum class SlotCall
{
  kNone,
  kReading,
  kWriting,
};

// A claim that has not been answered.
struct PendingClaim
{
  std::uint64_t mWaiter = 0;
  ClaimRecord mRecord;
  Instant mDeadline;
};

// The host's state of one slot and bucket.
struct SlotState
{
  // The latest value received from the store; empty if it must be read. A new slot is assumed to be
  // empty: if it is not, the first write conflicts and returns the current value.
  std::optional<StoredSlot> mCached = StoredSlot{};
  // Keyed by nonce.
  std::map<std::string, PendingClaim> mPendingClaims;
  // Outcomes that are not stored yet, keyed by nonce.
  std::map<std::string, ClaimRecord> mPendingOutcomes;
  SlotCall mPendingCall = SlotCall::kNone;
  // The value of the write in flight.
  SlotValue mValueInFlight;
  // Whether the last check found nothing to write and no event has been applied since.
  bool mStoreUpToDate = false;
  Instant mNextCallAt;
  Instant mLastUsedAt;
};

struct ClaimTable
{
  ClaimOptions mOptions;
  std::map<SlotId, SlotState> mSlots;
  // Number of consecutive store calls that failed.
  int mConsecutiveFailures = 0;
  // Number of times that mMinSlotIntervalMilliseconds is doubled because writes of other hosts to
  // the same slots cause conflicts.
  int mIntervalDoublings = 0;
  Instant mNextCallAt;
};

// Applies an event and returns the effects to execute, which include those of Tick.
ClaimEffects
Step(ClaimTable& aClaims, const ClaimEvent& aEvent, Instant aNow);

// Answers kStoreUnavailable to claims whose deadline has passed and starts the store calls that are
// due.
ClaimEffects
Tick(ClaimTable& aClaims, Instant aNow);

// Returns when Tick must be called next, at most `aLatest`.
Instant
NextTimer(const ClaimTable& aClaims, Instant aLatest);

} // namespace trefoil
