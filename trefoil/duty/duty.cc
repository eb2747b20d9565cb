#include "trefoil/duty/duty.h"

#include <algorithm>

namespace trefoil {
namespace {

// A lease is renewed when this time has passed since the last renewal.
constexpr Milliseconds kRenewAfter{ 2'000 };
// A call that was not answered for so long is given up.
constexpr Milliseconds kCallLimit{ 1'500 };
// How much longer the next host in rank waits before it tries.
constexpr Milliseconds kRankPause{ 500 };
// How much the time of a try varies.
constexpr std::uint64_t kTrySpreadMilliseconds = 250;

Milliseconds
TrySpread(DutyState& aState)
{
  return Milliseconds{ static_cast<std::int64_t>(NextRandom(aState.mRandom) %
                                                 kTrySpreadMilliseconds) };
}

bool
WantsAny(const DutyState& aState)
{
  return !aState.mClaims.empty();
}

// Whether the lease is good for a call that takes the longest time.
bool
IsLeaseLive(const HostLease& aLease, Instant aNow)
{
  return aLease.mLease != 0 && aNow < aLease.mActUntil;
}

void
WaitForHolder(DutyState& aState, Claim& aClaim, Instant aNow)
{
  aClaim.mPhase = ClaimPhase::kWaiting;
  aClaim.mFencing = 0;
  aClaim.mTryAt = aNow + kLeaseTime + kRankPause * aClaim.mRank + TrySpread(aState);
}

void
TryAfterFailure(DutyState& aState, Claim& aClaim, Instant aNow)
{
  ++aClaim.mFailures;
  aClaim.mTryAt = aNow + BackOff(aClaim.mFailures, NextRandom(aState.mRandom));
}

void
CallForLease(DutyState& aState, DutyEffects& aEffects, Instant aNow)
{
  HostLease& lease = aState.mLease;
  if (lease.mFailures > 0 && !Withdraw(aState.mRetries, aNow)) {
    lease.mCallAt = aNow + kLongestPause;
    return;
  }
  lease.mCallNumber = ++aState.mCalls;
  lease.mCallSentAt = aNow;
  lease.mCallAt = aNow + kCallLimit;
  if (lease.mLease == 0) {
    lease.mCall = LeaseCall::kGrant;
    aEffects.emplace_back(GrantLease{ .mCallNumber = lease.mCallNumber });
    return;
  }
  lease.mCall = LeaseCall::kRenew;
  aEffects.emplace_back(RenewLease{ .mCallNumber = lease.mCallNumber, .mLease = lease.mLease });
}

void
OnLeaseFailure(DutyState& aState, Instant aNow)
{
  HostLease& lease = aState.mLease;
  lease.mCall = LeaseCall::kNone;
  ++lease.mFailures;
  lease.mCallAt = aNow + BackOff(lease.mFailures, NextRandom(aState.mRandom));
}

void
AskForClaim(DutyState& aState,
            const ServiceId& aService,
            Claim& aClaim,
            DutyEffects& aEffects,
            Instant aNow)
{
  if (aClaim.mFailures > 0 && !Withdraw(aState.mRetries, aNow)) {
    aClaim.mTryAt = aNow + kLongestPause;
    return;
  }
  aClaim.mCallNumber = ++aState.mCalls;
  aClaim.mTryAt = aNow + kCallLimit;
  if (aClaim.mPhase == ClaimPhase::kReading) {
    aEffects.emplace_back(ReadClaim{ .mService = aService, .mCallNumber = aClaim.mCallNumber });
    return;
  }
  aClaim.mPhase = ClaimPhase::kWriting;
  aClaim.mNonce = NextRandom(aState.mRandom);
  aClaim.mLease = aState.mLease.mLease;
  aEffects.emplace_back(
    WriteClaim{ .mService = aService,
                .mCallNumber = aClaim.mCallNumber,
                .mRecord = { .mHost = aState.mOptions.mHost, .mNonce = aClaim.mNonce },
                .mLease = aClaim.mLease });
}

// Lets the timer of one claim fire.
void
OnClaimTimer(DutyState& aState,
             const ServiceId& aService,
             Claim& aClaim,
             DutyEffects& aEffects,
             Instant aNow)
{
  if (aClaim.mPhase == ClaimPhase::kHeld || !HasPassed(aClaim.mTryAt, aNow)) {
    return;
  }
  if (aClaim.mPhase == ClaimPhase::kWriting) {
    // The write was not answered in time.
    aClaim.mPhase = ClaimPhase::kReading;
    ++aClaim.mFailures;
  }
  if (IsLeaseLive(aState.mLease, aNow)) {
    AskForClaim(aState, aService, aClaim, aEffects, aNow);
  } else {
    aClaim.mTryAt = aNow + kRankPause;
  }
}

void
DropLease(DutyState& aState, Instant aNow)
{
  aState.mLease.mLease = 0;
  aState.mLease.mCall = LeaseCall::kNone;
  aState.mLease.mCallAt = aNow;
  for (auto& [service, claim] : aState.mClaims) {
    if (claim.mPhase == ClaimPhase::kHeld) {
      claim.mPhase = ClaimPhase::kWaiting;
      claim.mFencing = 0;
      claim.mTryAt = aNow + kRankPause * claim.mRank + TrySpread(aState);
    }
  }
}

DutyEffects
OnTimer(DutyState& aState, Instant aNow)
{
  DutyEffects effects;
  HostLease& lease = aState.mLease;
  if (WantsAny(aState) && HasPassed(lease.mCallAt, aNow)) {
    if (lease.mCall != LeaseCall::kNone) {
      OnLeaseFailure(aState, aNow);
    } else {
      CallForLease(aState, effects, aNow);
    }
  }
  for (auto& [service, claim] : aState.mClaims) {
    OnClaimTimer(aState, service, claim, effects, aNow);
  }
  return effects;
}

DutyEffects
On(DutyState& aState, const DutyTimer&, Instant aNow)
{
  return OnTimer(aState, aNow);
}

DutyEffects
On(DutyState& aState, const DutyWanted& aEvent, Instant aNow)
{
  const auto [entry, added] = aState.mClaims.try_emplace(aEvent.mService);
  entry->second.mRank = aEvent.mRank;
  if (added) {
    entry->second.mTryAt = aNow + kRankPause * aEvent.mRank + TrySpread(aState);
  }
  return OnTimer(aState, aNow);
}

DutyEffects
On(DutyState& aState, const DutyUnwanted& aEvent, Instant)
{
  // A held duty stays held: its key ends with the lease alone.
  const auto found = aState.mClaims.find(aEvent.mService);
  if (found != aState.mClaims.end() && found->second.mPhase != ClaimPhase::kHeld) {
    aState.mClaims.erase(found);
  }
  return {};
}

DutyEffects
On(DutyState& aState, const HostLeaving&, Instant)
{
  DutyEffects effects;
  if (aState.mLease.mLease != 0) {
    effects.emplace_back(EndLease{ .mLease = aState.mLease.mLease });
  }
  aState.mLease.mLease = 0;
  aState.mClaims.clear();
  return effects;
}

DutyEffects
On(DutyState& aState, const HolderHeard& aEvent, Instant aNow)
{
  const auto found = aState.mClaims.find(aEvent.mService);
  if (found != aState.mClaims.end() && found->second.mPhase == ClaimPhase::kWaiting) {
    WaitForHolder(aState, found->second, aNow);
  }
  return {};
}

DutyEffects
On(DutyState& aState, const LeaseAnswered& aEvent, Instant aNow)
{
  HostLease& lease = aState.mLease;
  if (lease.mCall == LeaseCall::kNone || aEvent.mCallNumber != lease.mCallNumber) {
    return {};
  }
  lease.mCall = LeaseCall::kNone;
  lease.mLease = aEvent.mLease;
  lease.mFailures = 0;
  lease.mActUntil = lease.mCallSentAt + kLeaseTime - kLeaseMargin;
  lease.mCallAt = lease.mCallSentAt + kRenewAfter;
  return OnTimer(aState, aNow);
}

DutyEffects
On(DutyState& aState, const LeaseLost& aEvent, Instant aNow)
{
  if (aEvent.mLease != aState.mLease.mLease) {
    return {};
  }
  DropLease(aState, aNow);
  return OnTimer(aState, aNow);
}

DutyEffects
On(DutyState& aState, const LeaseCallFailed& aEvent, Instant aNow)
{
  if (aState.mLease.mCall != LeaseCall::kNone && aEvent.mCallNumber == aState.mLease.mCallNumber) {
    OnLeaseFailure(aState, aNow);
  }
  return {};
}

void
TakeDuty(const DutyState& aState, Claim& aClaim, std::uint64_t aRevision, Instant aNow)
{
  aClaim.mFailures = 0;
  if (aClaim.mLease != aState.mLease.mLease) {
    // The lease of the claim has ended, and its key with it.
    aClaim.mPhase = ClaimPhase::kWaiting;
    aClaim.mTryAt = aNow;
    return;
  }
  aClaim.mPhase = ClaimPhase::kHeld;
  aClaim.mFencing = aRevision;
  aClaim.mOrdersFrom = aNow + kLongestOrder;
}

DutyEffects
On(DutyState& aState, const ClaimAnswered& aEvent, Instant aNow)
{
  const auto found = aState.mClaims.find(aEvent.mService);
  if (found == aState.mClaims.end() || aEvent.mCallNumber != found->second.mCallNumber ||
      found->second.mPhase == ClaimPhase::kHeld || found->second.mPhase == ClaimPhase::kWaiting) {
    return {};
  }
  Claim& claim = found->second;
  const bool own = aEvent.mRecord.mHost == aState.mOptions.mHost &&
                   aEvent.mRecord.mNonce == claim.mNonce && aEvent.mRevision != 0;
  if (own && aEvent.mResult != ClaimResult::kUnknown && aEvent.mResult != ClaimResult::kFree) {
    TakeDuty(aState, claim, aEvent.mRevision, aNow);
    return {};
  }
  switch (aEvent.mResult) {
    case ClaimResult::kWritten:
    case ClaimResult::kTaken:
      claim.mFailures = 0;
      WaitForHolder(aState, claim, aNow);
      break;
    case ClaimResult::kFree:
      claim.mPhase = ClaimPhase::kWaiting;
      TryAfterFailure(aState, claim, aNow);
      break;
    case ClaimResult::kUnknown:
      claim.mPhase = ClaimPhase::kReading;
      TryAfterFailure(aState, claim, aNow);
      break;
  }
  return {};
}

} // namespace

DutyState
MakeDutyState(DutyOptions aOptions, Instant aNow)
{
  DutyState state;
  state.mOptions = std::move(aOptions);
  state.mRandom = state.mOptions.mRandomSeed;
  state.mRetries.mFilledAt = aNow;
  state.mLease.mCallAt = aNow;
  return state;
}

DutyEffects
Step(DutyState& aState, const DutyEvent& aEvent, Instant aNow)
{
  return std::visit([&aState, aNow](const auto& aKind) { return On(aState, aKind, aNow); }, aEvent);
}

std::optional<Instant>
NextTimer(const DutyState& aState)
{
  if (!WantsAny(aState)) {
    return std::nullopt;
  }
  Instant next = aState.mLease.mCallAt;
  const bool leased = aState.mLease.mLease != 0;
  for (const auto& [service, claim] : aState.mClaims) {
    if (leased && claim.mPhase != ClaimPhase::kHeld) {
      next = std::min(next, claim.mTryAt);
    }
  }
  return next;
}

bool
MayAct(const DutyState& aState, const ServiceId& aService, Instant aNow, Milliseconds aLongest)
{
  if (!Holds(aState, aService, aNow + aLongest)) {
    return false;
  }
  return HasPassed(aState.mClaims.at(aService).mOrdersFrom, aNow);
}

bool
Holds(const DutyState& aState, const ServiceId& aService, Instant aNow)
{
  const auto found = aState.mClaims.find(aService);
  return found != aState.mClaims.end() && found->second.mPhase == ClaimPhase::kHeld &&
         found->second.mLease == aState.mLease.mLease && IsLeaseLive(aState.mLease, aNow);
}

std::uint64_t
FencingOf(const DutyState& aState, const ServiceId& aService)
{
  const auto found = aState.mClaims.find(aService);
  return found == aState.mClaims.end() ? 0 : found->second.mFencing;
}

} // namespace trefoil
