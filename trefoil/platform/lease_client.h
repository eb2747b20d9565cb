// The leases of the platform's key-value service.
//
//   absl::StatusOr<std::uint64_t> lease = AskForLease(store, Milliseconds{ 6000 }, deadline);
//   LeaseAnswer answer = AskToRenew(store, *lease, deadline);
//
// docs/PROTOCOLS.md gives the interface. Blocking until the deadline at most; any number of threads
// may call.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/platform/store_client.h"

#include <cstdint>

namespace trefoil {

enum class LeaseAnswer
{
  kLive,
  // The store has no such lease any more.
  kLost,
  // No answer came: the call may have taken effect.
  kUnknown,
};

inline constexpr NameTable<LeaseAnswer, 3> kLeaseAnswerNames{ {
  { LeaseAnswer::kLive, "live" },
  { LeaseAnswer::kLost, "lost" },
  { LeaseAnswer::kUnknown, "unknown" },
} };

// Returns a new lease. After an error one may have been made, which ends by itself.
absl::StatusOr<std::uint64_t>
AskForLease(const StoreClient& aStore, Milliseconds aTimeToLive, Instant aDeadline);

LeaseAnswer
AskToRenew(const StoreClient& aStore, std::uint64_t aLease, Instant aDeadline);

// Ends a lease and its keys. One whose answer is lost ends by itself.
void
AskToEnd(const StoreClient& aStore, std::uint64_t aLease, Instant aDeadline);

} // namespace trefoil
