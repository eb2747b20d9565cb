// The records that the store holds of non-idempotent requests: one claim for each idempotency key.
//
//   SlotId slot = SlotOf(options, key, keyDate);
//   SlotValue value{ .mBucket = slot.mBucket, .mRecords = { record } };
//
// Keys are hashed to slots, and a slot has one value for each time bucket. A value holds many
// claims, so one compare-and-swap writes many claims. The values of a slot form a ring: the store
// key of a bucket that is older than the retention is reused, which bounds the size of the store.
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
  // The claimant may dispatch or has dispatched the request. The outcome is not recorded yet.
  kClaimed,
  // The claimant did not dispatch the request and never will. The key may be claimed again.
  kNotRun,
  // The request was dispatched and answered.
  kRan,
  // The request was dispatched and may have run, but there is no response.
  kMayHaveRun,
};

inline constexpr NameTable<ClaimStage, 4> kClaimStageNames{ {
  { ClaimStage::kClaimed, "claimed" },
  { ClaimStage::kNotRun, "not_run" },
  { ClaimStage::kRan, "ran" },
  { ClaimStage::kMayHaveRun, "may_have_run" },
} };

// The stage of a claimed request and, for kRan, the response.
struct ClaimOutcome
{
  ClaimStage mStage = ClaimStage::kClaimed;
  int mHttpStatus = 0;
  // The body of the response; empty if it is longer than kMaxRecordedBodyBytes.
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

// The claim of one idempotency key.
struct ClaimRecord
{
  // Digest of the service, the client account and the caller's idempotency key.
  std::string mKey;
  // Random for each claim, so that a claimant can identify its own claim when it reads the store.
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

// Identifies a slot and a time bucket of it.
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

// A value and its revision in the store. The revision is 0 if the value does not exist.
struct StoredSlot
{
  SlotValue mValue;
  std::uint64_t mRevision = 0;
};

struct ClaimOptions
{
  std::uint32_t mSlots = 4;
  std::int64_t mBucketMilliseconds = 1'000;
  // Number of buckets of a slot before the store key of the first one is reused.
  std::int64_t mRingBuckets = 4'096;
  // Keys with an older date are refused.
  std::int64_t mRetentionMilliseconds = 3'600'000;
  // Keys with a date further in the future are refused. Also the maximum difference between the
  // wall clocks of two hosts.
  std::int64_t mMaxFutureMilliseconds = 240'000;
  // Maximum number of claims in a value, which keeps it well below a megabyte.
  std::size_t mMaxRecords = 400;
  // Minimum time between two store calls for one slot, and between any two store calls of the host.
  std::int64_t mMinSlotIntervalMilliseconds = 25;
  std::int64_t mMinHostIntervalMilliseconds = 10;
  // Backoff of all store calls of the host after a failed one. It doubles with each consecutive
  // failure, up to 16 times this value.
  std::int64_t mFailureBackoffMilliseconds = 200;
  // Maximum number of outcomes per slot and bucket that are not stored yet.
  std::size_t mMaxPendingOutcomes = 400;
  // Maximum number of cached slots and buckets. Those with pending claims or calls are never
  // evicted.
  std::size_t mMaxCachedSlots = 128;
};

// Returns the slot and bucket of a key. `aKey` is the digest in ClaimRecord::mKey.
SlotId
SlotOf(const ClaimOptions& aOptions, std::string_view aKey, WallTime aKeyDate);

// Returns the store key of the value of a slot and bucket.
std::string
StoreKeyOf(const ClaimOptions& aOptions, const SlotId& aSlot);

// Returns the record of a key, or null if there is none.
const ClaimRecord*
FindRecord(const SlotValue& aValue, std::string_view aKey);

} // namespace trefoil
