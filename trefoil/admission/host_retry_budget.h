// Limits the retries of an entry host to a fraction of its requests, so that failures do not
// multiply the load.
//
//   HostRetryBudget budget;
//   CountHostRequest(budget);
//   if (ConsumeRetry(budget)) { ... retry ... }
//
// Plain data and pure functions.
#pragma once

#include <algorithm>

namespace trefoil {

// Retries that each request adds to the budget.
inline constexpr double kRetriesPerRequest = 0.2;
// Maximum number of accumulated retries, which is also the initial number. It lets a host with
// few requests retry.
inline constexpr double kMaxSavedRetries = 50;

struct HostRetryBudget
{
  double mRetries = kMaxSavedRetries;
};

inline void
CountHostRequest(HostRetryBudget& aBudget)
{
  aBudget.mRetries = std::min(kMaxSavedRetries, aBudget.mRetries + kRetriesPerRequest);
}

// Consumes one retry. Returns false if none was left.
inline bool
ConsumeRetry(HostRetryBudget& aBudget)
{
  if (aBudget.mRetries < 1) {
    return false;
  }
  aBudget.mRetries -= 1;
  return true;
}

} // namespace trefoil
