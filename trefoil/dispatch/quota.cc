#include "trefoil/dispatch/quota.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// A host may spend this many times its recent share of the remaining quota, because demand
// moves between hosts.
constexpr double kShareGrowth = 1.5;
// The remaining quota is not divided while it suffices for this many rounds of all hosts'
// usage.
constexpr double kAmpleRounds = 2;
// Weight of the latest round in the moving averages, which therefore cover about one second.
constexpr double kMeanWeight = 0.2;

// Returns the fraction of the remaining quota that this host may spend in the current round.
double
SpendableFraction(const AccountUsage& aUsage, const QuotaParameters& aParameters)
{
  const double evenShare = 1.0 / std::max(1, aParameters.mReachableHosts);
  const double usedShare = aUsage.mAllMean > 0 ? aUsage.mOwnMean / aUsage.mAllMean : evenShare;
  return std::min(1.0, kShareGrowth * std::max(evenShare, usedShare));
}

void
RecordCost(AccountUsage& aUsage, double aCost)
{
  aUsage.mBucket.mTokens -= aCost;
  aUsage.mOwnInRound += aCost;
  aUsage.mOwnTotal += aCost;
}

} // namespace

double
QuotaCost(const ClientAccount& aAccount, std::int64_t aTokens)
{
  if (!aAccount.mCountsTokens) {
    return 1;
  }
  return static_cast<double>(aTokens > 0 ? aTokens : aAccount.mDefaultTokens);
}

QuotaDecision
ConsumeQuota(QuotaState& aState,
             const ClientAccount& aAccount,
             double aCost,
             const QuotaParameters& aParameters,
             Instant aNow)
{
  const auto [entry, inserted] = aState.mAccounts.try_emplace(aAccount.mName);
  AccountUsage& usage = entry->second;
  QuotaDecision decision;
  if (aAccount.mRatePerSecond > 0) {
    const double burst = (aAccount.mBurst + aParameters.mSlack) * aParameters.mShare;
    const double rate = aAccount.mRatePerSecond * (1 + aParameters.mOverage) * aParameters.mShare;
    if (inserted || usage.mBucket.mRefilledAt == Instant{}) {
      usage.mBucket.mTokens += burst;
      usage.mBucket.mRefilledAt = aNow;
    }
    Refill(usage.mBucket, { .mPerSecond = rate, .mMax = burst }, aNow);
    decision.mLevel = usage.mBucket.mTokens;
    const double spendable =
      (decision.mLevel + usage.mOwnInRound) * SpendableFraction(usage, aParameters);
    decision.mMax = spendable - usage.mOwnInRound;
    // A request that costs more than the spendable quota is admitted if the bucket holds enough
    // for it, with a probability that makes the spendable quota the expected cost. A request
    // that costs more than the burst requires a full bucket.
    const bool fits =
      decision.mLevel >= std::min(aCost, burst) && aParameters.mRandomValue * aCost < spendable;
    const bool ample = decision.mLevel - aCost >= kAmpleRounds * usage.mAllMean;
    decision.mAllowed = ample || aCost <= decision.mMax || (usage.mOwnInRound <= 0 && fits);
  }
  if (decision.mAllowed) {
    RecordCost(usage, aCost);
  }
  return decision;
}

void
RefundQuota(QuotaState& aState, const ClientAccountId& aAccount, double aCost)
{
  RecordCost(aState.mAccounts[aAccount], -aCost);
}

void
AddPeerUsage(QuotaState& aState, const ClientAccountId& aAccount, double aCost)
{
  AccountUsage& usage = aState.mAccounts[aAccount];
  usage.mBucket.mTokens -= aCost;
  usage.mPeersInRound += aCost;
}

void
SetQuotaLevel(QuotaState& aState, const ClientAccountId& aAccount, double aLevel, Instant aNow)
{
  aState.mAccounts[aAccount].mBucket = { .mTokens = aLevel, .mRefilledAt = aNow };
}

void
EndQuotaRound(QuotaState& aState)
{
  for (auto& [account, usage] : aState.mAccounts) {
    const double own = std::exchange(usage.mOwnInRound, 0.0);
    const double all = own + std::exchange(usage.mPeersInRound, 0.0);
    usage.mOwnMean += kMeanWeight * (own - usage.mOwnMean);
    usage.mAllMean += kMeanWeight * (all - usage.mAllMean);
  }
}

} // namespace trefoil
