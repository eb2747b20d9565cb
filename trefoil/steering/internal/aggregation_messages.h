// Sends and receives the messages of the aggregation (trefoil/steering/aggregation.h).
#pragma once

#include "trefoil/steering/steering_state.h"

#include <vector>

namespace trefoil {

// Sends the update of this host to the aggregators of its zone and, if this host is an aggregator,
// the totals to the hosts that need them. Must be called at each update interval.
void
SendAggregatedUpdate(SteeringState& aState, const HostReport& aReport);

// Sends the usage windows of this host to the holder of the duties, if one is known.
void
SendUsageToHolder(SteeringState& aState, const HostReport& aReport);

// Sends the report of this host to the aggregators of its zone and to the hosts that do not support
// aggregation.
void
SendReportToAggregators(SteeringState& aState, const HostReport& aReport);

void
OnTotalsMessage(SteeringState& aState, const TotalsMessage& aMessage);

// Returns whether dispatches are forwarded by aggregators instead of being sent to all hosts.
bool
RelaysDispatches(const SteeringState& aState);

// Sends the dispatches of this host to an aggregator of its zone.
void
SendDispatchesToAggregator(SteeringState& aState, DispatchUpdate aUpdate);

// Forwards the dispatches of a host of this zone.
void
ForwardDispatches(SteeringState& aState, const DispatchUpdate& aUpdate);

// Applies dispatches that an aggregator forwarded, and forwards those of other zones.
void
OnRelayedDispatches(SteeringState& aState, const RelayedDispatches& aMessage);

// Posts dispatches of other hosts to the traffic thread, those that arrive at about the same time
// together.
void
ApplyDispatches(SteeringState& aState, const std::vector<DispatchReport>& aDispatches);

} // namespace trefoil
