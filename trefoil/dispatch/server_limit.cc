#include "trefoil/dispatch/server_limit.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

// The rest of a limit covers requests of hosts whose lists of hosts differ for a moment.
constexpr double kUsedShare = 0.9;
// A server with a lower limit gets this many requests per second. Without any request, no host
// would learn that the limit has ended.
constexpr double kMinPerSecond = 0.2;
// The number of permits that a limit is divided into, at most.
constexpr double kMaxPermits = 1e6;
// Permits of this time can be used at once.
constexpr double kBurstSeconds = 1;
// A smaller relative change of a limit is not reported to other hosts.
constexpr double kNotableChange = 0.1;
// A change is repeated for this long, since a message can be lost, and an unchanged limit at this
// interval.
constexpr Milliseconds kRepeatTime{ 3'000 };
constexpr Milliseconds kRefreshInterval{ 5'000 };
// An unconfirmed limit is forgotten after this time or up to twice of it.
constexpr Milliseconds kMaxUnconfirmedTime{ 30'000 };
constexpr Milliseconds kMaxPermitWait{ 10'000 };
// Permits are sums of many small refills.
constexpr double kRoundingError = 1e-9;

bool
DiffersNotably(const StatedLimit& aBefore, const StatedLimit& aAfter)
{
  return aBefore.mKind != aAfter.mKind ||
         std::abs(aAfter.mPerSecond - aBefore.mPerSecond) > kNotableChange * aBefore.mPerSecond;
}

// Replaces the statement. Returns whether it differs notably from the one before.
bool
Replace(ServerLimit& aLimit,
        const StatedLimit& aStated,
        Instant aStatedAt,
        double aRandomValue,
        Instant aNow)
{
  const StatedLimit before = IsLimited(aLimit, aNow) ? aLimit.mStated : StatedLimit{};
  if (before.mKind != LimitStatement::kLimited) {
    aLimit.mBucket = { .mTokens = 0, .mRefilledAt = aNow };
  }
  aLimit.mStated = aStated;
  aLimit.mStatedAt = aStatedAt;
  aLimit.mExpiresAt = aStatedAt + kMaxUnconfirmedTime +
                      Milliseconds{ static_cast<std::int64_t>(
                        aRandomValue * static_cast<double>(kMaxUnconfirmedTime.count())) };
  const bool changed = DiffersNotably(before, aStated);
  if (changed) {
    aLimit.mChangedAt = aNow;
    aLimit.mNextReportAt = aNow;
  }
  return changed;
}

} // namespace

LimitReport
LimitReportOf(const BackendServerId& aServer, const ServerLimit& aLimit)
{
  return { .mServer = aServer,
           .mIncarnation = aLimit.mIncarnation,
           .mStated = aLimit.mStated,
           .mStatedAt = aLimit.mStatedAt };
}

bool
StartLimitIncarnation(ServerLimit& aLimit, std::int64_t aIncarnation)
{
  if (aIncarnation > aLimit.mIncarnation) {
    aLimit = { .mIncarnation = aIncarnation, .mRank = aLimit.mRank };
  }
  return aIncarnation == aLimit.mIncarnation;
}

std::size_t
RankOfHost(const std::vector<HostId>& aHosts, const HostId& aSelf, const BackendServerId& aServer)
{
  const std::uint64_t own = RendezvousScore(aSelf.Value(), aServer.Value());
  return static_cast<std::size_t>(std::ranges::count_if(aHosts, [&](const HostId& aHost) {
    return aHost != aSelf && RendezvousScore(aHost.Value(), aServer.Value()) > own;
  }));
}

RefillRate
PartOfLimit(double aPerSecond, std::size_t aRank, std::size_t aHosts)
{
  const auto permits = static_cast<std::size_t>(std::clamp(aPerSecond, 1.0, kMaxPermits));
  const std::size_t hosts = std::max<std::size_t>(1, aHosts);
  const std::size_t own = permits / hosts + (aRank < permits % hosts ? 1 : 0);
  if (own == 0) {
    return {};
  }
  const double rate = kUsedShare * std::max(aPerSecond, kMinPerSecond) * static_cast<double>(own) /
                      static_cast<double>(permits);
  return { .mPerSecond = rate, .mMax = std::max(1.0, rate * kBurstSeconds) };
}

bool
IsLimited(const ServerLimit& aLimit, Instant aNow)
{
  return aLimit.mStated.mKind == LimitStatement::kLimited && !HasPassed(aLimit.mExpiresAt, aNow);
}

bool
ObserveLimit(ServerLimit& aLimit, const LimitObservation& aObservation, Instant aNow)
{
  // An answer that was under way when the limit was stated does not end it.
  const bool isOutdated = aObservation.mStated.mKind == LimitStatement::kUnlimited &&
                          IsLimited(aLimit, aNow) && aObservation.mRequestSentAt < aLimit.mStatedAt;
  if (aObservation.mStated.mKind == LimitStatement::kUnreadable ||
      !StartLimitIncarnation(aLimit, aObservation.mIncarnation) || isOutdated) {
    return false;
  }
  aLimit.mIsUnreported = true;
  return Replace(aLimit, aObservation.mStated, aNow, aObservation.mRandomValue, aNow);
}

bool
MergeLimit(ServerLimit& aLimit, const LimitReport& aReport, double aRandomValue, Instant aNow)
{
  if (aReport.mStated.mKind == LimitStatement::kUnreadable ||
      !StartLimitIncarnation(aLimit, aReport.mIncarnation) ||
      aReport.mStatedAt <= aLimit.mStatedAt) {
    return false;
  }
  return Replace(aLimit, aReport.mStated, std::min(aReport.mStatedAt, aNow), aRandomValue, aNow);
}

bool
TakeReportDue(ServerLimit& aLimit, Instant aNow)
{
  const bool isRecent = aLimit.mChangedAt != Instant{} && aNow - aLimit.mChangedAt < kRepeatTime;
  if (!aLimit.mIsUnreported || !HasPassed(aLimit.mNextReportAt, aNow) ||
      (!isRecent && !IsLimited(aLimit, aNow))) {
    return false;
  }
  aLimit.mIsUnreported = isRecent;
  aLimit.mNextReportAt = isRecent ? aNow : aNow + kRefreshInterval;
  return true;
}

bool
HasPermit(TokenBucket& aPermits, const RefillRate& aPart, Instant aNow)
{
  Refill(aPermits, aPart, aNow);
  return aPermits.mTokens >= 1 - kRoundingError;
}

bool
HasPermit(ServerLimit& aLimit, const RefillRate& aPart, Instant aNow)
{
  return HasPermit(aLimit.mBucket, aPart, aNow);
}

void
UsePermit(ServerLimit& aLimit)
{
  aLimit.mBucket.mTokens -= 1;
}

PermitSum
PermitsOf(const TokenBucket& aPermits, const RefillRate& aPart)
{
  PermitSum sum{ .mAvailable = std::max(0.0, aPermits.mTokens), .mMax = aPart.mMax };
  if (aPart.mPerSecond > 0) {
    sum.mNextIn = TimeUntilRefilled(aPermits, 1, aPart.mPerSecond, kMaxPermitWait);
  }
  return sum;
}

PermitSum
LowerOf(const PermitSum& aFirst, const PermitSum& aSecond)
{
  PermitSum lower{ .mAvailable = std::min(aFirst.mAvailable, aSecond.mAvailable),
                   .mMax = std::min(aFirst.mMax, aSecond.mMax) };
  if (aFirst.mNextIn.has_value() && aSecond.mNextIn.has_value()) {
    lower.mNextIn = std::max(*aFirst.mNextIn, *aSecond.mNextIn);
  }
  return lower;
}

void
AddPermits(PermitSum& aSum, const PermitSum& aServer)
{
  aSum.mAvailable += aServer.mAvailable;
  aSum.mMax += aServer.mMax;
  if (aServer.mNextIn.has_value()) {
    aSum.mNextIn = std::min(aSum.mNextIn.value_or(*aServer.mNextIn), *aServer.mNextIn);
  }
}

bool
CoversUrgency(const PermitSum& aPermits, double aMoreUrgentShare)
{
  const double reserve = aMoreUrgentShare * std::max(0.0, aPermits.mMax - 1);
  return aPermits.mAvailable >= 1 + reserve - kRoundingError;
}

} // namespace trefoil
