// The control thread's calls about its lease in the store, and their ends.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/platform/lease_client.h"

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

// Call the store about a lease, and answer with LeaseCallDone of the same number.
struct LeaseCallWanted
{
  LeaseCallKind mKind = LeaseCallKind::kGrant;
  std::uint64_t mCallNumber = 0;
  std::uint64_t mLease = 0;
  Instant mDeadline;
};

struct LeaseCallDone
{
  std::uint64_t mCallNumber = 0;
  LeaseAnswer mAnswer = LeaseAnswer::kUnknown;
  std::uint64_t mLease = 0;
};

// Carries out a call. Blocks until its deadline at most.
LeaseCallDone
Send(const StoreClient& aStore, const LeaseCallWanted& aCall);

} // namespace trefoil
