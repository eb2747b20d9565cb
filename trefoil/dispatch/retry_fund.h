// How many repeated arrivals the hosts may cause at a service.
//
//   RetryFund fund = MakeRetryFund({ .mRatio = 0.2, .mSlack = 58, .mWindow = 10s });
//   CountRequest(fund, service, now);
//   if (TakeRepeat(fund, service, hosts, now)) { ... send it once more ... }
//
// Each host spends a share of its own requests and its part of the slack, so that the sum over the
// hosts holds without a message. Pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/dispatch/sliding_count.h"

#include <map>

namespace trefoil {

struct RetryTerms
{
  // Repeats for each request in the window.
  double mRatio = 0;
  // Repeats in a window beyond those, over all hosts.
  double mSlack = 0;
  Instant::duration mWindow{ 0 };
};

struct ServiceArrivals
{
  SlidingCount mRequests;
  SlidingCount mRepeats;
};

struct RetryFund
{
  RetryTerms mTerms;
  std::map<ServiceId, ServiceArrivals> mServices;
};

RetryFund
MakeRetryFund(RetryTerms aTerms);

void
CountRequest(RetryFund& aFund, const ServiceId& aService, Instant aNow);

// Counts a repeat if the fund allows it. `aHosts` is the number of entry hosts, at least 1.
bool
TakeRepeat(RetryFund& aFund, const ServiceId& aService, int aHosts, Instant aNow);

} // namespace trefoil
