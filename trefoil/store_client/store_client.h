// A blocking client for the platform's key-value service.
//
//   StoreClient store{ .mEndpoint = endpoint };
//   absl::StatusOr<StoreListing> all = List(store, "services/", deadline);
//   StoreWriteRequest request{ .mKey = key, .mValue = text, .mExpected = 0 };
//   StoreWriteResult write = CompareAndSwap(store, request, deadline);
//
// docs/PROTOCOLS.md describes the service's interface. Each call blocks until its deadline at most.
// The client has no mutable state, so any number of threads may use it.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

struct StoreClient
{
  Endpoint mEndpoint;
};

struct StoreEntry
{
  std::string mKey;
  std::string mValue;
  // The store's revision at the last change of the key; 0 for a key that does not exist.
  std::uint64_t mRevision = 0;
  bool mDeleted = false;
};

struct StoreListing
{
  // The store's revision when the listing was made.
  std::uint64_t mRevision = 0;
  std::vector<StoreEntry> mEntries;
};

struct StoreWriteRequest
{
  std::string mKey;
  std::string mValue;
  // The revision that the key must have; 0 if it must not exist.
  std::uint64_t mExpected = 0;
  // The key is removed when this lease ends; 0 for no lease.
  std::uint64_t mLease = 0;
};

enum class StoreWriteState
{
  kWritten,
  // The key does not have the expected revision. The write had no effect.
  kConflict,
  // The request did not run on the store.
  kNotWritten,
  // No valid answer arrived; the write may have taken effect.
  kUnknown,
};

inline constexpr NameTable<StoreWriteState, 4> kStoreWriteStateNames{ {
  { StoreWriteState::kWritten, "written" },
  { StoreWriteState::kConflict, "conflict" },
  { StoreWriteState::kNotWritten, "not_written" },
  { StoreWriteState::kUnknown, "unknown" },
} };

// The result of a write.
struct StoreWriteResult
{
  StoreWriteState mState = StoreWriteState::kNotWritten;
  // The current entry of the key if the state is kWritten or kConflict.
  StoreEntry mCurrent;
  // The error message if the state is kNotWritten or kUnknown.
  std::string mReason;
};

// Returns the entry of a key, with revision 0 if the key does not exist. This function, List() and
// Watch() return DataLoss if the answer cannot be parsed, and other errors if the call fails.
absl::StatusOr<StoreEntry>
Read(const StoreClient& aStore, std::string_view aKey, Instant aDeadline);

// Returns all entries whose keys start with `aPrefix`.
absl::StatusOr<StoreListing>
List(const StoreClient& aStore, std::string_view aPrefix, Instant aDeadline);

// Waits until an entry whose key starts with `aPrefix` has a revision above `aAfterRevision`, or
// until `aWaitUntil`. Returns the changed entries, including deleted ones; empty if there was no
// change. May block 2 s longer than `aWaitUntil` while the answer is on its way.
absl::StatusOr<StoreListing>
Watch(const StoreClient& aStore,
      std::string_view aPrefix,
      std::uint64_t aAfterRevision,
      Instant aWaitUntil);

// Writes a value if the key has the expected revision.
StoreWriteResult
CompareAndSwap(const StoreClient& aStore, const StoreWriteRequest& aWrite, Instant aDeadline);

} // namespace trefoil
