#include "trefoil/dispatch/quota.h"

namespace trefoil {
namespace {

AccountUse&
UseOf(QuotaState& aState, const ClientAccountId& aAccount)
{
  const auto [entry, fresh] = aState.mAccounts.try_emplace(aAccount);
  if (fresh) {
    entry->second.mWindow = MakeSlidingCount(aState.mWindow);
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

bool
TakeQuota(QuotaState& aState,
          const ClientAccount& aAccount,
          double aCost,
          const QuotaTerms& aTerms,
          Instant aNow)
{
  AccountUse& use = UseOf(aState, aAccount.mName);
  if (aAccount.mRatePerSecond > 0) {
    const double seconds = std::chrono::duration<double>(aState.mWindow).count();
    const double most =
      (aAccount.mRatePerSecond * seconds + aAccount.mBurst) * aTerms.mShare;
    if (Sum(use.mWindow, aNow) + aCost > most) {
      return false;
    }
  }
  Add(use.mWindow, aCost, aNow);
  use.mOwnTotal += aCost;
  return true;
}

void
ReturnQuota(QuotaState& aState, const ClientAccount& aAccount, double aCost, Instant aNow)
{
  AccountUse& use = UseOf(aState, aAccount.mName);
  Add(use.mWindow, -aCost, aNow);
  use.mOwnTotal -= aCost;
}

void
AddUsedElsewhere(QuotaState& aState, const ClientAccountId& aAccount, double aCost, Instant aNow)
{
  Add(UseOf(aState, aAccount).mWindow, aCost, aNow);
}

} // namespace trefoil
