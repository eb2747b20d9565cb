// Limits how often a host repeats calls to a service that does not answer.
//
//   RetryBudget budget;
//   if (Withdraw(budget, aNow)) { ... call again at aNow + BackOff(failures, random) ... }
//
// A token bucket and an exponential pause with full jitter, so that many hosts do not come back
// together. Plain data and pure functions.
#pragma once

#include "trefoil/base/instant.h"

#include <cstdint>

namespace trefoil {

inline constexpr double kMaxRetryTokens = 10;
inline constexpr double kRetryTokensPerSecond = 0.5;
inline constexpr Milliseconds kShortestPause{ 100 };
inline constexpr Milliseconds kLongestPause{ 10'000 };

struct RetryBudget
{
  double mTokens = kMaxRetryTokens;
  Instant mFilledAt;
};

// Takes a token if there is one.
bool
Withdraw(RetryBudget& aBudget, Instant aNow);

// Returns the pause after `aFailures` failures in a row: uniform from the shortest pause up to a
// bound that doubles with each failure. `aRandom` is a uniform 64-bit number.
Milliseconds
BackOff(int aFailures, std::uint64_t aRandom);

// Returns the next number of a sequence that `aState` carries (SplitMix64: Steele, Lea and Flood,
// "Fast Splittable Pseudorandom Number Generators", 2014).
std::uint64_t
NextRandom(std::uint64_t& aState);

} // namespace trefoil
