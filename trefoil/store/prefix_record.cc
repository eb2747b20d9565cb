#include "trefoil/store/prefix_record.h"

#include <algorithm>

namespace trefoil {
namespace {

// Several times the servers that change in the seconds for which a host may be out of touch.
constexpr std::size_t kMaxChanges = 2'000;
// The store is asked after other hosts were silent for so long: two of their replies are missing.
constexpr Milliseconds kSilence{ 2'000 };
// What other hosts know may be so old: a change must be known on all hosts within 3 s.
constexpr Milliseconds kMaxAge{ 2'200 };

} // namespace

void
NoteList(PrefixRecord& aRecord, std::int64_t aRevision, Instant aSentAt)
{
  // A list does not say which keys were removed before it.
  aRecord.mChanges.clear();
  aRecord.mKeptSince = aRevision;
  aRecord.mRevision = std::max(aRecord.mRevision, aRevision);
  aRecord.mLastChange = aRecord.mRevision;
  aRecord.mCurrentAt = std::max(aRecord.mCurrentAt, aSentAt);
}

void
NoteChanges(PrefixRecord& aRecord,
            const std::vector<StoreItem>& aItems,
            std::int64_t aRevision,
            Instant aSentAt,
            bool aKeep)
{
  for (const StoreItem& item : aItems) {
    aRecord.mLastChange = std::max(aRecord.mLastChange, item.mRevision);
    if (!aKeep) {
      continue;
    }
    StoreItem& kept = aRecord.mChanges[item.mKey];
    if (kept.mRevision < item.mRevision) {
      kept = item;
    }
  }
  aRecord.mRevision = std::max({ aRecord.mRevision, aRevision, aRecord.mLastChange });
  aRecord.mCurrentAt = std::max(aRecord.mCurrentAt, aSentAt);
  if (!aKeep || aRecord.mChanges.size() > kMaxChanges) {
    aRecord.mChanges.clear();
    aRecord.mKeptSince = aRecord.mRevision;
  }
}

UpdateOutcome
NoteNews(PrefixRecord& aRecord, const PrefixUpdate& aUpdate, bool aKeep)
{
  const Instant currentAt = aUpdate.mCurrentAt.value_or(Instant{});
  if (aUpdate.mLastChange <= aRecord.mRevision) {
    aRecord.mCurrentAt = std::max(aRecord.mCurrentAt, currentAt);
    return UpdateOutcome::kCurrent;
  }
  // A message before this one may be lost, so that items are missing in between.
  if (!aUpdate.mItemsSince.has_value() || aRecord.mRevision < *aUpdate.mItemsSince) {
    return UpdateOutcome::kBehind;
  }
  NoteChanges(aRecord, aUpdate.mItems, aUpdate.mRevision, currentAt, aKeep);
  return UpdateOutcome::kChanged;
}

Instant
AskStoreAt(const PrefixRecord& aRecord, Instant aHeardAt)
{
  return std::min(aHeardAt + kSilence, aRecord.mCurrentAt + kMaxAge);
}

std::optional<std::vector<StoreItem>>
ChangesSince(const PrefixRecord& aRecord, std::int64_t aRevision)
{
  if (aRecord.mRevision == 0 || aRevision < aRecord.mKeptSince) {
    return std::nullopt;
  }
  std::vector<StoreItem> changes;
  for (const auto& [key, item] : aRecord.mChanges) {
    if (item.mRevision > aRevision) {
      changes.push_back(item);
    }
  }
  return changes;
}

} // namespace trefoil
