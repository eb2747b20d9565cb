// The messages that an aggregator sends: the sums of its zone to the other zones, and those of the
// fleet to the hosts of its zone.
//
//   Datagrams messages = MakeTotalsMessages(table, aggregation, ownReport, added, wallNow, now);
//
// Pure functions.
#pragma once

#include "trefoil/steering/aggregation.h"

namespace trefoil {

// Returns the messages of this host as an aggregator; none if no host reports to it. `aOwnReport`
// is its own report. Its own copy of the fleet's totals is applied to `aState`, and what it adds is
// returned in `aAdded`.
Datagrams
MakeTotalsMessages(const PeerTable& aTable,
                   AggregationState& aState,
                   const HostReport& aOwnReport,
                   PeerUpdate& aAdded,
                   WallTime aWallNow,
                   Instant aNow);

} // namespace trefoil
