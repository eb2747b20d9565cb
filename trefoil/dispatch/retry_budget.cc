#include "trefoil/dispatch/retry_budget.h"

#include <algorithm>

namespace trefoil {
namespace {

ServiceRetryCounts&
RetryCountsOf(ServiceRetryBudget& aBudget, const ServiceId& aService)
{
  const auto [entry, inserted] = aBudget.mServices.try_emplace(aService);
  if (inserted) {
    entry->second.mRequests = MakeSlidingWindowSum(aBudget.mOptions.mWindow);
    entry->second.mRetries = MakeSlidingWindowSum(aBudget.mOptions.mWindow);
  }
  return entry->second;
}

} // namespace

ServiceRetryBudget
MakeServiceRetryBudget(ServiceRetryOptions aOptions)
{
  return { .mOptions = aOptions };
}

void
CountServiceRequest(ServiceRetryBudget& aBudget, const ServiceId& aService, Instant aNow)
{
  AddToWindow(RetryCountsOf(aBudget, aService).mRequests, 1, aNow);
}

bool
ConsumeServiceRetry(ServiceRetryBudget& aBudget,
                    const ServiceId& aService,
                    int aHosts,
                    Instant aNow)
{
  ServiceRetryCounts& counts = RetryCountsOf(aBudget, aService);
  const double maxRetries = aBudget.mOptions.mRatio * WindowSum(counts.mRequests, aNow) +
                            aBudget.mOptions.mSlack / std::max(1, aHosts);
  if (WindowSum(counts.mRetries, aNow) + 1 > maxRetries) {
    return false;
  }
  AddToWindow(counts.mRetries, 1, aNow);
  return true;
}

} // namespace trefoil
