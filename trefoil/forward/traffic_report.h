// Makes the regular report of a traffic thread to the control thread.
//
//   TrafficReport report = MakeReport(state);
#pragma once

#include "trefoil/forward/traffic_state.h"

namespace trefoil {

// Ends the current round of the quotas, updates the gauges and returns the report. Must be called
// on the traffic thread, or after it has ended.
TrafficReport
MakeReport(TrafficState& aState);

} // namespace trefoil
