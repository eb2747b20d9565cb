// Ages and remaining times as messages of other hosts state them.
//
//   Instant statedAt = aNow - BoundedAge(entry.mAgeMilliseconds);
#pragma once

#include "trefoil/base/instant.h"

#include <algorithm>
#include <cstdint>

namespace trefoil {

// The largest time that a message can state, so that arithmetic with it cannot overflow.
inline constexpr Milliseconds kMaxStatedTime = std::chrono::hours{ 24 };

// Returns a time that a message states, from -kMaxStatedTime to kMaxStatedTime.
inline Milliseconds
BoundedTime(std::int64_t aMilliseconds)
{
  return Milliseconds{ std::clamp(aMilliseconds, -kMaxStatedTime.count(), kMaxStatedTime.count()) };
}

// Returns an age that a message states, up to kMaxStatedTime. What would be in the future is now.
inline Milliseconds
BoundedAge(std::int64_t aMilliseconds)
{
  return std::max(Milliseconds{ 0 }, BoundedTime(aMilliseconds));
}

} // namespace trefoil
