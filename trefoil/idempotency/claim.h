// What the store holds about non-idempotent requests: one claim for each idempotency key.
//
//   SlotId slot = SlotOf(options, key, keyDate);
//   SlotValue value{ .mBucket = slot.mBucket, .mRecords = { record } };
//
// Keys hash to slots, and a slot has one value for each bucket of time. A value holds many claims,
// so one compare-and-swap writes many. The values of a slot form a ring: once a bucket is older
// than the retention, its place in the store is written anew, so what the store holds is bounded.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

enum class ClaimStage
{
  // The claimant may dispatch the request, or has done so. No outcome is known.
  kClaimed,
  // The claimant says that it did not dispatch and never will. The key may be claimed anew.
  kNotRun,
  kRan,
  kMayHaveRun,
};

inline constexpr NameTable<ClaimStage, 4> kClaimStageNames{ {
  { ClaimStage::kClaimed, "claimed" },
  { ClaimStage::kNotRun, "not_run" },
  { ClaimStage::kRan, "ran" },
  { ClaimStage::kMayHaveRun, "may_have_run" },
} };

// How a claimed request ended.
struct ClaimOutcome
{
  ClaimStage mStage = ClaimStage::kClaimed;
  int mHttpStatus = 0;
  // The answer's body, empty if it was longer than kMaxRecordedBodyBytes.
  std::string mBody;
  std::string mBodySha256;

  friend bool operator==(const ClaimOutcome&, const ClaimOutcome&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mStage, mHttpStatus, mBody, mBodySha256);
  }
};

inline constexpr std::size_t kMaxRecordedBodyBytes = 256;

struct ClaimRecord
{
  // Digest of service, client account and the caller's key.
  std::string mKey;
  // Drawn anew for each claim: tells a claimant its own claim when it reads the store.
  std::string mNonce;
  HostId mClaimant;
  std::string mRequestSha256;
  ClaimOutcome mOutcome;

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mNonce, mClaimant, mRequestSha256, mOutcome);
  }
};

struct SlotId
{
  std::uint32_t mSlot = 0;
  std::int64_t mBucket = 0;

  friend auto operator<=>(const SlotId&, const SlotId&) = default;
};

// The value of one slot and bucket.
struct SlotValue
{
  std::int64_t mBucket = 0;
  std::vector<ClaimRecord> mRecords;

  friend bool operator==(const SlotValue&, const SlotValue&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBucket, mRecords);
  }
};

// A value and the revision that the store gave it; 0 for a value that does not exist.
struct StoredSlot
{
  SlotValue mValue;
  std::uint64_t mRevision = 0;
};

struct ClaimOptions
{
  std::uint32_t mSlots = 4;
  std::int64_t mBucketMilliseconds = 1'000;
  // Buckets of a slot before the first one's place is used again.
  std::int64_t mRingBuckets = 4'096;
  // Keys older than this are refused.
  std::int64_t mRetentionMilliseconds = 3'600'000;
  // Keys dated further ahead are refused. Also the most that two hosts' calendars may differ.
  std::int64_t mMaxAheadMilliseconds = 240'000;
  // A value with as many claims takes no more, so that it stays well below a megabyte.
  std::size_t mMaxRecords = 400;
  // The least time between two calls for one slot, and between any two of the host.
  std::int64_t mSlotPaceMilliseconds = 25;
  std::int64_t mHostPaceMilliseconds = 10;
  // The host's pause after a call that failed; it doubles up to 16 times with each failure in a
  // row.
  std::int64_t mFailurePauseMilliseconds = 200;
  // Outcomes that wait for the store, for each slot and bucket.
  std::size_t mMaxOutcomes = 400;
  // Slots and buckets whose values are remembered.
  std::size_t mMaxSlotsKept = 128;
};

// Returns where the claim of a key belongs. `aKey` is the digest that a record holds.
SlotId
SlotOf(const ClaimOptions& aOptions, std::string_view aKey, WallTime aKeyDate);

// Returns the key of a slot's value in the store.
std::string
StoreKeyOf(const ClaimOptions& aOptions, const SlotId& aSlot);

// Returns the record of a key, null if there is none.
const ClaimRecord*
FindRecord(const SlotValue& aValue, std::string_view aKey);

} // namespace trefoil
