// Tracks up to which revision a host has received the changes of the keys with a prefix in the
// store, and retains recent changes to relay them to other hosts.
//
//   ApplyList(record, items, revision, sentAt);
//   ApplyChanges(record, items, revision, sentAt, true);
//   std::optional<std::vector<StoreItem>> changes = ChangesSince(record, 1'200);
//
// Plain data and pure functions.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/store/store_call.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace trefoil {

struct PrefixRecord
{
  // The host has received all changes up to this revision; 0 before the first list.
  std::int64_t mRevision = 0;
  // The revision of the newest of these changes, or an upper bound if it cannot be determined.
  std::int64_t mLastChange = 0;
  // The latest time at which the received changes were confirmed to be complete.
  Instant mConfirmedAt;
  // All changes after this revision are retained in mChanges.
  std::int64_t mRetainedSince = 0;
  // The newest change of each key, by key.
  std::map<std::string, StoreItem> mChanges;
  // The keys that exist, as far as this host has received their changes.
  std::set<std::string> mKeys;
};

// An update from another host about the same keys.
struct PrefixUpdate
{
  // The values of the other host's PrefixRecord.
  std::int64_t mRevision = 0;
  std::int64_t mLastChange = 0;
  // `mItems` contains all changes after this revision; std::nullopt if the items are omitted.
  std::optional<std::int64_t> mItemsSince;
  std::vector<StoreItem> mItems;
  // A time on this host's clock at which the other host's state was complete; std::nullopt if it
  // cannot be determined.
  std::optional<Instant> mConfirmedAt;
};

enum class UpdateOutcome
{
  // The update contains no change that this host lacks.
  kCurrent,
  // The items contain new changes, which were applied.
  kChanged,
  // The update omits changes that this host lacks, so the host must fetch them from the store.
  kBehind,
  // The update is from an earlier life of the store and confirms nothing.
  kOutdated,
};

// Revisions are those of store_revision.h.

// Records that a list of all keys, complete at `aRevision`, was received. The request for it was
// sent at `aSentAt`. Drops the retained changes.
void
ApplyList(PrefixRecord& aRecord,
          const std::vector<StoreItem>& aItems,
          std::int64_t aRevision,
          Instant aSentAt);

// Returns the changes after the record's revision that lead to a list, complete at `aRevision`, for
// ApplyChanges(). A key that is missing counts as removed at `aRevision`. Items that are newer than
// the list are left to the first watch after it. Returns std::nullopt if the changes cannot be
// determined, before the first list and if the list is of another life of the store.
std::optional<std::vector<StoreItem>>
ChangesInList(const PrefixRecord& aRecord,
              const std::vector<StoreItem>& aItems,
              std::int64_t aRevision);

// Applies all changes from the record's revision up to `aRevision`. The request for them was sent
// at `aSentAt`. If `aRetainChanges` is true, the changes are retained for other hosts.
void
ApplyChanges(PrefixRecord& aRecord,
             const std::vector<StoreItem>& aItems,
             std::int64_t aRevision,
             Instant aSentAt,
             bool aRetainChanges);

// Applies an update from another host. `aRetainChanges` is as for ApplyChanges(). The record's
// revision also advances if the update shows that there was no change: otherwise it would in a
// quiet time fall behind the changes that the store and other hosts retain.
UpdateOutcome
ApplyPrefixUpdate(PrefixRecord& aRecord, const PrefixUpdate& aUpdate, bool aRetainChanges);

// Returns when the host must query the store itself if it last received an update from another host
// at `aLastReceivedAt` and receives no further one. This is early enough to observe removed keys
// and leaving servers in time even if the other host has lost its connection to the store.
Instant
StoreCallDueAt(const PrefixRecord& aRecord, Instant aLastReceivedAt);

// Returns the newest change of each key that changed after `aRevision`, or std::nullopt if not all
// of these changes are retained.
std::optional<std::vector<StoreItem>>
ChangesSince(const PrefixRecord& aRecord, std::int64_t aRevision);

} // namespace trefoil
