#include "trefoil/dispatch/retry_fund.h"

#include <algorithm>

namespace trefoil {
namespace {

ServiceArrivals&
ArrivalsOf(RetryFund& aFund, const ServiceId& aService)
{
  const auto [entry, fresh] = aFund.mServices.try_emplace(aService);
  if (fresh) {
    entry->second.mRequests = MakeSlidingCount(aFund.mTerms.mWindow);
    entry->second.mRepeats = MakeSlidingCount(aFund.mTerms.mWindow);
  }
  return entry->second;
}

} // namespace

RetryFund
MakeRetryFund(RetryTerms aTerms)
{
  return { .mTerms = aTerms };
}

void
CountRequest(RetryFund& aFund, const ServiceId& aService, Instant aNow)
{
  Add(ArrivalsOf(aFund, aService).mRequests, 1, aNow);
}

bool
TakeRepeat(RetryFund& aFund, const ServiceId& aService, int aHosts, Instant aNow)
{
  ServiceArrivals& arrivals = ArrivalsOf(aFund, aService);
  const double most =
    aFund.mTerms.mRatio * Sum(arrivals.mRequests, aNow) + aFund.mTerms.mSlack / std::max(1, aHosts);
  if (Sum(arrivals.mRepeats, aNow) + 1 > most) {
    return false;
  }
  Add(arrivals.mRepeats, 1, aNow);
  return true;
}

} // namespace trefoil
