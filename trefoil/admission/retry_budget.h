// Bounds retries to a fraction of live traffic, so that a failure does not multiply load.
//
//   RetryBudget budget;
//   NoteRequest(budget);
//   if (TakeRetry(budget)) { ... try again ... }
//
// Plain data and pure functions.
#pragma once

#include <algorithm>

namespace trefoil {

// Retries that each request adds to the budget.
inline constexpr double kRetriesPerRequest = 0.2;
// What a host that serves few requests may retry at once.
inline constexpr double kMostSavedRetries = 50;

struct RetryBudget
{
  double mRetries = kMostSavedRetries;
};

inline void
NoteRequest(RetryBudget& aBudget)
{
  aBudget.mRetries = std::min(kMostSavedRetries, aBudget.mRetries + kRetriesPerRequest);
}

// Takes one retry. Returns whether the budget had one.
inline bool
TakeRetry(RetryBudget& aBudget)
{
  if (aBudget.mRetries < 1) {
    return false;
  }
  aBudget.mRetries -= 1;
  return true;
}

} // namespace trefoil
