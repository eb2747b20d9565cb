// Leader election for the duties of a service (version moves, scaling orders, purchases): at
// most one host holds a duty at a time.
//
//   DutyState duties = MakeDutyState({ .mHost = host, .mRandomSeed = seed }, aNow);
//   const auto effects = Step(duties, DutyCampaignStarted{ .mService = service }, aNow);
//   if (MayAct(duties, service, aNow, kMaxOrderDuration)) {
//     ... send an order with FencingNumber(duties, service) ...
//   }
//
// A host has one lease in the store for all its duties. It holds a duty by a key that is
// attached to the lease and is deleted with it; the revision of the key is the fencing number. A
// claim that gets no answer can be written seconds later. The host knows it by its nonce, and
// holds the duty then.
// The lease's validity is counted from before the call that granted or renewed it was sent, so
// that it ends here before it ends in the store. Plain data and pure functions: the caller
// executes the effects, and calls MayAct with the current time just before each action.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/duty/store_retry_budget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace trefoil {

// The TTL of a lease, from its last renewal.
inline constexpr Milliseconds kHostLeaseDuration{ 6'000 };
// A host stops using its lease this long before the TTL ends, to allow for clock drift.
inline constexpr Milliseconds kLeaseSafetyMargin{ 300 };
// The maximum time from sending an order until a backend server has executed or dropped it.
inline constexpr Milliseconds kMaxOrderDuration{ 1'500 };

struct DutyOptions
{
  HostId mHost;
  std::uint64_t mRandomSeed = 0;
};

// The value of a duty's key in the store: the host that wrote it.
struct HolderRecord
{
  HostId mHost;
  // Distinguishes the leases under which one host has written claims. All writes under one lease
  // have the same nonce, so that the host knows each of them again, however late it is executed.
  std::uint64_t mNonce = 0;
};

enum class LeaseCall
{
  kNone,
  kGrant,
  kRenew,
};

// The host's lease in the store.
struct HostLease
{
  // ID of the lease; 0 if there is none.
  std::uint64_t mLease = 0;
  // Of the claims that are written under the lease.
  std::uint64_t mNonce = 0;
  // The host does not act under the lease from this time on.
  Instant mValidUntil;
  // When the pending call times out or, if there is none, when the next call starts.
  Instant mLeaseTimerAt;
  LeaseCall mPendingCall = LeaseCall::kNone;
  std::uint64_t mCallNumber = 0;
  Instant mCallSentAt;
  // Consecutive failed calls.
  int mFailures = 0;
};

enum class DutyClaimPhase
{
  // Another host holds the duty, or this host writes its claim at mClaimTimerAt.
  kWaiting,
  kWriting,
  // The result of a write is unknown: the key is read to check whether it has this claim's nonce.
  kReading,
  kHeld,
};

inline constexpr NameTable<DutyClaimPhase, 4> kDutyClaimPhaseNames{ {
  { DutyClaimPhase::kWaiting, "waiting" },
  { DutyClaimPhase::kWriting, "writing" },
  { DutyClaimPhase::kReading, "reading" },
  { DutyClaimPhase::kHeld, "held" },
} };

struct DutyClaim
{
  DutyClaimPhase mPhase = DutyClaimPhase::kWaiting;
  // The host's position among the candidates for the duty, from 0. A lower rank tries earlier.
  int mRank = 0;
  // When the pending write or read times out or, if there is none, when the next one starts.
  Instant mClaimTimerAt;
  std::uint64_t mNonce = 0;
  std::uint64_t mCallNumber = 0;
  // The lease to which the claim's key is attached.
  std::uint64_t mLease = 0;
  // The fencing number; 0 unless the duty is held.
  std::uint64_t mFencing = 0;
  // The host does not act before this time, because orders of the previous holder may still be
  // in flight.
  Instant mMayActFrom;
  // Consecutive failed writes and reads.
  int mFailures = 0;
  // Until when a write that got no answer may still be executed.
  Instant mLateWritesEndAt;
  // Whether the host has stopped to campaign, and only reads whether a late write was executed.
  bool mIsStopped = false;
};

struct DutyState
{
  DutyOptions mOptions;
  HostLease mLease;
  std::map<ServiceId, DutyClaim> mClaims;
  StoreRetryBudget mRetryBudget;
  std::uint64_t mRandomState = 0;
  std::uint64_t mLastCallNumber = 0;
  // Until then another host may act under a claim that the store has lost.
  Instant mFormerClaimsEndAt;
};

// The host starts to campaign for the duty, or its rank has changed.
struct DutyCampaignStarted
{
  ServiceId mService;
  int mRank = 0;
};

// The host no longer campaigns for the duty. A duty that it holds remains held, and one that it
// comes to hold by a late write is held: its key is renewed with the host's lease, so that nobody
// else can hold it.
struct DutyCampaignStopped
{
  ServiceId mService;
};

// The host is shutting down and gives up all its duties.
struct HostShutdownStarted
{};

// Another host has announced that it holds the duty.
struct HolderAnnouncementReceived
{
  ServiceId mService;
};

// The store has granted or renewed the lease.
struct LeaseCallSucceeded
{
  std::uint64_t mCallNumber = 0;
  std::uint64_t mLease = 0;
};

// The store no longer has this lease.
struct LeaseLost
{
  std::uint64_t mLease = 0;
};

// The store was restored from a copy, so that all leases and claims are gone.
struct StoreRestored
{};

// A lease call got no reply. The call may have taken effect.
struct LeaseCallFailed
{
  std::uint64_t mCallNumber = 0;
};

enum class DutyClaimResult
{
  kWritten,
  // The key exists with a claim that may be another host's.
  kTaken,
  // The key does not exist.
  kFree,
  // The call failed. A write may have taken effect.
  kUnknown,
};

// A write or read of a claim has ended.
struct DutyClaimCompleted
{
  ServiceId mService;
  std::uint64_t mCallNumber = 0;
  DutyClaimResult mResult = DutyClaimResult::kUnknown;
  // The record and revision in the store, for kWritten and kTaken.
  HolderRecord mRecord;
  std::uint64_t mRevision = 0;
};

// The time that NextTimer returned has come.
struct DutyTimerFired
{};

using DutyEvent = std::variant<DutyCampaignStarted,
                               DutyCampaignStopped,
                               HostShutdownStarted,
                               HolderAnnouncementReceived,
                               LeaseCallSucceeded,
                               LeaseLost,
                               StoreRestored,
                               LeaseCallFailed,
                               DutyClaimCompleted,
                               DutyTimerFired>;

struct GrantLease
{
  std::uint64_t mCallNumber = 0;
};

struct RenewLease
{
  std::uint64_t mCallNumber = 0;
  std::uint64_t mLease = 0;
};

struct EndLease
{
  std::uint64_t mLease = 0;
};

// Create the key of the duty, attached to the lease, unless it exists.
struct WriteDutyClaim
{
  ServiceId mService;
  std::uint64_t mCallNumber = 0;
  HolderRecord mRecord;
  std::uint64_t mLease = 0;
};

struct ReadDutyClaim
{
  ServiceId mService;
  std::uint64_t mCallNumber = 0;
};

using DutyEffect = std::variant<GrantLease, RenewLease, EndLease, WriteDutyClaim, ReadDutyClaim>;
using DutyEffects = std::vector<DutyEffect>;

// Returns the state of a host that campaigns for no duty.
DutyState
MakeDutyState(DutyOptions aOptions, Instant aNow);

// Handles an event and returns the effects that the caller must execute.
DutyEffects
Step(DutyState& aState, const DutyEvent& aEvent, Instant aNow);

// Returns when the timer event is due; std::nullopt if the host campaigns for no duty and holds
// none.
std::optional<Instant>
NextTimer(const DutyState& aState);

// Returns whether the host may begin an action of the duty at `aNow` that takes at most
// `aMaxDuration`. Must be called just before each action, with the current time.
bool
MayAct(const DutyState& aState, const ServiceId& aService, Instant aNow, Milliseconds aMaxDuration);

// Returns whether the host holds the duty at `aNow`.
bool
HoldsDuty(const DutyState& aState, const ServiceId& aService, Instant aNow);

// Returns the fencing number with which the host acquired the duty; 0 if it did not or has given
// the duty up. The number remains after the lease has expired by this host's clock, so the caller
// must check MayAct or HoldsDuty as well.
std::uint64_t
FencingNumber(const DutyState& aState, const ServiceId& aService);

} // namespace trefoil
