#include "trefoil/dispatch/warm_up.h"

#include "trefoil/dispatch/server_limit.h"

#include <algorithm>

namespace trefoil {
namespace {

// Permits of this time can be used at once. With the second of a stated limit, few hosts with many
// permits each would exceed one and a half times the rate within a second.
constexpr double kBurstSeconds = 0.25;
// The share of its part that a host uses while hosts that started with it may be missing in its
// list. If 84 hosts start one after the other, they take themselves to hold 35 permits of 7.
constexpr double kUnsettledShare = 0.25;
// Longer statements are not believed.
constexpr Milliseconds kMaxWarmUpTime{ std::chrono::hours{ 1 } };

// Returns whether the server becomes cold by a change that was applied at `aNow`, and if so, lets
// the permits begin empty.
bool
BeginWarmUp(WarmUp& aWarmUp, bool aWasCold, Instant aNow)
{
  if (aWasCold || !IsWarmingUp(aWarmUp, aNow)) {
    return false;
  }
  aWarmUp.mPart = {};
  aWarmUp.mBucket = { .mTokens = 0, .mRefilledAt = aNow };
  return true;
}

} // namespace

bool
IsWarmingUp(const WarmUp& aWarmUp, Instant aNow)
{
  return !HasPassed(WarmAt(aWarmUp), aNow);
}

Instant
WarmAt(const WarmUp& aWarmUp)
{
  return std::max(aWarmUp.mUntil, aWarmUp.mHealthUntil);
}

bool
ObserveRegistration(WarmUp& aWarmUp,
                    const RegisteredServer& aServer,
                    Milliseconds aWarmUpTime,
                    Instant aNow)
{
  if (aServer.mRevision <= aWarmUp.mRevision) {
    return false;
  }
  const bool hasRestarted =
    aWarmUp.mIncarnation != 0 && aServer.mIncarnation > aWarmUp.mIncarnation;
  const bool wasCold = IsWarmingUp(aWarmUp, aNow);
  aWarmUp.mRevision = aServer.mRevision;
  aWarmUp.mIncarnation = aServer.mIncarnation;
  if (aServer.mRemainingWarmUp.has_value() || hasRestarted) {
    const Milliseconds remaining = aServer.mRemainingWarmUp.value_or(aWarmUpTime);
    aWarmUp.mUntil = aNow + std::min(remaining, kMaxWarmUpTime);
  }
  return BeginWarmUp(aWarmUp, wasCold, aNow);
}

bool
ObserveHealth(WarmUp& aWarmUp, Milliseconds aRemaining, Instant aNow)
{
  const bool wasCold = IsWarmingUp(aWarmUp, aNow);
  aWarmUp.mHealthUntil =
    std::max(aWarmUp.mHealthUntil, aNow + std::min(aRemaining, kMaxWarmUpTime));
  return BeginWarmUp(aWarmUp, wasCold, aNow);
}

RefillRate
PartOfWarmUpLimit(double aPerSecond, const HostPosition& aPosition)
{
  RefillRate part = PartOfLimit(aPerSecond, aPosition.mRank, aPosition.mHosts);
  if (part.mMax > 0) {
    part.mPerSecond *= aPosition.mIsSettled ? 1 : kUnsettledShare;
    part.mMax = std::max(1.0, part.mPerSecond * kBurstSeconds);
  }
  return part;
}

void
SetPart(WarmUp& aWarmUp, const RefillRate& aPart, Instant aNow)
{
  Refill(aWarmUp.mBucket, aWarmUp.mPart, aNow);
  aWarmUp.mPart = aPart;
  Refill(aWarmUp.mBucket, aPart, aNow);
}

bool
HasPermit(WarmUp& aWarmUp, Instant aNow)
{
  return HasPermit(aWarmUp.mBucket, aWarmUp.mPart, aNow);
}

void
UsePermit(WarmUp& aWarmUp)
{
  aWarmUp.mBucket.mTokens -= 1;
}

void
DelayNextPermit(WarmUp& aWarmUp, Instant::duration aDelay)
{
  const double refilled = aWarmUp.mPart.mPerSecond * std::chrono::duration<double>(aDelay).count();
  // One request moves from one second into another, however many permits are refilled meanwhile.
  aWarmUp.mBucket.mTokens -= std::clamp(refilled, 0.0, 1.0);
}

} // namespace trefoil
