// Takes what the store says into the state of the control thread.
#pragma once

#include "trefoil/steering/control_state.h"

namespace trefoil {

// Logs that something was not taken in, and why. `aWhat` is in the form of log fields.
void
RejectInput(ControlState& aState, std::string_view aWhat, const absl::Status& aReason);

// Starts to follow the operators' and the backend servers' keys.
void
FollowStore(ControlState& aState);

// Notes when the store came back after an outage, if that is news.
void
NoteServersRegained(ControlState& aState, Instant aWhen);

// Sets whether other hosts of the zone are asked instead of the store, or ask this one.
void
SetRelaying(ControlState& aState, bool aAsksOthers, bool aIsAsked);

// Asks the store for the entry hosts that it lists, and writes this one's entry where it is
// missing.
void
RefreshHosts(ControlState& aState);

// Writes what the quotas were used for lately, if this host is the one to do so.
void
WriteQuotaRecord(ControlState& aState);

// Publishes what has changed to the traffic thread.
void
PublishView(ControlState& aState);

} // namespace trefoil
