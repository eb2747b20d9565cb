// The leases of the stand-in key-value service.
//
//   Leases leases;
//   std::uint64_t lease = Grant(leases, Milliseconds{ 5000 }, aNow);
//   for (std::uint64_t expired : RemoveExpiredLeases(leases, aNow)) {
//     // Delete the keys that were written with this lease.
//   }
//
// Plain data and functions without I/O; the caller serializes access.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/http/message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace trefoil::standin {

struct Lease
{
  // The time in milliseconds from a grant or renewal to the expiry.
  std::int64_t mTimeToLiveMilliseconds = 0;
  Instant mExpiresAt;
};

struct Leases
{
  // The number of the last lease granted; 0 before the first.
  std::uint64_t mLastLease = 0;
  std::map<std::uint64_t, Lease> mLiveLeases;
};

// Grants a lease and returns its number, which is above 0.
std::uint64_t
Grant(Leases& aLeases, Milliseconds aTimeToLive, Instant aNow);

// Extends a live lease to its time to live from `aNow`. Returns false if it has expired or does not
// exist.
bool
Renew(Leases& aLeases, std::uint64_t aLease, Instant aNow);

// Ends a lease at `aNow`; the next call of RemoveExpiredLeases returns it.
void
Revoke(Leases& aLeases, std::uint64_t aLease, Instant aNow);

// Removes the leases that have expired or were revoked and returns their numbers, so each one is
// returned once.
std::vector<std::uint64_t>
RemoveExpiredLeases(Leases& aLeases, Instant aNow);

// Returns the answer to POST /v1/lease?ttl_ms=N, POST /v1/lease/N/renew or DELETE /v1/lease/N,
// where N in the path is the number of a lease. Returns status 400 for an invalid ttl_ms and 404
// for an unknown path or for a renewal of a lease that is not live. A DELETE always succeeds.
HttpResponse
ServeLease(Leases& aLeases, const HttpRequest& aRequest, Instant aNow);

} // namespace trefoil::standin
