// Limits how many retries the entry hosts may send to a service.
//
//   ServiceRetryBudget budget =
//     MakeServiceRetryBudget({ .mRatio = 0.2, .mSlack = 58, .mWindow = 10s });
//   CountServiceRequest(budget, service, now);
//   if (ConsumeServiceRetry(budget, service, hosts, now)) {
//     ... send the request again ...
//   }
//
// Each host may retry a fraction of its own requests and uses an equal part of the slack. The
// limit over all hosts therefore holds without messages between them. Pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/dispatch/sliding_window_sum.h"

#include <map>

namespace trefoil {

struct ServiceRetryOptions
{
  // Permitted retries for each request in the window.
  double mRatio = 0;
  // Further permitted retries in a window, over all hosts together.
  double mSlack = 0;
  Instant::duration mWindow{ 0 };
};

struct ServiceRetryCounts
{
  SlidingWindowSum mRequests;
  SlidingWindowSum mRetries;
};

struct ServiceRetryBudget
{
  ServiceRetryOptions mOptions;
  std::map<ServiceId, ServiceRetryCounts> mServices;
};

ServiceRetryBudget
MakeServiceRetryBudget(ServiceRetryOptions aOptions);

// Counts a request to the service, which permits a fraction of a retry.
void
CountServiceRequest(ServiceRetryBudget& aBudget, const ServiceId& aService, Instant aNow);

// Consumes one retry and returns true if the budget permits it, otherwise returns false.
// `aHosts` is the number of entry hosts, at least 1.
bool
ConsumeServiceRetry(ServiceRetryBudget& aBudget,
                    const ServiceId& aService,
                    int aHosts,
                    Instant aNow);

} // namespace trefoil
