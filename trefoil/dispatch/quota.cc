#include "trefoil/dispatch/quota.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// Weight of the latest round in the moving averages.
constexpr double kMeanWeight = 0.2;
// The part of a bucket's capacity that is kept while more is asked for than refills. It covers the
// requests of other hosts that are not known yet.
constexpr double kReserveShare = 0.5;

// Refills the account's bucket up to `aNow`. A new bucket is full. Returns its rate and capacity.
RefillRate
RefillQuota(AccountUsage& aUsage,
            const ClientAccount& aAccount,
            const QuotaParameters& aParameters,
            Instant aNow)
{
  const double burst = (aAccount.mBurst + aParameters.mSlack) * aParameters.mShare;
  const double rate = aAccount.mRatePerSecond * (1 + aParameters.mOverage) * aParameters.mShare;
  if (aUsage.mBucket.mRefilledAt == Instant{}) {
    aUsage.mBucket.mTokens += burst;
    aUsage.mBucket.mRefilledAt = aNow;
  }
  const RefillRate refill{ .mPerSecond = rate, .mMax = burst };
  Refill(aUsage.mBucket, refill, aNow);
  return refill;
}

// Returns whether a request is admitted, with the given probability. The requests of one host are
// admitted at even distances, which varies less than independent draws.
bool
DrawAdmission(AccountUsage& aUsage, const QuotaParameters& aParameters, double aProbability)
{
  if (!aUsage.mAdmissionCredit.has_value()) {
    aUsage.mAdmissionCredit = aParameters.mRandomValue;
  }
  double& credit = *aUsage.mAdmissionCredit;
  credit += aProbability;
  if (credit < 1) {
    return false;
  }
  credit = std::min(credit - 1, 1.0);
  return true;
}

void
RecordUsed(AccountUsage& aUsage, double aCost)
{
  aUsage.mBucket.mTokens -= aCost;
  aUsage.mOwnTotal.mUsed += aCost;
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
  AccountUsage& usage = aState.mAccounts[aAccount.mName];
  QuotaDecision decision;
  if (aAccount.mRatePerSecond > 0) {
    const RefillRate refill = RefillQuota(usage, aAccount, aParameters, aNow);
    const double seconds = std::chrono::duration<double>(aParameters.mPropagationTime).count();
    const double asked = seconds * usage.mAskedPerSecond;
    const double refilled = seconds * refill.mPerSecond;
    decision.mLevel = usage.mBucket.mTokens;
    decision.mCapacity = refill.mMax;
    decision.mAskedPerSecond = usage.mAskedPerSecond;
    // A request that costs more than the burst requires a full bucket.
    const bool fits = decision.mLevel >= std::min(aCost, refill.mMax);
    const bool ample = decision.mLevel - aCost >= asked - refilled;
    if (!ample) {
      const double reserve = refill.mMax * kReserveShare;
      decision.mProbability = std::clamp((decision.mLevel - reserve + refilled) / asked, 0.0, 1.0);
    }
    decision.mAllowed = fits && DrawAdmission(usage, aParameters, decision.mProbability);
  }
  usage.mAskedInRound += aCost;
  usage.mOwnTotal.mAsked += aCost;
  if (decision.mAllowed) {
    RecordUsed(usage, aCost);
  }
  return decision;
}

void
RefundQuota(QuotaState& aState, const ClientAccountId& aAccount, double aCost)
{
  RecordUsed(aState.mAccounts[aAccount], -aCost);
}

void
AddPeerUsage(QuotaState& aState,
             const ClientAccount& aAccount,
             const QuotaCosts& aCosts,
             const QuotaParameters& aParameters,
             Instant aNow)
{
  if (aAccount.mRatePerSecond <= 0) {
    return;
  }
  AccountUsage& usage = aState.mAccounts[aAccount.mName];
  // A host that seldom receives requests of the account must refill its copy all the same.
  RefillQuota(usage, aAccount, aParameters, aNow);
  usage.mBucket.mTokens -= aCosts.mUsed;
  usage.mAskedInRound += aCosts.mAsked;
}

QuotaSnapshot
SnapshotOf(const AccountUsage& aUsage)
{
  return { .mLevel = aUsage.mBucket.mTokens, .mAskedPerSecond = aUsage.mAskedPerSecond };
}

void
RestoreQuota(QuotaState& aState,
             const ClientAccountId& aAccount,
             const QuotaSnapshot& aSnapshot,
             Instant aNow)
{
  AccountUsage& usage = aState.mAccounts[aAccount];
  usage.mBucket = { .mTokens = aSnapshot.mLevel, .mRefilledAt = aNow };
  usage.mAskedPerSecond = aSnapshot.mAskedPerSecond;
}

void
EndQuotaRound(QuotaState& aState, Instant aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - std::exchange(aState.mRoundEndedAt, aNow)).count();
  for (auto& [account, usage] : aState.mAccounts) {
    const double asked = std::exchange(usage.mAskedInRound, 0.0);
    if (seconds > 0) {
      usage.mAskedPerSecond += kMeanWeight * (asked / seconds - usage.mAskedPerSecond);
    }
  }
}

} // namespace trefoil
