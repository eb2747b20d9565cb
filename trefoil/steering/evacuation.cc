#include "trefoil/steering/evacuation.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

AvailabilityZoneId
ZoneOfKey(const EvacuationState& aState, const std::string& aKey)
{
  return AvailabilityZoneId{ aKey.substr(aState.mPrefix.size()) };
}

bool
IsZone(const EvacuationState& aState, const AvailabilityZoneId& aZone)
{
  return std::ranges::find(aState.mZones, aZone) != aState.mZones.end();
}

// Returns the rejection of the key, or std::nullopt if it was removed or rejected at this revision
// before.
std::optional<EvacuationChange>
RejectItem(EvacuationState& aState, const StoreItem& aItem, const AvailabilityZoneId& aZone)
{
  if (aItem.mRemoved) {
    return std::nullopt;
  }
  std::int64_t& reported = aState.mRejected[aItem.mKey];
  if (aItem.mRevision <= reported) {
    return std::nullopt;
  }
  reported = aItem.mRevision;
  return EvacuationChange{ .mZone = aZone,
                           .mOutcome = aZone.Empty() ? EvacuationOutcome::kRejectedNoZone
                                                     : EvacuationOutcome::kRejectedUnknownZone,
                           .mRevision = aItem.mRevision };
}

// Sets the state of a zone as of `aRevision`. Returns whether it has changed.
bool
SetZone(ZoneEvacuation& aEvacuation, bool aIsClosed, std::int64_t aRevision)
{
  aEvacuation.mRevision = aRevision;
  return std::exchange(aEvacuation.mIsClosed, aIsClosed) != aIsClosed;
}

EvacuationChange
ChangeOf(const AvailabilityZoneId& aZone, bool aIsClosed, std::int64_t aRevision)
{
  return { .mZone = aZone,
           .mOutcome = aIsClosed ? EvacuationOutcome::kClosed : EvacuationOutcome::kOpen,
           .mRevision = aRevision };
}

} // namespace

bool
IsEvacuationKey(const EvacuationState& aState, const std::string& aKey)
{
  return !aState.mPrefix.empty() && aKey.starts_with(aState.mPrefix);
}

std::optional<EvacuationChange>
ApplyEvacuationItem(EvacuationState& aState, const StoreItem& aItem)
{
  if (!IsEvacuationKey(aState, aItem.mKey)) {
    return std::nullopt;
  }
  const AvailabilityZoneId zone = ZoneOfKey(aState, aItem.mKey);
  if (!IsZone(aState, zone)) {
    return RejectItem(aState, aItem, zone);
  }
  // The list has told all changes up to its revision, also those of zones that it lacks.
  const auto known = aState.mEvacuations.find(zone);
  const std::int64_t knownRevision = known == aState.mEvacuations.end()
                                       ? aState.mListRevision
                                       : std::max(aState.mListRevision, known->second.mRevision);
  if (aItem.mRevision <= knownRevision ||
      !SetZone(aState.mEvacuations[zone], !aItem.mRemoved, aItem.mRevision)) {
    return std::nullopt;
  }
  return ChangeOf(zone, !aItem.mRemoved, aItem.mRevision);
}

std::vector<EvacuationChange>
ApplyEvacuationList(EvacuationState& aState,
                    const std::vector<StoreItem>& aItems,
                    std::int64_t aRevision)
{
  std::vector<EvacuationChange> changes;
  std::map<AvailabilityZoneId, std::int64_t> closed;
  std::set<std::string> listed;
  for (const StoreItem& item : aItems) {
    if (!IsEvacuationKey(aState, item.mKey)) {
      continue;
    }
    listed.insert(item.mKey);
    const AvailabilityZoneId zone = ZoneOfKey(aState, item.mKey);
    if (IsZone(aState, zone)) {
      closed[zone] = item.mRevision;
    } else if (const auto rejection = RejectItem(aState, item, zone)) {
      changes.push_back(*rejection);
    }
  }
  std::erase_if(aState.mRejected,
                [&listed](const auto& aItem) { return !listed.contains(aItem.first); });
  for (const AvailabilityZoneId& zone : aState.mZones) {
    const auto item = closed.find(zone);
    const bool isClosed = item != closed.end();
    // The pages of a list are read one after the other, so that an item can be later than the list.
    const std::int64_t revision = isClosed ? std::max(aRevision, item->second) : aRevision;
    ZoneEvacuation& evacuation = aState.mEvacuations[zone];
    if (revision >= evacuation.mRevision && SetZone(evacuation, isClosed, revision)) {
      changes.push_back(ChangeOf(zone, isClosed, isClosed ? item->second : aRevision));
    }
  }
  aState.mListRevision = std::max(aState.mListRevision, aRevision);
  return changes;
}

std::set<AvailabilityZoneId>
EvacuatedZones(const EvacuationState& aState)
{
  std::set<AvailabilityZoneId> zones;
  for (const auto& [zone, evacuation] : aState.mEvacuations) {
    if (evacuation.mIsClosed) {
      zones.insert(zone);
    }
  }
  return zones;
}

} // namespace trefoil
