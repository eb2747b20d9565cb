// Quotas of client accounts, enforced over all entry hosts together.
//
//   QuotaState quotas;
//   if (ConsumeQuota(quotas, account, cost, { .mShare = 1.0 }, now)) { ... dispatch ... }
//   AddPeerUsage(quotas, account, { .mUsed = cost, .mAsked = cost }, parameters, now);
//   EndQuotaRound(quotas, parameters, now);
//
// Each host keeps its own copy of the account's token bucket. The bucket refills at the
// account's rate up to its burst, and the cost of every admitted request is subtracted,
// including the requests of other hosts once their updates arrive. The time between two reports
// of this host to the others is a round. While the quota suffices for what all hosts will ask for
// until their updates have arrived, every request is admitted. Otherwise each request is admitted
// with a probability, such that the expected cost of the admitted ones is what refills meanwhile,
// plus what the bucket holds beyond half of its capacity. So the hosts use the quota together,
// however few of the account's requests each of them receives. A host that is in contact with only
// some of the others refills its copy at their combined share of the rate, so that the parts of a
// partitioned system stay within the quota together. A host that was frozen admits no more than its
// part of the level until it has reported again, and charges the reports that waited to what has
// refilled meanwhile. Before the hosts know of each other's requests, each admits no more than its
// allowance (own_allowance.h), so that a jump of the demand is bounded. Pure functions.
#pragma once

#include "trefoil/admission/token_bucket.h"
#include "trefoil/catalogue/catalogue.h"
#include "trefoil/dispatch/own_allowance.h"

#include <deque>
#include <map>
#include <optional>

namespace trefoil {

// The cost of an account's requests.
struct QuotaCosts
{
  // Of the admitted requests, less refunds.
  double mUsed = 0;
  // Of all requests.
  double mAsked = 0;
};

// The state of an account's bucket at the end of a round.
struct QuotaLevel
{
  Instant mAt;
  double mTokens = 0;
  double mShare = 1;
  double mCharged = 0;
  // Whether the account asked for more than refills.
  bool mIsLimited = false;
};

// The usage of one client account's quota.
struct AccountUsage
{
  TokenBucket mBucket;
  // The rate of the last refill.
  RefillRate mRefill;
  // What did not fit into the bucket when it was refilled after a freeze of this host, in this
  // round and in the one before. Usage that others report is charged to it first.
  double mOverflow = 0;
  double mFormerOverflow = 0;
  // What this host may use until the round ends; empty unless it was frozen.
  std::optional<double> mOwnPart;
  // The share of the quota at the last refill, the cost that was charged to the bucket since the
  // start, and the levels at the ends of the latest rounds.
  double mShare = 1;
  double mCharged = 0;
  std::deque<QuotaLevel> mLevels;
  // What this host may use before it knows of the requests of the others.
  OwnAllowance mAllowance;
  // The account's quota over all hosts when the bucket was refilled last.
  FleetQuota mFleet;
  // What this host has received since its start.
  QuotaCosts mOwnTotal;
  // What was asked of all hosts in the current round, as far as it has been reported, and the
  // moving average per second. While some hosts are out of contact, they are taken to be asked for
  // as much as those in contact.
  double mAskedInRound = 0;
  double mAskedPerSecond = 0;
  // The sum of the admission probabilities of this host's requests, less the admitted ones; empty
  // before the first request.
  std::optional<double> mAdmissionCredit;
};

struct QuotaState
{
  std::map<ClientAccountId, AccountUsage> mAccounts;
  // When the last round ended, and whether this host was frozen since.
  Instant mRoundEndedAt;
  bool mWasFrozen = false;
};

struct QuotaParameters
{
  // The share of the quota that this host and the hosts in contact with it may use together,
  // from 0 to 1.
  double mShare = 1;
  // The number of hosts, whether in contact with this one or not.
  int mHosts = 1;
  // How long it takes until a request is known to all hosts in contact.
  Milliseconds mPropagationTime{ 500 };
  // What the platform permits beyond the quota: mOverage is a fraction of the rate, mSlack is
  // added to the burst, in tokens or requests.
  double mOverage = 0;
  double mSlack = 0;
  // A uniform random number from 0 to 1, by which hosts admit different ones of the requests that
  // are admitted with a probability.
  double mRandomValue = 0;
};

// The result of a quota check and the values it was based on.
struct QuotaDecision
{
  bool mAllowed = true;
  // The level of the bucket before the request, and the probability with which a request that the
  // bucket covers is admitted. 0 and 1 for an account without a rate.
  double mLevel = 0;
  double mProbability = 1;
  // The size of the bucket, and what all hosts are taken to be asked for per second.
  double mCapacity = 0;
  double mAskedPerSecond = 0;
  // What this host might still be charged before it knows of the requests of the others.
  double mAllowanceLeft = 0;

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

// Counts a request that is refused for another reason than the quota toward what the account asks
// for. Of `aParameters`, mRandomValue is not used.
void
RecordQuotaDemand(QuotaState& aState,
                  const ClientAccountId& aAccount,
                  double aCost,
                  const QuotaParameters& aParameters);

// Refunds the cost of a request that was not sent.
void
RefundQuota(QuotaState& aState, const ClientAccountId& aAccount, double aCost);

// Adds the costs of requests that other hosts have received. Of `aParameters`, mRandomValue is not
// used.
void
AddPeerUsage(QuotaState& aState,
             const ClientAccount& aAccount,
             const QuotaCosts& aCosts,
             const QuotaParameters& aParameters,
             Instant aNow);

// What a host needs to know of an account when it starts.
struct QuotaSnapshot
{
  // The level of the account's bucket; negative if it is overdrawn.
  double mLevel = 0;
  // What all hosts are asked for per second.
  double mAskedPerSecond = 0;
};

QuotaSnapshot
SnapshotOf(const AccountUsage& aUsage);

// Continues from a recorded snapshot. Without the demand, hosts that start together would each take
// their own few requests for all of it and admit them as long as the level lasts.
void
RestoreQuota(QuotaState& aState,
             const ClientAccountId& aAccount,
             const QuotaSnapshot& aSnapshot,
             Instant aNow);

// Ends a round: updates the moving averages. Must be called each time this host reports its usage
// to the others. Of `aParameters`, mRandomValue is not used.
void
EndQuotaRound(QuotaState& aState, const QuotaParameters& aParameters, Instant aNow);

} // namespace trefoil
