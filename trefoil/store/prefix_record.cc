#include "trefoil/store/prefix_record.h"

#include "trefoil/base/store_revision.h"

#include <algorithm>

namespace trefoil {
namespace {

// Several times the number of servers that change in the seconds for which a host may be
// unreachable.
constexpr std::size_t kMaxRetainedChanges = 2'000;
// A host queries the store if it receives no update from other hosts for this time, in which two of
// their replies are missing.
constexpr Milliseconds kMaxUpdateSilence{ 2'000 };
// The maximum age of the state received from other hosts. A change must reach all hosts within 3 s.
constexpr Milliseconds kMaxAge{ 2'200 };

} // namespace

void
ApplyList(PrefixRecord& aRecord,
          const std::vector<StoreItem>& aItems,
          std::int64_t aRevision,
          Instant aSentAt)
{
  // A list does not contain the keys that were removed before it.
  aRecord.mChanges.clear();
  aRecord.mRevision = std::max(aRecord.mRevision, aRevision);
  aRecord.mRetainedSince = aRecord.mRevision;
  aRecord.mLastChange = aRecord.mRevision;
  aRecord.mConfirmedAt = std::max(aRecord.mConfirmedAt, aSentAt);
  aRecord.mKeys.clear();
  for (const StoreItem& item : aItems) {
    aRecord.mKeys.insert(item.mKey);
  }
}

std::optional<std::vector<StoreItem>>
ChangesInList(const PrefixRecord& aRecord,
              const std::vector<StoreItem>& aItems,
              std::int64_t aRevision)
{
  if (aRecord.mRevision == 0 || EraOf(aRevision) != EraOf(aRecord.mRevision)) {
    return std::nullopt;
  }
  std::vector<StoreItem> changes;
  if (aRevision <= aRecord.mRevision) {
    return changes;
  }
  std::set<std::string> missing = aRecord.mKeys;
  for (const StoreItem& item : aItems) {
    missing.erase(item.mKey);
    if (item.mRevision > aRecord.mRevision && item.mRevision <= aRevision) {
      changes.push_back(item);
    }
  }
  for (const std::string& key : missing) {
    changes.push_back({ .mKey = key, .mRevision = aRevision, .mRemoved = true });
  }
  return changes;
}

void
ApplyChanges(PrefixRecord& aRecord,
             const std::vector<StoreItem>& aItems,
             std::int64_t aRevision,
             Instant aSentAt,
             bool aRetainChanges)
{
  for (const StoreItem& item : aItems) {
    aRecord.mLastChange = std::max(aRecord.mLastChange, item.mRevision);
    if (item.mRemoved) {
      aRecord.mKeys.erase(item.mKey);
    } else {
      aRecord.mKeys.insert(item.mKey);
    }
    if (!aRetainChanges) {
      continue;
    }
    StoreItem& retained = aRecord.mChanges[item.mKey];
    if (retained.mRevision < item.mRevision) {
      retained = item;
    }
  }
  aRecord.mRevision = std::max({ aRecord.mRevision, aRevision, aRecord.mLastChange });
  aRecord.mConfirmedAt = std::max(aRecord.mConfirmedAt, aSentAt);
  if (!aRetainChanges || aRecord.mChanges.size() > kMaxRetainedChanges) {
    aRecord.mChanges.clear();
    aRecord.mRetainedSince = aRecord.mRevision;
  }
}

UpdateOutcome
ApplyPrefixUpdate(PrefixRecord& aRecord, const PrefixUpdate& aUpdate, bool aRetainChanges)
{
  if (EraOf(aUpdate.mRevision) < EraOf(aRecord.mRevision)) {
    return UpdateOutcome::kOutdated;
  }
  // Changes of one life of the store do not lead from another one to the present.
  if (EraOf(aUpdate.mRevision) > EraOf(aRecord.mRevision)) {
    return UpdateOutcome::kBehind;
  }
  const Instant currentAt = aUpdate.mConfirmedAt.value_or(Instant{});
  if (aUpdate.mLastChange <= aRecord.mRevision) {
    // The update covers all changes up to its revision, and this host has the last of them.
    ApplyChanges(aRecord, {}, aUpdate.mRevision, currentAt, aRetainChanges);
    return UpdateOutcome::kCurrent;
  }
  // An earlier message may have been lost, so there may be changes between the record's revision
  // and the first item.
  if (!aUpdate.mItemsSince.has_value() || aRecord.mRevision < *aUpdate.mItemsSince) {
    return UpdateOutcome::kBehind;
  }
  ApplyChanges(aRecord, aUpdate.mItems, aUpdate.mRevision, currentAt, aRetainChanges);
  return UpdateOutcome::kChanged;
}

Instant
StoreCallDueAt(const PrefixRecord& aRecord, Instant aLastReceivedAt)
{
  return std::min(aLastReceivedAt + kMaxUpdateSilence, aRecord.mConfirmedAt + kMaxAge);
}

std::optional<std::vector<StoreItem>>
ChangesSince(const PrefixRecord& aRecord, std::int64_t aRevision)
{
  if (aRecord.mRevision == 0 || aRevision < aRecord.mRetainedSince) {
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
