// The control thread's calls for this host's lease in the store, and their results.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/store_client/lease_client.h"

#include <cstdint>

namespace trefoil {

enum class LeaseCallKind
{
  kGrant,
  kRenew,
  kEnd,
};

inline constexpr NameTable<LeaseCallKind, 3> kLeaseCallKindNames{ {
  { LeaseCallKind::kGrant, "grant" },
  { LeaseCallKind::kRenew, "renew" },
  { LeaseCallKind::kEnd, "end" },
} };

// Grants, renews or ends a lease of the store. The result is a LeaseCallCompleted with the same
// call number.
struct SendLeaseCall
{
  LeaseCallKind mKind = LeaseCallKind::kGrant;
  std::uint64_t mCallNumber = 0;
  std::uint64_t mLease = 0;
  Instant mDeadline;
};

// A lease call has completed. `mLease` is 0 if a lease could not be granted.
struct LeaseCallCompleted
{
  std::uint64_t mCallNumber = 0;
  LeaseRenewalResult mAnswer = LeaseRenewalResult::kUnknown;
  std::uint64_t mLease = 0;
};

// Executes a call. Blocks until its deadline at most.
LeaseCallCompleted
Send(const StoreClient& aStore, const SendLeaseCall& aCall);

} // namespace trefoil
