// Calls to a key-value store with revisions, watches and leases, and their answers.
//
//   StoreCall call = Commit{ .mExpected = { { key, 0 } }, .mWrites = { { key, value, lease } } };
//
// Plain structs; a StoreCodec encodes them for a particular store.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace trefoil {

// Reads one key.
struct ReadKey
{
  std::string mKey;
};

// Reads one page of the keys with a prefix.
struct ListKeys
{
  std::string mPrefix;
  // The last key of the previous page; empty for the first page.
  std::string mAfterKey;
  // Whether the answer may be stale by seconds.
  bool mMayBeStale = false;
};

// Waits for changes after a revision of keys with a prefix.
struct WatchKeys
{
  std::string mPrefix;
  std::int64_t mAfterRevision = 0;
  // The maximum time that the store waits before it answers without changes.
  Milliseconds mWait{ 0 };
};

// A precondition of a commit.
struct ExpectedKey
{
  std::string mKey;
  // The revision of the key's last write; 0 if the key must not exist.
  std::int64_t mRevision = 0;
};

struct KeyWrite
{
  std::string mKey;
  std::string mValue;
  // The key is removed when this lease ends; 0 for no lease.
  std::uint64_t mLease = 0;
};

// Atomically writes and removes keys if all expectations hold, and otherwise changes no key.
struct Commit
{
  std::vector<ExpectedKey> mExpected;
  std::vector<KeyWrite> mWrites;
  std::vector<std::string> mRemovedKeys;
};

struct GrantStoreLease
{
  // The TTL of the lease.
  Milliseconds mTime{ 0 };
};

// Extends a lease by its TTL.
struct RenewStoreLease
{
  std::uint64_t mLease = 0;
};

// Revokes a lease, which removes its keys.
struct RevokeStoreLease
{
  std::uint64_t mLease = 0;
};

using StoreCall = std::
  variant<ReadKey, ListKeys, WatchKeys, Commit, GrantStoreLease, RenewStoreLease, RevokeStoreLease>;

// A key and its value, or a change of a key.
struct StoreItem
{
  std::string mKey;
  std::string mValue;
  // The store's revision at the last write of the key.
  std::int64_t mRevision = 0;
  // Whether the key was removed at this revision; only set in changes.
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
  // An expectation of a commit did not hold; the items are the current ones.
  kConflict,
  // The store has compacted the requested changes.
  kCompacted,
  // The call had no effect: it did not reach the store, or the store is overloaded or rejects it.
  kRefused,
  // No valid answer arrived; the call may have taken effect or may still take effect.
  kUnknown,
};

inline constexpr NameTable<StoreOutcome, 6> kStoreOutcomeNames{ {
  { StoreOutcome::kDone, "done" },
  { StoreOutcome::kNotFound, "not_found" },
  { StoreOutcome::kConflict, "conflict" },
  { StoreOutcome::kCompacted, "history_gone" },
  { StoreOutcome::kRefused, "refused" },
  { StoreOutcome::kUnknown, "unknown" },
} };

struct StoreAnswer
{
  StoreOutcome mOutcome = StoreOutcome::kUnknown;
  // How often the store has been restored from an earlier state; 0 if the answer does not state it.
  std::int64_t mEra = 0;
  std::vector<StoreItem> mItems;
  // Whether a list has further pages.
  bool mHasMore = false;
  // The store's revision at the time of the answer, or the revision of the commit.
  std::int64_t mRevision = 0;
  // The granted lease.
  std::uint64_t mLease = 0;
  // The TTL of the lease, counted from when the store received the call.
  Milliseconds mLeaseTime{ 0 };
};

} // namespace trefoil
