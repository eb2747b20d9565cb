// Limits how often a host repeats calls to a store that does not respond.
//
//   StoreRetryBudget budget;
//   if (ConsumeRetryToken(budget, aNow)) {
//     ... call again at aNow + JitteredBackoff(failures, random) ...
//   }
//
// Combines a token bucket with an exponential backoff with jitter, so that many hosts do not
// retry at the same time. Plain data and pure functions.
#pragma once

#include "trefoil/base/instant.h"

#include <cstdint>

namespace trefoil {

inline constexpr double kMaxRetryTokens = 10;
inline constexpr double kRetryTokensPerSecond = 0.5;
inline constexpr Milliseconds kMinStoreRetryDelay{ 100 };
inline constexpr Milliseconds kMaxStoreRetryDelay{ 10'000 };

struct StoreRetryBudget
{
  double mTokens = kMaxRetryTokens;
  Instant mRefilledAt;
};

// Refills the bucket for the time since the last call, then consumes a token. Returns false if
// there is none.
bool
ConsumeRetryToken(StoreRetryBudget& aBudget, Instant aNow);

// Returns the delay after `aFailures` consecutive failures: uniform between kMinStoreRetryDelay and
// a bound that doubles with each failure, up to kMaxStoreRetryDelay. `aRandom` is a uniform 64-bit
// number.
Milliseconds
JitteredBackoff(int aFailures, std::uint64_t aRandom);

// Returns the next random number and advances the generator state `aState` (SplitMix64: Steele,
// Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
std::uint64_t
NextRandom(std::uint64_t& aState);

} // namespace trefoil
