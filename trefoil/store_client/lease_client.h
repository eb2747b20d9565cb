// A blocking client for the leases of the platform's key-value service.
//
//   absl::StatusOr<std::uint64_t> lease = CallGrantLease(store, Milliseconds{ 6000 }, deadline);
//   LeaseRenewalResult answer = CallRenewLease(store, *lease, deadline);
//
// docs/PROTOCOLS.md describes the service's interface. Each function blocks until its deadline at
// most and may be called on any number of threads.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/store_client/store_client.h"

#include <cstdint>

namespace trefoil {

// The result of renewing a lease.
enum class LeaseRenewalResult
{
  // The lease was renewed.
  kLive,
  // The lease does not exist: it has expired or was revoked.
  kLost,
  // No valid answer arrived; the lease may have been renewed.
  kUnknown,
};

inline constexpr NameTable<LeaseRenewalResult, 3> kLeaseRenewalResultNames{ {
  { LeaseRenewalResult::kLive, "live" },
  { LeaseRenewalResult::kLost, "lost" },
  { LeaseRenewalResult::kUnknown, "unknown" },
} };

// Creates a lease and returns its id. After an error, the lease may exist; it then expires after
// `aTimeToLive`. Returns DataLoss if the answer cannot be parsed, and other errors if the call
// fails.
absl::StatusOr<std::uint64_t>
CallGrantLease(const StoreClient& aStore, Milliseconds aTimeToLive, Instant aDeadline);

// Extends a lease by its time to live.
LeaseRenewalResult
CallRenewLease(const StoreClient& aStore, std::uint64_t aLease, Instant aDeadline);

// Revokes a lease, which removes its keys. Ignores errors: if the call is lost, the lease expires.
void
CallRevokeLease(const StoreClient& aStore, std::uint64_t aLease, Instant aDeadline);

} // namespace trefoil
