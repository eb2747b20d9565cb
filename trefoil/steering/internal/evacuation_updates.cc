#include "trefoil/steering/internal/evacuation_updates.h"

#include "trefoil/base/store_revision.h"
#include "trefoil/steering/internal/store_updates.h"

#include <fmt/format.h>
#include <utility>

namespace trefoil {
namespace {

void
LogChange(SteeringState& aState, const EvacuationChange& aChange)
{
  switch (aChange.mOutcome) {
    case EvacuationOutcome::kClosed:
    case EvacuationOutcome::kOpen:
      aState.mLog.Write(LogSeverity::kNotable,
                        LogEvent::kZoneEvacuated,
                        "zone={} state={} revision={}",
                        aChange.mZone.Value(),
                        NameOf(kEvacuationOutcomeNames, aChange.mOutcome),
                        RevisionText(aChange.mRevision));
      return;
    case EvacuationOutcome::kRejectedNoZone:
    case EvacuationOutcome::kRejectedUnknownZone:
      LogRejectedInput(
        aState,
        fmt::format("input=evacuation zone={} revision={}",
                    aChange.mZone.Value(),
                    RevisionText(aChange.mRevision)),
        absl::InvalidArgumentError(aChange.mOutcome == EvacuationOutcome::kRejectedNoZone
                                     ? "the key names no zone"
                                     : "the zone is not in availability_zones"));
      return;
  }
}

// The zones are set before anything is logged or published, so that an exception delays the view at
// most until the next regular one.
void
OnChanges(SteeringState& aState, const std::vector<EvacuationChange>& aChanges)
{
  std::set<AvailabilityZoneId> closed = EvacuatedZones(aState.mEvacuation);
  const bool isChanged = std::exchange(aState.mView.mEvacuatedZones, closed) != closed;
  for (const EvacuationChange& change : aChanges) {
    LogChange(aState, change);
  }
  if (isChanged) {
    PublishView(aState);
  }
}

} // namespace

void
OnEvacuationList(SteeringState& aState,
                 const std::vector<StoreItem>& aItems,
                 std::int64_t aRevision)
{
  OnChanges(aState, ApplyEvacuationList(aState.mEvacuation, aItems, aRevision));
}

void
OnEvacuationItems(SteeringState& aState, const std::vector<StoreItem>& aItems)
{
  std::vector<EvacuationChange> changes;
  for (const StoreItem& item : aItems) {
    if (auto change = ApplyEvacuationItem(aState.mEvacuation, item)) {
      changes.push_back(std::move(*change));
    }
  }
  OnChanges(aState, changes);
}

} // namespace trefoil
