// What one entry host may use of an account's quota before it knows of the requests of the others.
//
//   OwnAllowance allowance;
//   const AllowanceLimits limits = LimitsOf(allowance, fleet);
//   DrainAllowance(allowance, limits, now);
//   if (CoversCharge(allowance, limits, charge)) { allowance.mUsed += charge; ... }
//   EndAllowanceRound(allowance, fleet, now);
//
// When the demand for an account jumps, each host sees only its own requests until the others have
// reported theirs. So each host counts what it has admitted in a leaky bucket, whose capacity and
// drain are the host's share of what all hosts may use blindly. The shares add up to about 1, so
// that the hosts stay within the bound together, whether they are in contact or not. Pure
// functions, not thread-safe.
#pragma once

#include "trefoil/base/instant.h"

#include <deque>
#include <utility>

namespace trefoil {

// What is known of an account over all hosts. Costs are in the unit of the account's quota.
struct FleetQuota
{
  // What all hosts may use per second, and at once from an idle state.
  double mRatePerSecond = 0;
  double mBurst = 0;
  int mHosts = 1;
  // How long it takes until a request is known to all hosts in contact.
  Milliseconds mPropagationTime{ 500 };
  // The part of the hosts that is in contact with this one, itself included, from 0 to 1.
  double mPartInContact = 1;
};

struct OwnAllowance
{
  // The charges of the admitted requests that have not drained yet.
  double mUsed = 0;
  Instant mDrainedAt;
  // The mean cost of the latest requests, and how many it was taken from, up to a maximum.
  double mMeanCost = 0;
  int mCosts = 0;
  // What the hosts in contact were asked for in the current round as far as it is known, this one
  // included.
  double mAllAskedInRound = 0;
  // What this host was asked for: in the current round, and in earlier rounds of which the others
  // may not all know, with their ends.
  double mOwnAskedInRound = 0;
  std::deque<std::pair<Instant, double>> mUnreported;
  // Moving averages per second of what this host and all hosts were asked for.
  double mOwnAskedPerSecond = 0;
  double mAllAskedPerSecond = 0;
  Instant mRoundEndedAt;
};

struct AllowanceLimits
{
  // What the host may have used that has not drained.
  double mCapacity = 0;
  double mDrainPerSecond = 0;
};

// Returns the host's share of the account's demand, from 0 to 1. A host that has seen little of it
// assumes an equal share.
double
OwnShare(const OwnAllowance& aAllowance, const FleetQuota& aFleet);

AllowanceLimits
LimitsOf(const OwnAllowance& aAllowance, const FleetQuota& aFleet);

// Lets what was used drain until `aNow`.
void
DrainAllowance(OwnAllowance& aAllowance, const AllowanceLimits& aLimits, Instant aNow);

// Adds the cost of a request to the mean cost.
void
RecordCost(OwnAllowance& aAllowance, double aCost);

// Returns what a request of this cost is charged: the mean cost, or half of its own if that is
// more. The sum of some requests' costs varies far more than their number.
double
ChargeOf(const OwnAllowance& aAllowance, double aCost);

// Returns whether the allowance covers a charge. One above the capacity requires an unused
// allowance.
bool
CoversCharge(const OwnAllowance& aAllowance, const AllowanceLimits& aLimits, double aCharge);

// Ends a round of reports: updates the moving averages.
void
EndAllowanceRound(OwnAllowance& aAllowance, const FleetQuota& aFleet, Instant aNow);

} // namespace trefoil
