// Applies changes of the store to the state of the control thread, and writes this host's own
// records.
#pragma once

#include "trefoil/steering/clock_reading.h"
#include "trefoil/steering/steering_state.h"

namespace trefoil {

// Reads the clocks, the time of day with the correction that the hosts in touch agree on.
ClockReading
ReadClocks(const SteeringState& aState);

// Logs that an input was rejected. `aInput` is a list of log fields.
void
LogRejectedInput(SteeringState& aState, std::string_view aInput, const absl::Status& aReason);

// Starts to watch the keys of the operators and of the backend servers. Reads the shared records
// first; the operators' keys are listed only after the quota record was read.
void
WatchStore(SteeringState& aState);

// Sets whether other hosts relay the store to this one (`aIsSubscriber`), and whether this host
// watches it for others (`aIsWatcher`).
void
SetWatchMode(SteeringState& aState, bool aIsSubscriber, bool aIsWatcher);

// Writes this host's entry with its lease, so that it expires with the host, unless that has been
// done under the current lease.
void
RegisterHost(SteeringState& aState);

// Reads the list of entry hosts from the store, again and again until it is read.
void
RefreshHosts(SteeringState& aState);

// Writes the levels of the quotas and the refused parts of prompts to the store if this host is
// the one that writes them.
void
WriteSharedRecords(SteeringState& aState);

// Updates the view with the state of the peers and of the version moves, and publishes it to
// the traffic thread.
void
PublishView(SteeringState& aState);

} // namespace trefoil
