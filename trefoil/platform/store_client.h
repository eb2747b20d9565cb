// The platform's key-value service.
//
//   StoreClient store{ .mEndpoint = endpoint };
//   absl::StatusOr<StoreListing> all = List(store, "services/", Now() + kStoreLimit);
//   StoreWrite write = CompareAndSwap(store, { .mKey = key, .mValue = text, .mExpected = 0 },
//   deadline);
//
// docs/PROTOCOLS.md gives the service's interface. Each call blocks until its deadline at most; the
// client holds no state, so any number of threads may call.
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
  // The store's revision at the last write of the key; 0 for a key that does not exist.
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
  // The revision that the key must have now; 0 if it must not exist.
  std::uint64_t mExpected = 0;
  // The lease that the key ends with; 0 for none.
  std::uint64_t mLease = 0;
};

enum class StoreWriteState
{
  kWritten,
  // The key has another revision. Nothing was written.
  kConflict,
  // The request did not reach the store.
  kNotWritten,
  // No answer came: the write may have taken effect.
  kUnknown,
};

inline constexpr NameTable<StoreWriteState, 4> kStoreWriteStateNames{ {
  { StoreWriteState::kWritten, "written" },
  { StoreWriteState::kConflict, "conflict" },
  { StoreWriteState::kNotWritten, "not_written" },
  { StoreWriteState::kUnknown, "unknown" },
} };

struct StoreWrite
{
  StoreWriteState mState = StoreWriteState::kNotWritten;
  // kWritten: the new revision. kConflict: what stands there.
  StoreEntry mCurrent;
  std::string mReason;
};

// Returns the entry of a key, with revision 0 if there is none.
absl::StatusOr<StoreEntry>
Read(const StoreClient& aStore, std::string_view aKey, Instant aDeadline);

// Returns all entries whose keys begin with `aPrefix`.
absl::StatusOr<StoreListing>
List(const StoreClient& aStore, std::string_view aPrefix, Instant aDeadline);

// Waits until an entry under `aPrefix` has a revision over `aAfter`, `aWaitUntil` at most. Returns
// the changed entries, deleted ones among them; none if nothing changed.
absl::StatusOr<StoreListing>
Watch(const StoreClient& aStore,
      std::string_view aPrefix,
      std::uint64_t aAfter,
      Instant aWaitUntil);

// Writes a value if the key still has the expected revision.
StoreWrite
CompareAndSwap(const StoreClient& aStore, const StoreWriteRequest& aWrite, Instant aDeadline);

} // namespace trefoil
