// Bounds retries to a fraction of live traffic, so that a failure does not multiply load.
//
//   RetryAllowance allowance;
//   NoteRequest(allowance);
//   if (TakeRetry(allowance)) { ... try again ... }
//
// Plain data and pure functions.
#pragma once

#include <algorithm>

namespace trefoil {

// Retries that each request adds to the allowance.
inline constexpr double kRetriesPerRequest = 0.2;
// What a host that serves few requests may retry at once.
inline constexpr double kMaxSavedRetries = 50;

struct RetryAllowance
{
  double mRetries = kMaxSavedRetries;
};

inline void
NoteRequest(RetryAllowance& aAllowance)
{
  aAllowance.mRetries = std::min(kMaxSavedRetries, aAllowance.mRetries + kRetriesPerRequest);
}

// Takes one retry. Returns whether there was one.
inline bool
TakeRetry(RetryAllowance& aAllowance)
{
  if (aAllowance.mRetries < 1) {
    return false;
  }
  aAllowance.mRetries -= 1;
  return true;
}

} // namespace trefoil
