// Calls to a key-value store with revisions, watches and leases, and their answers.
//
//   StoreCall call = Commit{ .mExpected = { { key, 0 } }, .mWrites = { { key, value, lease } } };
//
// Plain structs; an adapter gives them the bytes of a particular store.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace trefoil {

struct ReadKey
{
  std::string mKey;
};

struct ListKeys
{
  std::string mPrefix;
  // Names the last key of the page before; empty for the first page.
  std::string mAfterKey;
  // An answer that is seconds old is good enough.
  bool mMayBeStale = false;
};

// Waits for changes after a revision.
struct WatchKeys
{
  std::string mPrefix;
  std::int64_t mAfterRevision = 0;
  Milliseconds mWait{ 0 };
};

struct ExpectedKey
{
  std::string mKey;
  // 0: the key must not exist.
  std::int64_t mRevision = 0;
};

struct KeyWrite
{
  std::string mKey;
  std::string mValue;
  // The key ends with this lease; 0 for none.
  std::uint64_t mLease = 0;
};

// Writes all keys if all expectations hold, else none.
struct Commit
{
  std::vector<ExpectedKey> mExpected;
  std::vector<KeyWrite> mWrites;
  std::vector<std::string> mRemoves;
};

struct GrantStoreLease
{
  Milliseconds mTime{ 0 };
};

struct RenewStoreLease
{
  std::uint64_t mLease = 0;
};

struct EndStoreLease
{
  std::uint64_t mLease = 0;
};

using StoreCall = std::
  variant<ReadKey, ListKeys, WatchKeys, Commit, GrantStoreLease, RenewStoreLease, EndStoreLease>;

struct StoreItem
{
  std::string mKey;
  std::string mValue;
  std::int64_t mRevision = 0;
  // The key is gone as of the revision; only in changes.
  bool mRemoved = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mValue, mRevision, mRemoved);
  }
};

enum class StoreOutcome
{
  kDone,
  // The key or lease does not exist.
  kNotFound,
  // An expectation of a commit did not hold; the items say what stands there.
  kConflict,
  // The changes asked for are no longer kept.
  kHistoryGone,
  // The store did nothing: it is busy or refuses this host.
  kRefused,
  // No answer came; the call may have taken effect, or may still do so.
  kUnknown,
};

inline constexpr NameTable<StoreOutcome, 6> kStoreOutcomeNames{ {
  { StoreOutcome::kDone, "done" },
  { StoreOutcome::kNotFound, "not_found" },
  { StoreOutcome::kConflict, "conflict" },
  { StoreOutcome::kHistoryGone, "history_gone" },
  { StoreOutcome::kRefused, "refused" },
  { StoreOutcome::kUnknown, "unknown" },
} };

struct StoreAnswer
{
  StoreOutcome mOutcome = StoreOutcome::kUnknown;
  std::vector<StoreItem> mItems;
  // A list has further pages.
  bool mHasMore = false;
  // The store's revision as of the answer, or that of a commit.
  std::int64_t mRevision = 0;
  std::uint64_t mLease = 0;
  // How long the lease lasts from the arrival of the call.
  Milliseconds mLeaseTime{ 0 };
};

} // namespace trefoil
