#include "trefoil/dispatch/quota.h"

#include <algorithm>

namespace trefoil {
namespace {

// A host may spend more of what is left than its share so far, for a demand that moves between
// hosts.
constexpr double kShareGrowth = 1.5;

// Returns the part of what is left of a quota that this host may spend until the next news.
double
PartOfRest(AccountUse& aUse, const QuotaTerms& aTerms, Instant aNow)
{
  const double all = Sum(aUse.mWindow, aNow);
  const double even = 1.0 / std::max(1, aTerms.mHostsInTouch);
  const double used = all > 0 ? Sum(aUse.mOwnWindow, aNow) / all : even;
  return std::min(1.0, kShareGrowth * std::max(even, used));
}

void
Count(AccountUse& aUse, double aCost, Instant aNow)
{
  Add(aUse.mWindow, aCost, aNow);
  Add(aUse.mOwnWindow, aCost, aNow);
  aUse.mSinceNews += aCost;
  aUse.mOwnTotal += aCost;
}

AccountUse&
UseOf(QuotaState& aState, const ClientAccountId& aAccount)
{
  const auto [entry, fresh] = aState.mAccounts.try_emplace(aAccount);
  if (fresh) {
    entry->second.mWindow = MakeSlidingCount(aState.mWindow);
    entry->second.mOwnWindow = MakeSlidingCount(aState.mWindow);
  }
  return entry->second;
}

} // namespace

QuotaState
MakeQuotaState(Instant::duration aWindow)
{
  return { .mWindow = aWindow };
}

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
  AccountUse& use = UseOf(aState, aAccount.mName);
  QuotaDecision decision{ .mUsed = Sum(use.mWindow, aNow) };
  if (aAccount.mRatePerSecond > 0) {
    const double seconds = std::chrono::duration<double>(aState.mWindow).count();
    decision.mLimit =
      (aAccount.mRatePerSecond * seconds + aAccount.mBurst + aTerms.mSlack) * aTerms.mShare;
    const double restAtNews = decision.mLimit - (decision.mUsed - use.mSinceNews);
    decision.mAllowed = use.mSinceNews + aCost <= restAtNews * PartOfRest(use, aTerms, aNow);
  }
  if (decision.mAllowed) {
    Count(use, aCost, aNow);
  }
  return decision;
}

void
ReturnQuota(QuotaState& aState, const ClientAccount& aAccount, double aCost, Instant aNow)
{
  Count(UseOf(aState, aAccount.mName), -aCost, aNow);
}

void
AddUsedElsewhere(QuotaState& aState, const ClientAccountId& aAccount, double aCost, Instant aNow)
{
  Add(UseOf(aState, aAccount).mWindow, aCost, aNow);
}

void
OnQuotaNews(QuotaState& aState)
{
  for (auto& [account, use] : aState.mAccounts) {
    use.mSinceNews = 0;
  }
}

} // namespace trefoil
