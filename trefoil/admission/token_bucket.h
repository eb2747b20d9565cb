// A budget that refills with time.
//
//   TokenBucket bucket{ .mRefilledAt = aNow };
//   Refill(bucket, { .mPerSecond = 10, .mMax = 10 }, aNow);
//   if (bucket.mTokens >= 1) { bucket.mTokens -= 1; }
//
// Plain data and pure functions.
#pragma once

#include "trefoil/base/instant.h"

#include <algorithm>

namespace trefoil {

struct TokenBucket
{
  double mTokens = 0;
  Instant mRefilledAt;
};

struct RefillRate
{
  double mPerSecond = 0;
  // The most tokens that the bucket holds.
  double mMax = 0;
};

inline void
Refill(TokenBucket& aBucket, const RefillRate& aRate, Instant aNow)
{
  const double seconds =
    std::max(0.0, std::chrono::duration<double>(aNow - aBucket.mRefilledAt).count());
  aBucket.mTokens = std::min(aRate.mMax, aBucket.mTokens + seconds * aRate.mPerSecond);
  aBucket.mRefilledAt = std::max(aBucket.mRefilledAt, aNow);
}

// Returns the milliseconds until the bucket holds `aTokens`, `aLongest` at most.
inline Milliseconds
TimeUntil(const TokenBucket& aBucket, double aTokens, double aPerSecond, Milliseconds aLongest)
{
  constexpr double kMsPerSecond = 1000;
  const double missing = std::max(0.0, aTokens - aBucket.mTokens);
  const double longest = static_cast<double>(aLongest.count());
  if (missing * kMsPerSecond >= longest * aPerSecond) {
    return aLongest;
  }
  return Milliseconds{ static_cast<std::int64_t>(missing / aPerSecond * kMsPerSecond) + 1 };
}

} // namespace trefoil
