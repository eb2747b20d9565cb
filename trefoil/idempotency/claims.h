// Claims of idempotency keys by one entry host: who may dispatch a non-idempotent request.
//
//   Claims claims{ .mOptions = {} };
//   ClaimEffects effects = Step(claims, ClaimWanted{ .mWaiter = 7, .mSlot = slot, .mRecord =
//   record,
//                                                    .mDeadline = deadline }, aNow);
//   // carry out the effects; feed SlotReadEnded and SlotWriteEnded back; call Tick at NextTimer
//
// A request may be dispatched only after the answer kDispatch, which comes at most once for each
// nonce and at most for one nonce of a key. What makes two hosts safe is the compare-and-swap of
// the store; a stale value only costs a further call. A write whose answer was lost is resolved by
// reading back and looking for the nonce. Calls to the store are paced by slot and by host, so
// their number does not depend on the number of requests.
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
  // The caller of Step may dispatch, once.
  kDispatch,
  // An earlier request with the key has ended; the record says how.
  kRecorded,
  // An earlier request with the key was claimed and its outcome is not known.
  kInProgress,
  // The key was used with another request.
  kOtherRequest,
  // The claims of the key's time are not kept any more.
  kExpired,
  // The value takes no more claims.
  kFull,
  // The store did not answer in time. This claim will never lead to a dispatch.
  kNoStore,
};

inline constexpr NameTable<ClaimAnswer, 7> kClaimAnswerNames{ {
  { ClaimAnswer::kDispatch, "dispatch" },
  { ClaimAnswer::kRecorded, "recorded" },
  { ClaimAnswer::kInProgress, "in_progress" },
  { ClaimAnswer::kOtherRequest, "other_request" },
  { ClaimAnswer::kExpired, "expired" },
  { ClaimAnswer::kFull, "full" },
  { ClaimAnswer::kNoStore, "no_store" },
} };

// A request asks for its key.
struct ClaimWanted
{
  // Names the request in ClaimDecided.
  std::uint64_t mWaiter = 0;
  SlotId mSlot;
  // With a fresh nonce, in stage kClaimed.
  ClaimRecord mRecord;
  // When the answer is kNoStore at the latest.
  Instant mDeadline;
};

// A request that was told kDispatch has ended, or gave up and will not dispatch (kNotRun).
struct OutcomeKnown
{
  SlotId mSlot;
  ClaimRecord mRecord;
};

// A read of a slot has ended.
struct SlotReadEnded
{
  SlotId mSlot;
  // Nothing if the store did not answer.
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

// A write of a slot has ended.
struct SlotWriteEnded
{
  SlotId mSlot;
  SlotWriteResult mResult = SlotWriteResult::kUnknown;
  // kConflict: what stands there. kWritten: its revision.
  StoredSlot mStored;
};

using ClaimEvent = std::variant<ClaimWanted, OutcomeKnown, SlotReadEnded, SlotWriteEnded>;

// Answer the request.
struct ClaimDecided
{
  std::uint64_t mWaiter = 0;
  ClaimAnswer mAnswer = ClaimAnswer::kNoStore;
  ClaimRecord mRecord;
};

struct SlotReadWanted
{
  SlotId mSlot;
};

struct SlotWriteWanted
{
  SlotId mSlot;
  SlotValue mValue;
  std::uint64_t mExpected = 0;
};

using ClaimEffect = std::variant<ClaimDecided, SlotReadWanted, SlotWriteWanted>;
using ClaimEffects = std::vector<ClaimEffect>;

enum class SlotCall
{
  kNone,
  kReading,
  kWriting,
};

struct PendingClaim
{
  std::uint64_t mWaiter = 0;
  ClaimRecord mRecord;
  Instant mDeadline;
};

// What the host knows of one slot and bucket.
struct SlotState
{
  // The newest value seen; nothing if it has to be read. A new slot is taken to be empty: if it is
  // not, the first write conflicts and tells the value.
  std::optional<StoredSlot> mKnown = StoredSlot{};
  // By nonce.
  std::map<std::string, PendingClaim> mClaims;
  // Outcomes that the store does not hold yet, by nonce.
  std::map<std::string, ClaimRecord> mOutcomes;
  SlotCall mCall = SlotCall::kNone;
  // The value of the write under way.
  SlotValue mWriting;
  // Whether the store held all at the last look, and nothing has changed since.
  bool mSettled = false;
  Instant mNextCallAt;
  Instant mLastUsedAt;
};

struct Claims
{
  ClaimOptions mOptions;
  std::map<SlotId, SlotState> mSlots;
  // Calls in a row that the store did not answer.
  int mFailures = 0;
  // How often the pace of a slot is halved, because other hosts write the same slots.
  int mBackoff = 0;
  Instant mNextCallAt;
};

ClaimEffects
Step(Claims& aClaims, const ClaimEvent& aEvent, Instant aNow);

// Ends claims whose deadline has passed and starts the calls that are due.
ClaimEffects
Tick(Claims& aClaims, Instant aNow);

// Returns when Tick is due; `aLatest` if nothing waits.
Instant
NextTimer(const Claims& aClaims, Instant aLatest);

} // namespace trefoil
