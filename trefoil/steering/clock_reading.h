// One moment on two clocks.
//
//   const WallTime startedAt = clock.mWallNow - (clock.mNow - seenAt);
#pragma once

#include "trefoil/base/instant.h"

namespace trefoil {

// The same moment on the monotonic clock of a host and in the time of day, in which records in the
// store are kept. The time of day may be wrong.
struct ClockReading
{
  Instant mNow;
  WallTime mWallNow;
};

} // namespace trefoil
