#include "trefoil/dispatch/quota.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// A host may spend more of what is left than its share so far, for a demand that moves between
// hosts.
constexpr double kShareGrowth = 1.5;
// What is left is not divided while it lasts for so many rounds of news.
constexpr double kAmpleRounds = 2;
// The weight of the newest period in the moving means: the last second or so counts.
constexpr double kMeanWeight = 0.2;

// Returns the part of what is left of a quota that this host may spend until the next news.
double
PartOfRest(const AccountUse& aUse, const QuotaTerms& aTerms)
{
  const double even = 1.0 / std::max(1, aTerms.mHostsInTouch);
  const double used = aUse.mAllMean > 0 ? aUse.mOwnMean / aUse.mAllMean : even;
  return std::min(1.0, kShareGrowth * std::max(even, used));
}

void
Count(AccountUse& aUse, double aCost)
{
  aUse.mBucket.mTokens -= aCost;
  aUse.mSinceNews += aCost;
  aUse.mOwnTotal += aCost;
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
TakeQuota(QuotaState& aState,
          const ClientAccount& aAccount,
          double aCost,
          const QuotaTerms& aTerms,
          Instant aNow)
{
  const auto [entry, fresh] = aState.mAccounts.try_emplace(aAccount.mName);
  AccountUse& use = entry->second;
  QuotaDecision decision;
  if (aAccount.mRatePerSecond > 0) {
    const double burst = (aAccount.mBurst + aTerms.mSlack) * aTerms.mShare;
    const double rate = aAccount.mRatePerSecond * (1 + aTerms.mOverage) * aTerms.mShare;
    if (fresh || use.mBucket.mRefilledAt == Instant{}) {
      use.mBucket.mTokens += burst;
      use.mBucket.mRefilledAt = aNow;
    }
    Refill(use.mBucket, { .mPerSecond = rate, .mMax = burst }, aNow);
    decision.mLevel = use.mBucket.mTokens;
    const double part = (decision.mLevel + use.mSinceNews) * PartOfRest(use, aTerms);
    decision.mMax = part - use.mSinceNews;
    // A request that is larger than the part may take all that is there, as often as makes the part
    // its mean. One that is larger than the burst takes a full bucket.
    const bool fits = decision.mLevel >= std::min(aCost, burst) && aTerms.mDraw * aCost < part;
    const bool ample = decision.mLevel - aCost >= kAmpleRounds * use.mAllMean;
    decision.mAllowed = ample || aCost <= decision.mMax || (use.mSinceNews <= 0 && fits);
  }
  if (decision.mAllowed) {
    Count(use, aCost);
  }
  return decision;
}

void
ReturnQuota(QuotaState& aState, const ClientAccountId& aAccount, double aCost)
{
  Count(aState.mAccounts[aAccount], -aCost);
}

void
AddUsedElsewhere(QuotaState& aState, const ClientAccountId& aAccount, double aCost)
{
  AccountUse& use = aState.mAccounts[aAccount];
  use.mBucket.mTokens -= aCost;
  use.mElsewhereSinceNews += aCost;
}

void
SetQuotaLevel(QuotaState& aState, const ClientAccountId& aAccount, double aLevel, Instant aNow)
{
  aState.mAccounts[aAccount].mBucket = { .mTokens = aLevel, .mRefilledAt = aNow };
}

void
OnQuotaUpdate(QuotaState& aState)
{
  for (auto& [account, use] : aState.mAccounts) {
    const double own = std::exchange(use.mSinceNews, 0.0);
    const double all = own + std::exchange(use.mElsewhereSinceNews, 0.0);
    use.mOwnMean += kMeanWeight * (own - use.mOwnMean);
    use.mAllMean += kMeanWeight * (all - use.mAllMean);
  }
}

} // namespace trefoil
