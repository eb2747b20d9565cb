#include "trefoil/dispatch/quota.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace trefoil {
namespace {

// Weight of the latest round in the moving averages.
constexpr double kMeanWeight = 0.2;
// The part of a bucket's capacity that is kept while more is asked for than refills. It covers the
// requests of other hosts that are not known yet.
constexpr double kReserveShare = 0.5;
// A host whose round lasts longer than this many propagation times was frozen. The others count it
// as out of contact after the same time.
constexpr int kPropagationTimesOfFreeze = 2;
// The loss of contact with a host is noticed within this many propagation times.
constexpr double kPropagationTimesOfLoss = 1.25;

// Lowers the level to what remains for the hosts in contact when others have gone out of contact.
// What these have used since is not known, so the level of before the loss and what has refilled
// since are divided. If the account was limited before, the reserve covers that use.
void
SplitLevel(AccountUsage& aUsage, const QuotaParameters& aParameters, Instant aNow)
{
  if (aParameters.mShare >= aUsage.mShare || aUsage.mLevels.empty()) {
    return;
  }
  const QuotaLevel& before = aUsage.mLevels.front();
  if (before.mIsLimited) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aNow - before.mAt).count();
  const double refilled = seconds * aUsage.mFleet.mRatePerSecond;
  const double used = aUsage.mCharged - before.mCharged;
  const double level = aParameters.mShare * (before.mTokens / before.mShare + refilled) - used;
  aUsage.mBucket.mTokens = std::min(aUsage.mBucket.mTokens, level);
}

// Refills the account's bucket up to `aNow`. A new bucket is full. Returns its rate and capacity.
RefillRate
RefillQuota(AccountUsage& aUsage,
            const ClientAccount& aAccount,
            const QuotaParameters& aParameters,
            Instant aNow)
{
  aUsage.mFleet = { .mRatePerSecond = aAccount.mRatePerSecond * (1 + aParameters.mOverage),
                    .mBurst = aAccount.mBurst + aParameters.mSlack,
                    .mHosts = aParameters.mHosts,
                    .mPropagationTime = aParameters.mPropagationTime,
                    .mPartInContact = aParameters.mShare };
  const double burst = aUsage.mFleet.mBurst * aParameters.mShare;
  const double rate = aUsage.mFleet.mRatePerSecond * aParameters.mShare;
  if (aUsage.mBucket.mRefilledAt == Instant{}) {
    aUsage.mBucket.mTokens += burst;
    aUsage.mBucket.mRefilledAt = aNow;
  }
  aUsage.mRefill = { .mPerSecond = rate, .mMax = burst };
  Refill(aUsage.mBucket, aUsage.mRefill, aNow);
  SplitLevel(aUsage, aParameters, aNow);
  aUsage.mShare = aParameters.mShare;
  return aUsage.mRefill;
}

// Refills all buckets for the time in which this host was frozen, if it was.
void
RefillAfterFreeze(QuotaState& aState, const QuotaParameters& aParameters, Instant aNow)
{
  const bool started = aState.mRoundEndedAt != Instant{};
  if (!started || aState.mWasFrozen ||
      aNow - aState.mRoundEndedAt <= kPropagationTimesOfFreeze * aParameters.mPropagationTime) {
    return;
  }
  aState.mWasFrozen = true;
  for (auto& [account, usage] : aState.mAccounts) {
    RefillRate unbounded = usage.mRefill;
    unbounded.mMax = std::numeric_limits<double>::infinity();
    Refill(usage.mBucket, unbounded, aNow);
    usage.mOverflow = std::max(0.0, usage.mBucket.mTokens - usage.mRefill.mMax);
    usage.mBucket.mTokens -= usage.mOverflow;
    usage.mOwnPart = std::max(0.0, usage.mBucket.mTokens) / aParameters.mHosts;
  }
}

// Charges what other hosts have used: first to what overflowed, then to the bucket.
void
ChargePeerUsage(AccountUsage& aUsage, double aCost)
{
  aUsage.mCharged += aCost;
  for (double* overflow : { &aUsage.mFormerOverflow, &aUsage.mOverflow }) {
    const double charged = std::min(*overflow, aCost);
    *overflow -= charged;
    aCost -= charged;
  }
  aUsage.mBucket.mTokens -= aCost;
}

// Returns whether the account's bucket covers a request.
bool
CoversCost(const AccountUsage& aUsage, double aCost, const QuotaParameters& aParameters)
{
  // A request that costs more than the burst requires a full bucket.
  const double needed = std::min(aCost, aUsage.mRefill.mMax);
  const bool exceedsOwnPart =
    aUsage.mOwnPart.has_value() &&
    *aUsage.mOwnPart < std::min(needed, aUsage.mRefill.mMax / aParameters.mHosts);
  return aUsage.mBucket.mTokens >= needed && !exceedsOwnPart;
}

// Returns whether this host may admit a request before it knows of the requests of the others, and
// notes what is left for it.
bool
AllowanceCovers(AccountUsage& aUsage, double aCost, QuotaDecision& aDecision, Instant aNow)
{
  OwnAllowance& allowance = aUsage.mAllowance;
  RecordCost(allowance, aCost);
  const AllowanceLimits limits = LimitsOf(allowance, aUsage.mFleet);
  if (allowance.mDrainedAt == Instant{}) {
    // If little of the quota is left when a host starts, it may have used its allowance before.
    const double left = std::clamp(aUsage.mBucket.mTokens / aUsage.mRefill.mMax, 0.0, 1.0);
    allowance.mUsed = limits.mCapacity * (1 - left);
  }
  DrainAllowance(allowance, limits, aNow);
  aDecision.mAllowanceLeft = limits.mCapacity - allowance.mUsed;
  return aUsage.mFleet.mHosts == 1 || CoversCharge(allowance, limits, ChargeOf(allowance, aCost));
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
  aUsage.mCharged += aCost;
  aUsage.mAllowance.mUsed += std::copysign(ChargeOf(aUsage.mAllowance, std::abs(aCost)), aCost);
  if (aUsage.mOwnPart.has_value()) {
    *aUsage.mOwnPart -= aCost;
  }
  aUsage.mOwnTotal.mUsed += aCost;
}

void
RecordAsked(AccountUsage& aUsage, double aCost, const QuotaParameters& aParameters)
{
  aUsage.mAskedInRound += aCost / aParameters.mShare;
  aUsage.mAllowance.mOwnAskedInRound += aCost;
  aUsage.mAllowance.mAllAskedInRound += aCost;
  aUsage.mOwnTotal.mAsked += aCost;
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
  RefillAfterFreeze(aState, aParameters, aNow);
  AccountUsage& usage = aState.mAccounts[aAccount.mName];
  QuotaDecision decision;
  if (aAccount.mRatePerSecond > 0) {
    const RefillRate refill = RefillQuota(usage, aAccount, aParameters, aNow);
    const double seconds = std::chrono::duration<double>(aParameters.mPropagationTime).count();
    const double asked = seconds * usage.mAskedPerSecond * aParameters.mShare;
    const double refilled = seconds * refill.mPerSecond;
    decision.mLevel = usage.mBucket.mTokens;
    decision.mCapacity = refill.mMax;
    decision.mAskedPerSecond = usage.mAskedPerSecond;
    const bool ample = decision.mLevel - aCost >= asked - refilled;
    if (!ample) {
      const double reserve = refill.mMax * kReserveShare;
      decision.mProbability = std::clamp((decision.mLevel - reserve + refilled) / asked, 0.0, 1.0);
    }
    decision.mAllowed = CoversCost(usage, aCost, aParameters) &&
                        DrawAdmission(usage, aParameters, decision.mProbability);
    if (!AllowanceCovers(usage, aCost, decision, aNow) && std::exchange(decision.mAllowed, false)) {
      *usage.mAdmissionCredit += 1;
    }
  }
  RecordAsked(usage, aCost, aParameters);
  if (decision.mAllowed) {
    RecordUsed(usage, aCost);
  }
  return decision;
}

void
RecordQuotaDemand(QuotaState& aState,
                  const ClientAccountId& aAccount,
                  double aCost,
                  const QuotaParameters& aParameters)
{
  RecordAsked(aState.mAccounts[aAccount], aCost, aParameters);
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
  ChargePeerUsage(usage, aCosts.mUsed);
  usage.mAskedInRound += aCosts.mAsked / aParameters.mShare;
  usage.mAllowance.mAllAskedInRound += aCosts.mAsked;
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
EndQuotaRound(QuotaState& aState, const QuotaParameters& aParameters, Instant aNow)
{
  RefillAfterFreeze(aState, aParameters, aNow);
  aState.mWasFrozen = false;
  const double seconds =
    std::chrono::duration<double>(aNow - std::exchange(aState.mRoundEndedAt, aNow)).count();
  for (auto& [account, usage] : aState.mAccounts) {
    const double asked = std::exchange(usage.mAskedInRound, 0.0);
    EndAllowanceRound(usage.mAllowance, usage.mFleet, aNow);
    if (seconds > 0) {
      usage.mAskedPerSecond += kMeanWeight * (asked / seconds - usage.mAskedPerSecond);
    }
    usage.mLevels.push_back({ .mAt = aNow,
                              .mTokens = usage.mBucket.mTokens,
                              .mShare = usage.mShare,
                              .mCharged = usage.mCharged,
                              .mIsLimited = usage.mAskedPerSecond > usage.mFleet.mRatePerSecond });
    while (aNow - usage.mLevels.front().mAt >
           kPropagationTimesOfLoss * aParameters.mPropagationTime) {
      usage.mLevels.pop_front();
    }
    usage.mFormerOverflow = std::exchange(usage.mOverflow, 0.0);
    usage.mOwnPart.reset();
  }
}

} // namespace trefoil
