// What is known of the keys of a prefix in the store, and what of it other hosts may lack.
//
//   NoteList(record, items, revision, sentAt);
//   NoteChanges(record, items, revision, sentAt);
//   std::optional<std::vector<StoreItem>> changes = ChangesSince(record, 1'200);
//
// Plain data and pure functions.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/store/store_call.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

struct PrefixRecord
{
  // All changes up to this revision are known; 0 before the first list.
  std::int64_t mRevision = 0;
  // The newest of them, or a later revision where that is not known.
  std::int64_t mLastChange = 0;
  // What is known was complete then.
  Instant mCurrentAt;
  // The newest change of each key since mKeptSince.
  std::int64_t mKeptSince = 0;
  std::map<std::string, StoreItem> mChanges;
};

// What another host knows of the same keys.
struct PrefixUpdate
{
  std::int64_t mRevision = 0;
  std::int64_t mLastChange = 0;
  // The items are all changes after this revision; nothing if they are left out.
  std::optional<std::int64_t> mItemsSince;
  std::vector<StoreItem> mItems;
  // The other host's knowledge was complete then, by this host's clock; nothing if that is unknown.
  std::optional<Instant> mCurrentAt;
};

enum class UpdateOutcome
{
  // Nothing has changed since this host's own knowledge.
  kCurrent,
  // The items are new to this host.
  kChanged,
  // There are changes that this host must ask the store for.
  kBehind,
};

// Takes in a list of all keys, complete at a revision, asked for at a time.
void
NoteList(PrefixRecord& aRecord, std::int64_t aRevision, Instant aSentAt);

// Takes in all changes up to a revision. `aKeep` keeps them for other hosts.
void
NoteChanges(PrefixRecord& aRecord,
            const std::vector<StoreItem>& aItems,
            std::int64_t aRevision,
            Instant aSentAt,
            bool aKeep);

// Takes in what another host knows.
UpdateOutcome
NoteNews(PrefixRecord& aRecord, const PrefixUpdate& aUpdate, bool aKeep);

// Returns when a host must ask the store itself, if it last heard of the keys from another host at
// `aHeardAt` and hears nothing further. That is soon enough for keys that were taken away and
// servers that leave, though the other host may have lost the store meanwhile.
Instant
AskStoreAt(const PrefixRecord& aRecord, Instant aHeardAt);

// Returns the changes after a revision; nothing if they are not all kept.
std::optional<std::vector<StoreItem>>
ChangesSince(const PrefixRecord& aRecord, std::int64_t aRevision);

} // namespace trefoil
