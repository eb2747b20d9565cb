// Duties that one host at a time carries out for a service: version moves, orders, purchases.
//
//   DutyState duties = MakeDutyState({ .mHost = host, .mRandomSeed = seed });
//   DutyEffects effects = Step(duties, DutyWanted{ .mService = service, .mRank = 0 }, aNow);
//   if (MayAct(duties, service, aNow, kLongestOrder)) { ... send an order with
//   FencingOf(duties, service) ... }
//
// A host has one lease in the store for all its duties. A duty is held by a key that ends with the
// lease; the key's revision is the fencing number. Deadlines are set from before the call was sent.
// Plain data and pure functions: the caller carries out the effects, and calls MayAct with a fresh
// time just before each act.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/duty/retry_budget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace trefoil {

// How long a lease lasts after its last renewal.
inline constexpr Milliseconds kLeaseTime{ 6'000 };
// A lease counts as ended so long before the store ends it, for clocks that drift.
inline constexpr Milliseconds kLeaseMargin{ 300 };
// The longest time from sending an order until a backend server has obeyed or dropped it.
inline constexpr Milliseconds kLongestOrder{ 1'500 };

struct DutyOptions
{
  HostId mHost;
  std::uint64_t mRandomSeed = 0;
};

// What a host writes to claim a duty.
struct HolderRecord
{
  HostId mHost;
  // Distinguishes two claims of one host.
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
  // 0 for none.
  std::uint64_t mLease = 0;
  // Nothing is done under the lease from here on.
  Instant mActUntil;
  Instant mCallAt;
  LeaseCall mCall = LeaseCall::kNone;
  std::uint64_t mCallNumber = 0;
  Instant mCallSentAt;
  int mFailures = 0;
};

enum class ClaimPhase
{
  // Another host holds the duty, or this one will try at mTryAt.
  kWaiting,
  kWriting,
  // The answer to the write was lost: the key is read to look for the own nonce.
  kReading,
  kHeld,
};

inline constexpr NameTable<ClaimPhase, 4> kClaimPhaseNames{ {
  { ClaimPhase::kWaiting, "waiting" },
  { ClaimPhase::kWriting, "writing" },
  { ClaimPhase::kReading, "reading" },
  { ClaimPhase::kHeld, "held" },
} };

struct Claim
{
  ClaimPhase mPhase = ClaimPhase::kWaiting;
  // The host's place among those that may take the duty, from 0.
  int mRank = 0;
  Instant mTryAt;
  std::uint64_t mNonce = 0;
  std::uint64_t mCallNumber = 0;
  // The lease that the claim was written with.
  std::uint64_t mLease = 0;
  std::uint64_t mFencing = 0;
  // A holder before may have orders on the way until here.
  Instant mOrdersFrom;
  int mFailures = 0;
};

struct DutyState
{
  DutyOptions mOptions;
  HostLease mLease;
  std::map<ServiceId, Claim> mClaims;
  RetryBudget mRetries;
  std::uint64_t mRandom = 0;
  std::uint64_t mCalls = 0;
};

// The host may take the duty. Sent again when the rank changes.
struct DutyWanted
{
  ServiceId mService;
  int mRank = 0;
};

struct DutyUnwanted
{
  ServiceId mService;
};

// The host stops and gives up its duties.
struct HostLeaving
{};

// Another host says that it holds the duty.
struct HolderHeard
{
  ServiceId mService;
};

// The store answered a call about the lease: granted or renewed.
struct LeaseAnswered
{
  std::uint64_t mCallNumber = 0;
  std::uint64_t mLease = 0;
};

// The store has no such lease any more.
struct LeaseLost
{
  std::uint64_t mLease = 0;
};

// No answer came; the call may have taken effect.
struct LeaseCallFailed
{
  std::uint64_t mCallNumber = 0;
};

enum class ClaimResult
{
  kWritten,
  // Another claim stands there.
  kTaken,
  // No claim stands there.
  kFree,
  kUnknown,
};

// A write or read of a claim has ended.
struct ClaimAnswered
{
  ServiceId mService;
  std::uint64_t mCallNumber = 0;
  ClaimResult mResult = ClaimResult::kUnknown;
  // What stands in the store, for kWritten and kTaken.
  HolderRecord mRecord;
  std::uint64_t mRevision = 0;
};

// A deadline of the state has passed.
struct DutyTimer
{};

using DutyEvent = std::variant<DutyWanted,
                               DutyUnwanted,
                               HostLeaving,
                               HolderHeard,
                               LeaseAnswered,
                               LeaseLost,
                               LeaseCallFailed,
                               ClaimAnswered,
                               DutyTimer>;

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

// Write the claim if its key does not exist.
struct WriteClaim
{
  ServiceId mService;
  std::uint64_t mCallNumber = 0;
  HolderRecord mRecord;
  std::uint64_t mLease = 0;
};

struct ReadClaim
{
  ServiceId mService;
  std::uint64_t mCallNumber = 0;
};

using DutyEffect = std::variant<GrantLease, RenewLease, EndLease, WriteClaim, ReadClaim>;
using DutyEffects = std::vector<DutyEffect>;

DutyState
MakeDutyState(DutyOptions aOptions, Instant aNow);

DutyEffects
Step(DutyState& aState, const DutyEvent& aEvent, Instant aNow);

// Returns when DutyTimer is due, nothing if no duty is wanted.
std::optional<Instant>
NextTimer(const DutyState& aState);

// Returns whether an act of the duty that ends within `aLongest` may begin at `aNow`. Call it just
// before each act, with the time of the act.
bool
MayAct(const DutyState& aState, const ServiceId& aService, Instant aNow, Milliseconds aLongest);

// Returns whether the host holds the duty now.
bool
Holds(const DutyState& aState, const ServiceId& aService, Instant aNow);

// Returns the fencing number of a duty that is held, 0 for one that is not.
std::uint64_t
FencingOf(const DutyState& aState, const ServiceId& aService);

} // namespace trefoil
