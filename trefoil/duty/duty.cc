#include "trefoil/duty/duty.h"

#include <algorithm>

namespace trefoil {
namespace {

// The time from one renewal of the lease to the next.
constexpr Milliseconds kRenewInterval{ 2'000 };
// A store call without a reply counts as failed after this time.
constexpr Milliseconds kCallTimeout{ 1'500 };
// The additional delay of each rank, so that candidates write their claims one after the other.
constexpr Milliseconds kRankDelay{ 500 };
// The store executes a write that got no answer within seconds or not at all.
constexpr Milliseconds kMaxWriteDelay{ 30'000 };
// The upper bound of the random delay that is added to each attempt.
constexpr std::uint64_t kMaxJitterMilliseconds = 250;

Milliseconds
ClaimJitter(DutyState& aState)
{
  return Milliseconds{ static_cast<std::int64_t>(NextRandom(aState.mRandomState) %
                                                 kMaxJitterMilliseconds) };
}

bool
HasClaims(const DutyState& aState)
{
  return !aState.mClaims.empty();
}

// Returns whether the lease is valid at `aNow`, by this host's clock.
bool
IsLeaseValid(const HostLease& aLease, Instant aNow)
{
  return aLease.mLease != 0 && aNow < aLease.mValidUntil;
}

// Schedules the next write for when the lease of the current holder would have ended without
// another renewal.
void
WaitForHolder(DutyState& aState, DutyClaim& aClaim, Instant aNow)
{
  aClaim.mPhase = DutyClaimPhase::kWaiting;
  aClaim.mFencing = 0;
  aClaim.mClaimTimerAt =
    aNow + kHostLeaseDuration + kRankDelay * aClaim.mRank + ClaimJitter(aState);
}

void
ScheduleRetry(DutyState& aState, DutyClaim& aClaim, Instant aNow)
{
  ++aClaim.mFailures;
  aClaim.mClaimTimerAt = aNow + JitteredBackoff(aClaim.mFailures, NextRandom(aState.mRandomState));
}

void
StartLeaseCall(DutyState& aState, DutyEffects& aEffects, Instant aNow)
{
  HostLease& lease = aState.mLease;
  if (lease.mFailures > 0 && !ConsumeRetryToken(aState.mRetryBudget, aNow)) {
    lease.mLeaseTimerAt = aNow + kMaxStoreRetryDelay;
    return;
  }
  lease.mCallNumber = ++aState.mLastCallNumber;
  lease.mCallSentAt = aNow;
  lease.mLeaseTimerAt = aNow + kCallTimeout;
  if (lease.mLease == 0) {
    lease.mPendingCall = LeaseCall::kGrant;
    aEffects.emplace_back(GrantLease{ .mCallNumber = lease.mCallNumber });
    return;
  }
  lease.mPendingCall = LeaseCall::kRenew;
  aEffects.emplace_back(RenewLease{ .mCallNumber = lease.mCallNumber, .mLease = lease.mLease });
}

void
OnLeaseCallFailure(DutyState& aState, Instant aNow)
{
  HostLease& lease = aState.mLease;
  lease.mPendingCall = LeaseCall::kNone;
  ++lease.mFailures;
  lease.mLeaseTimerAt = aNow + JitteredBackoff(lease.mFailures, NextRandom(aState.mRandomState));
}

void
StartClaimCall(DutyState& aState,
               const ServiceId& aService,
               DutyClaim& aClaim,
               DutyEffects& aEffects,
               Instant aNow)
{
  if (aClaim.mFailures > 0 && !ConsumeRetryToken(aState.mRetryBudget, aNow)) {
    aClaim.mClaimTimerAt = aNow + kMaxStoreRetryDelay;
    return;
  }
  aClaim.mCallNumber = ++aState.mLastCallNumber;
  aClaim.mClaimTimerAt = aNow + kCallTimeout;
  if (aClaim.mPhase == DutyClaimPhase::kReading) {
    aEffects.emplace_back(ReadDutyClaim{ .mService = aService, .mCallNumber = aClaim.mCallNumber });
    return;
  }
  aClaim.mPhase = DutyClaimPhase::kWriting;
  aClaim.mNonce = aState.mLease.mNonce;
  aClaim.mLease = aState.mLease.mLease;
  aEffects.emplace_back(
    WriteDutyClaim{ .mService = aService,
                    .mCallNumber = aClaim.mCallNumber,
                    .mRecord = { .mHost = aState.mOptions.mHost, .mNonce = aClaim.mNonce },
                    .mLease = aClaim.mLease });
}

// Returns whether a write of the claim may take effect later, so that its key hangs on this host's
// lease.
bool
MayBeWrittenLate(const DutyClaim& aClaim, Instant aNow)
{
  return aClaim.mPhase == DutyClaimPhase::kWriting || !HasPassed(aClaim.mLateWritesEndAt, aNow);
}

// Handles the timer of one claim.
void
OnClaimTimer(DutyState& aState,
             const ServiceId& aService,
             DutyClaim& aClaim,
             DutyEffects& aEffects,
             Instant aNow)
{
  if (aClaim.mPhase == DutyClaimPhase::kHeld || !HasPassed(aClaim.mClaimTimerAt, aNow)) {
    return;
  }
  if (aClaim.mPhase == DutyClaimPhase::kWriting) {
    // The write has timed out and may have taken effect, so the key is read.
    aClaim.mPhase = DutyClaimPhase::kReading;
    aClaim.mLateWritesEndAt = aNow + kMaxWriteDelay;
    ++aClaim.mFailures;
  }
  if (aClaim.mIsStopped && aClaim.mPhase == DutyClaimPhase::kWaiting) {
    aClaim.mPhase = DutyClaimPhase::kReading;
  }
  if (IsLeaseValid(aState.mLease, aNow)) {
    StartClaimCall(aState, aService, aClaim, aEffects, aNow);
  } else {
    aClaim.mClaimTimerAt = aNow + kRankDelay;
  }
}

// Discards the lease and the duties held under it. The next lease is requested immediately.
void
DropLease(DutyState& aState, Instant aNow)
{
  aState.mLease.mLease = 0;
  aState.mLease.mPendingCall = LeaseCall::kNone;
  aState.mLease.mLeaseTimerAt = aNow;
  for (auto& [service, claim] : aState.mClaims) {
    // The store refuses writes under a lease that has ended.
    claim.mLateWritesEndAt = {};
    if (claim.mPhase == DutyClaimPhase::kHeld) {
      claim.mPhase = DutyClaimPhase::kWaiting;
      claim.mFencing = 0;
      claim.mClaimTimerAt = aNow + kRankDelay * claim.mRank + ClaimJitter(aState);
    }
  }
}

DutyEffects
OnTimer(DutyState& aState, Instant aNow)
{
  DutyEffects effects;
  HostLease& lease = aState.mLease;
  if (HasClaims(aState) && HasPassed(lease.mLeaseTimerAt, aNow)) {
    if (lease.mPendingCall != LeaseCall::kNone) {
      OnLeaseCallFailure(aState, aNow);
    } else {
      StartLeaseCall(aState, effects, aNow);
    }
  }
  std::erase_if(aState.mClaims, [aNow](const auto& aItem) {
    const DutyClaim& claim = aItem.second;
    return claim.mIsStopped && claim.mPhase != DutyClaimPhase::kHeld &&
           !MayBeWrittenLate(claim, aNow);
  });
  for (auto& [service, claim] : aState.mClaims) {
    OnClaimTimer(aState, service, claim, effects, aNow);
  }
  return effects;
}

DutyEffects
On(DutyState& aState, const DutyTimerFired&, Instant aNow)
{
  return OnTimer(aState, aNow);
}

DutyEffects
On(DutyState& aState, const DutyCampaignStarted& aEvent, Instant aNow)
{
  const auto [entry, added] = aState.mClaims.try_emplace(aEvent.mService);
  entry->second.mRank = aEvent.mRank;
  entry->second.mIsStopped = false;
  if (added) {
    entry->second.mClaimTimerAt = aNow + kRankDelay * aEvent.mRank + ClaimJitter(aState);
  }
  return OnTimer(aState, aNow);
}

DutyEffects
On(DutyState& aState, const DutyCampaignStopped& aEvent, Instant aNow)
{
  // A held duty remains held until the lease ends, because its key is deleted only with the
  // lease.
  const auto found = aState.mClaims.find(aEvent.mService);
  if (found == aState.mClaims.end() || found->second.mPhase == DutyClaimPhase::kHeld) {
    return {};
  }
  if (MayBeWrittenLate(found->second, aNow)) {
    found->second.mIsStopped = true;
  } else {
    aState.mClaims.erase(found);
  }
  return {};
}

DutyEffects
On(DutyState& aState, const HostShutdownStarted&, Instant)
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
On(DutyState& aState, const HolderAnnouncementReceived& aEvent, Instant aNow)
{
  const auto found = aState.mClaims.find(aEvent.mService);
  if (found != aState.mClaims.end() && found->second.mPhase == DutyClaimPhase::kWaiting) {
    WaitForHolder(aState, found->second, aNow);
  }
  return {};
}

DutyEffects
On(DutyState& aState, const LeaseCallSucceeded& aEvent, Instant aNow)
{
  HostLease& lease = aState.mLease;
  if (lease.mPendingCall == LeaseCall::kNone || aEvent.mCallNumber != lease.mCallNumber) {
    return {};
  }
  lease.mPendingCall = LeaseCall::kNone;
  if (lease.mLease != aEvent.mLease) {
    lease.mLease = aEvent.mLease;
    lease.mNonce = NextRandom(aState.mRandomState);
  }
  lease.mFailures = 0;
  lease.mValidUntil = lease.mCallSentAt + kHostLeaseDuration - kLeaseSafetyMargin;
  lease.mLeaseTimerAt = lease.mCallSentAt + kRenewInterval;
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
On(DutyState& aState, const StoreRestored&, Instant aNow)
{
  // A host that holds a valid claim until now knows that no other one does.
  const bool holds =
    IsLeaseValid(aState.mLease, aNow) && std::ranges::any_of(aState.mClaims, [](const auto& aItem) {
      return aItem.second.mPhase == DutyClaimPhase::kHeld;
    });
  if (!holds) {
    aState.mFormerClaimsEndAt = aNow + kHostLeaseDuration;
  }
  DropLease(aState, aNow);
  for (auto& [service, claim] : aState.mClaims) {
    // An answer to a call in progress is about a claim or a lease that is gone.
    if (claim.mPhase != DutyClaimPhase::kWaiting) {
      claim.mPhase = DutyClaimPhase::kWaiting;
      claim.mClaimTimerAt = aNow + kRankDelay * claim.mRank + ClaimJitter(aState);
    }
  }
  return OnTimer(aState, aNow);
}

DutyEffects
On(DutyState& aState, const LeaseCallFailed& aEvent, Instant aNow)
{
  if (aState.mLease.mPendingCall != LeaseCall::kNone &&
      aEvent.mCallNumber == aState.mLease.mCallNumber) {
    OnLeaseCallFailure(aState, aNow);
  }
  return {};
}

void
AcquireDuty(const DutyState& aState, DutyClaim& aClaim, std::uint64_t aRevision, Instant aNow)
{
  aClaim.mFailures = 0;
  aClaim.mIsStopped = false;
  if (aClaim.mLease != aState.mLease.mLease) {
    // The claim was written under a lease that has ended, and its key was deleted with that
    // lease.
    aClaim.mPhase = DutyClaimPhase::kWaiting;
    aClaim.mClaimTimerAt = aNow;
    return;
  }
  aClaim.mPhase = DutyClaimPhase::kHeld;
  aClaim.mFencing = aRevision;
  aClaim.mMayActFrom = std::max(aNow + kMaxOrderDuration, aState.mFormerClaimsEndAt);
}

DutyEffects
On(DutyState& aState, const DutyClaimCompleted& aEvent, Instant aNow)
{
  const auto found = aState.mClaims.find(aEvent.mService);
  if (found == aState.mClaims.end() || aEvent.mCallNumber != found->second.mCallNumber ||
      found->second.mPhase == DutyClaimPhase::kHeld ||
      found->second.mPhase == DutyClaimPhase::kWaiting) {
    return {};
  }
  DutyClaim& claim = found->second;
  if (claim.mPhase == DutyClaimPhase::kWriting && aEvent.mResult == DutyClaimResult::kUnknown) {
    claim.mLateWritesEndAt = aNow + kMaxWriteDelay;
  }
  const bool own = aEvent.mRecord.mHost == aState.mOptions.mHost &&
                   aEvent.mRecord.mNonce == claim.mNonce && aEvent.mRevision != 0;
  if (own && aEvent.mResult != DutyClaimResult::kUnknown &&
      aEvent.mResult != DutyClaimResult::kFree) {
    AcquireDuty(aState, claim, aEvent.mRevision, aNow);
    return {};
  }
  switch (aEvent.mResult) {
    case DutyClaimResult::kWritten:
    case DutyClaimResult::kTaken:
      claim.mFailures = 0;
      WaitForHolder(aState, claim, aNow);
      break;
    case DutyClaimResult::kFree:
      claim.mPhase = DutyClaimPhase::kWaiting;
      ScheduleRetry(aState, claim, aNow);
      break;
    case DutyClaimResult::kUnknown:
      claim.mPhase = DutyClaimPhase::kReading;
      ScheduleRetry(aState, claim, aNow);
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
  state.mRandomState = state.mOptions.mRandomSeed;
  state.mRetryBudget.mRefilledAt = aNow;
  state.mLease.mLeaseTimerAt = aNow;
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
  if (!HasClaims(aState)) {
    return std::nullopt;
  }
  Instant next = aState.mLease.mLeaseTimerAt;
  const bool hasLease = aState.mLease.mLease != 0;
  for (const auto& [service, claim] : aState.mClaims) {
    if (hasLease && claim.mPhase != DutyClaimPhase::kHeld) {
      next = std::min(next, claim.mClaimTimerAt);
    }
  }
  return next;
}

bool
MayAct(const DutyState& aState, const ServiceId& aService, Instant aNow, Milliseconds aMaxDuration)
{
  if (!HoldsDuty(aState, aService, aNow + aMaxDuration)) {
    return false;
  }
  return HasPassed(aState.mClaims.at(aService).mMayActFrom, aNow);
}

bool
HoldsDuty(const DutyState& aState, const ServiceId& aService, Instant aNow)
{
  const auto found = aState.mClaims.find(aService);
  return found != aState.mClaims.end() && found->second.mPhase == DutyClaimPhase::kHeld &&
         found->second.mLease == aState.mLease.mLease && IsLeaseValid(aState.mLease, aNow);
}

std::uint64_t
FencingNumber(const DutyState& aState, const ServiceId& aService)
{
  const auto found = aState.mClaims.find(aService);
  return found == aState.mClaims.end() ? 0 : found->second.mFencing;
}

} // namespace trefoil
