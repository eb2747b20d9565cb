// Applies what the store says about the backend servers to the registry of the control thread.
#pragma once

#include "trefoil/steering/steering_state.h"

#include <vector>

namespace trefoil {

// Applies changed entries and publishes the servers if they have changed.
void
OnServerItems(SteeringState& aState, const std::vector<StoreItem>& aItems);

// Returns those of the changed entries that other hosts need, before they are applied here. A
// refresh of an entry is relayed only now and then, for hosts that know another state of it.
std::vector<StoreItem>
ServerChangesToRelay(SteeringState& aState, const std::vector<StoreItem>& aItems);

// Applies all entries. A server without one was removed at `aRevision` or before.
void
OnServerList(SteeringState& aState, const std::vector<StoreItem>& aItems, std::int64_t aRevision);

// Records that the store came back after an outage at `aWhen`. Does nothing if that return is
// already recorded or too long ago to matter.
void
RecordStoreRegained(SteeringState& aState, Instant aWhen);

} // namespace trefoil
