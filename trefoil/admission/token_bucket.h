// A token bucket: a budget that refills at a constant rate.
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
  // Maximum number of tokens in the bucket.
  double mMax = 0;
};

// Adds the tokens of the time since the last refill, up to `aRate.mMax`.
inline void
Refill(TokenBucket& aBucket, const RefillRate& aRate, Instant aNow)
{
  const double seconds =
    std::max(0.0, std::chrono::duration<double>(aNow - aBucket.mRefilledAt).count());
  aBucket.mTokens = std::min(aRate.mMax, aBucket.mTokens + seconds * aRate.mPerSecond);
  aBucket.mRefilledAt = std::max(aBucket.mRefilledAt, aNow);
}

// Returns the time until the bucket holds `aTokens` if it refills at `aPerSecond` tokens per
// second, at most `aMaxWait`.
inline Milliseconds
TimeUntilRefilled(const TokenBucket& aBucket,
                  double aTokens,
                  double aPerSecond,
                  Milliseconds aMaxWait)
{
  constexpr double kMsPerSecond = 1000;
  const double missingTokens = std::max(0.0, aTokens - aBucket.mTokens);
  const double maxWaitMs = static_cast<double>(aMaxWait.count());
  if (missingTokens * kMsPerSecond >= maxWaitMs * aPerSecond) {
    return aMaxWait;
  }
  return Milliseconds{ static_cast<std::int64_t>(missingTokens / aPerSecond * kMsPerSecond) + 1 };
}

} // namespace trefoil
