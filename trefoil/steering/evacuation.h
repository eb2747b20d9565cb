// Tracks the availability zones whose evacuation the operators have ordered.
//
//   EvacuationState evacuation{ .mPrefix = "op/evacuate/", .mZones = zones };
//   for (const EvacuationChange& change : ApplyEvacuationList(evacuation, items, revision)) { ... }
//   if (auto change = ApplyEvacuationItem(evacuation, item)) { ... }
//   std::set<AvailabilityZoneId> closed = EvacuatedZones(evacuation);
//
// A zone is closed while the store has its key. Changes arrive from the store and from other hosts
// in any order and repeatedly; per zone, the one with the highest revision counts. Revisions are
// those of store_revision.h. Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/name_table.h"
#include "trefoil/store/store_call.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace trefoil {

struct ZoneEvacuation
{
  // The revision of the latest change, or of a later complete list.
  std::int64_t mRevision = 0;
  bool mIsClosed = false;
};

struct EvacuationState
{
  // The prefix of the keys; the rest of a key is the name of the zone. No key is one if it is
  // empty.
  std::string mPrefix;
  // The zones of the deployment. Orders for others are rejected.
  std::vector<AvailabilityZoneId> mZones;
  std::map<AvailabilityZoneId, ZoneEvacuation> mEvacuations;
  // The revision of the latest complete list.
  std::int64_t mListRevision = 0;
  // The revisions of the rejected keys, by key, so that each one is reported once.
  std::map<std::string, std::int64_t> mRejected;
};

enum class EvacuationOutcome
{
  kClosed,
  kOpen,
  kRejectedNoZone,
  kRejectedUnknownZone,
};

inline constexpr NameTable<EvacuationOutcome, 4> kEvacuationOutcomeNames{ {
  { EvacuationOutcome::kClosed, "closed" },
  { EvacuationOutcome::kOpen, "open" },
  { EvacuationOutcome::kRejectedNoZone, "no_zone" },
  { EvacuationOutcome::kRejectedUnknownZone, "unknown_zone" },
} };

// What a change of the store has changed in the state.
struct EvacuationChange
{
  AvailabilityZoneId mZone;
  EvacuationOutcome mOutcome = EvacuationOutcome::kClosed;
  std::int64_t mRevision = 0;

  friend bool operator==(const EvacuationChange&, const EvacuationChange&) = default;
};

// Returns whether `aKey` orders, or should order, the evacuation of a zone.
bool
IsEvacuationKey(const EvacuationState& aState, const std::string& aKey);

// Applies a changed or removed key. Returns std::nullopt if nothing has changed: for other keys,
// changes that are not later than what is known, and keys that were rejected at this revision
// before.
std::optional<EvacuationChange>
ApplyEvacuationItem(EvacuationState& aState, const StoreItem& aItem);

// Applies a list of all keys as of `aRevision`. Other keys in it are ignored. Zones whose key is
// missing are open unless they were closed after `aRevision`.
std::vector<EvacuationChange>
ApplyEvacuationList(EvacuationState& aState,
                    const std::vector<StoreItem>& aItems,
                    std::int64_t aRevision);

std::set<AvailabilityZoneId>
EvacuatedZones(const EvacuationState& aState);

} // namespace trefoil
