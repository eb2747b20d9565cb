// Quotas of client accounts, enforced over all entry hosts together.
//
//   QuotaState quotas;
//   if (ConsumeQuota(quotas, account, cost, { .mShare = 1.0 }, now)) { ... dispatch ... }
//   AddPeerUsage(quotas, account, cost);
//   EndQuotaRound(quotas);
//
// Each host keeps its own copy of the account's token bucket. The bucket refills at the
// account's rate up to its burst, and the cost of every admitted request is subtracted,
// including the requests of other hosts once their updates arrive. The time between two reports
// of this host to the others is a round. When the remaining quota suffices for only a few
// rounds, it is divided among the hosts for the current round in proportion to their recent
// usage, so that they do not all spend it at the same time. A host that is in contact with only
// some of the others refills its copy at their combined share of the rate, so that the parts of
// a partitioned system stay within the quota together. Pure functions.
#pragma once

#include "trefoil/admission/token_bucket.h"
#include "trefoil/catalogue/catalogue.h"

#include <map>

namespace trefoil {

// The usage of one client account's quota.
struct AccountUsage
{
  TokenBucket mBucket;
  // Cost of the requests that this host has admitted since its start, less refunds.
  double mOwnTotal = 0;
  // Cost of the requests that this host has admitted in the current round.
  double mOwnInRound = 0;
  // Moving averages of the cost per round, of this host and of all hosts.
  double mOwnMean = 0;
  double mAllMean = 0;
  // Cost of the requests of other hosts that were reported in the current round.
  double mPeersInRound = 0;
};

struct QuotaState
{
  std::map<ClientAccountId, AccountUsage> mAccounts;
};

struct QuotaParameters
{
  // The share of the quota that this host and the hosts in contact with it may use together,
  // from 0 to 1.
  double mShare = 1;
  // Number of hosts in contact with this one, including itself.
  int mReachableHosts = 1;
  // What the platform permits beyond the quota: mOverage is a fraction of the rate, mSlack is
  // added to the burst, in tokens or requests.
  double mOverage = 0;
  double mSlack = 0;
  // A uniform random number from 0 to 1. It spreads the hosts' use of the last of a quota, so
  // that they do not all spend it at the same time.
  double mRandomValue = 0;
};

// The result of a quota check and the values it was based on.
struct QuotaDecision
{
  bool mAllowed = true;
  // The level of the bucket before the request, and the part of it that this host may spend in the
  // current round. Both are 0 for an account without a rate.
  double mLevel = 0;
  double mMax = 0;

  explicit operator bool() const { return mAllowed; }
};

// Returns the cost of a request in the unit of its account's quota: 1 for an account that
// counts requests, otherwise `aTokens`, or the account's default if `aTokens` is 0 (unknown).
double
QuotaCost(const ClientAccount& aAccount, std::int64_t aTokens);

// Consumes `aCost` from the account's quota if the quota permits it.
QuotaDecision
ConsumeQuota(QuotaState& aState,
             const ClientAccount& aAccount,
             double aCost,
             const QuotaParameters& aParameters,
             Instant aNow);

// Refunds the cost of a request that was not sent.
void
RefundQuota(QuotaState& aState, const ClientAccountId& aAccount, double aCost);

// Subtracts the cost of requests that other hosts have admitted.
void
AddPeerUsage(QuotaState& aState, const ClientAccountId& aAccount, double aCost);

// Sets the level of an account's bucket. A host that starts uses it to restore the recorded
// level.
void
SetQuotaLevel(QuotaState& aState, const ClientAccountId& aAccount, double aLevel, Instant aNow);

// Ends a round: updates the moving averages by which the remaining quota is divided among the
// hosts. Must be called each time this host reports its usage to the others.
void
EndQuotaRound(QuotaState& aState);

} // namespace trefoil
