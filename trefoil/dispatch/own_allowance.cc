#include "trefoil/dispatch/own_allowance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace trefoil {
namespace {

// The window over which the platform sums up an account's use.
constexpr double kWindowSeconds = 8;
// The part of what is allowed in a window that all hosts may use blindly.
constexpr double kWindowPart = 0.5;
// The mean requests that an allowance covers at least. Without it, the hosts of a large fleet would
// refuse two requests in a row of an account with a small quota.
constexpr double kMinRequests = 3;
// The drain of all allowances together in parts of the quota's rate, while all hosts are in contact
// and otherwise. The excess covers the chance differences between hosts.
constexpr double kDrainFactor = 1.75;
constexpr double kDrainFactorOutOfContact = 1.25;
// The time constant of the moving averages of the demand.
constexpr double kShareSeconds = 10;
// The demand that a host assumes before it has seen any, spread equally over all hosts, in parts of
// the quota's rate.
constexpr double kAssumedDemand = 1;
// How many requests the mean cost is taken from.
constexpr int kMaxCosts = 16;
// A host in contact with this part of the hosts or fewer keeps its last share.
constexpr double kMinPartInContact = 0.5;

} // namespace

double
OwnShare(const OwnAllowance& aAllowance, const FleetQuota& aFleet)
{
  const double assumed = kAssumedDemand * aFleet.mRatePerSecond;
  return std::min(1.0,
                  (aAllowance.mOwnAskedPerSecond + assumed / aFleet.mHosts) /
                    (aAllowance.mAllAskedPerSecond + assumed));
}

AllowanceLimits
LimitsOf(const OwnAllowance& aAllowance, const FleetQuota& aFleet)
{
  const double share = OwnShare(aAllowance, aFleet);
  const double factor = aFleet.mPartInContact < 1 ? kDrainFactorOutOfContact : kDrainFactor;
  const double drain = factor * aFleet.mRatePerSecond;
  const double window = aFleet.mRatePerSecond * kWindowSeconds + aFleet.mBurst;
  const double capacity =
    std::max(share * kWindowPart * window, kMinRequests * aAllowance.mMeanCost);
  return { .mCapacity = capacity, .mDrainPerSecond = share * drain };
}

void
DrainAllowance(OwnAllowance& aAllowance, const AllowanceLimits& aLimits, Instant aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - std::exchange(aAllowance.mDrainedAt, aNow)).count();
  aAllowance.mUsed = std::max(0.0, aAllowance.mUsed - seconds * aLimits.mDrainPerSecond);
}

void
RecordCost(OwnAllowance& aAllowance, double aCost)
{
  aAllowance.mCosts = std::min(aAllowance.mCosts + 1, kMaxCosts);
  aAllowance.mMeanCost += (aCost - aAllowance.mMeanCost) / aAllowance.mCosts;
}

double
ChargeOf(const OwnAllowance& aAllowance, double aCost)
{
  return std::max(aAllowance.mMeanCost, aCost / 2);
}

bool
CoversCharge(const OwnAllowance& aAllowance, const AllowanceLimits& aLimits, double aCharge)
{
  return aAllowance.mUsed + std::min(aCharge, aLimits.mCapacity) <= aLimits.mCapacity;
}

void
EndAllowanceRound(OwnAllowance& aAllowance, const FleetQuota& aFleet, Instant aNow)
{
  const double all = std::exchange(aAllowance.mAllAskedInRound, 0.0) / aFleet.mPartInContact;
  aAllowance.mUnreported.emplace_back(aNow, std::exchange(aAllowance.mOwnAskedInRound, 0.0));
  double known = 0;
  while (!aAllowance.mUnreported.empty() &&
         aNow - aAllowance.mUnreported.front().first >= aFleet.mPropagationTime) {
    known += aAllowance.mUnreported.front().second;
    aAllowance.mUnreported.pop_front();
  }
  const Instant before = std::exchange(aAllowance.mRoundEndedAt, aNow);
  const double seconds = std::chrono::duration<double>(aNow - before).count();
  if (before == Instant{} || seconds <= 0 || aFleet.mPartInContact <= kMinPartInContact) {
    return;
  }
  const double weight = 1 - std::exp(-seconds / kShareSeconds);
  aAllowance.mOwnAskedPerSecond += weight * (known / seconds - aAllowance.mOwnAskedPerSecond);
  aAllowance.mAllAskedPerSecond += weight * (all / seconds - aAllowance.mAllAskedPerSecond);
}

} // namespace trefoil
