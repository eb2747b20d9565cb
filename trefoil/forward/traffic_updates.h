// Applies what the control thread publishes to the state of a traffic thread.
//
//   ApplyView(state, std::move(view));
//   ApplyPeerUpdate(state, update);
//
// All functions must be called on the traffic thread.
#pragma once

#include "trefoil/forward/traffic_state.h"

#include <map>
#include <memory>
#include <vector>

namespace trefoil {

// Replaces the view and the servers that it lists.
void
ApplyView(TrafficState& aState, std::shared_ptr<const TrafficView> aView);

void
ApplyPeerUpdate(TrafficState& aState, const PeerUpdate& aUpdate);

// Adds the dispatches of other hosts to the backlogs of servers. Those to unknown servers are
// ignored.
void
ApplyDispatches(TrafficState& aState, const std::vector<DispatchReport>& aDispatches);

void
ApplyLimits(TrafficState& aState, const std::vector<LimitReport>& aLimits);

void
ApplyRejections(TrafficState& aState, const std::vector<RejectionReport>& aReports);

// Adds the events that other hosts have received. Those of unknown servers are ignored.
void
ApplyServerEvents(TrafficState& aState, const std::map<BackendServerId, EventTotals>& aEvents);

} // namespace trefoil
