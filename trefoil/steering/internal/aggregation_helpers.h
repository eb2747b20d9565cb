// What the aggregation of traffic updates derives from the totals that it has received.
#pragma once

#include "trefoil/steering/aggregation.h"

#include <vector>

namespace trefoil {

// Totals that have not been updated for longer do not count as in touch.
inline constexpr Milliseconds kTotalsMaxAge{ 2'000 };
// An older announcement of the holder does not show that it is still alive.
inline constexpr Milliseconds kHolderMaxAge{ 750 };

// Returns the newest messages of a zone's or the fleet's aggregators that are not too old.
std::vector<const TotalsMessage*>
RecentMessages(const ZoneSums& aSums, Instant aNow);

// Returns the largest value of a field in the recent messages; 0 if there are none.
std::uint32_t
LargestOf(const ZoneSums& aSums, std::uint32_t TotalsMessage::*aField, Instant aNow);

// Returns the holder of the duties as announced by a zone, empty if there is no recent
// announcement.
HostId
HolderIn(const ZoneSums& aSums, Instant aNow);

} // namespace trefoil
