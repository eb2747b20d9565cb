// The leases of the stand-in key-value service.
//
//   Leases leases;
//   std::uint64_t lease = Grant(leases, Milliseconds{ 5000 }, aNow);
//   for (std::uint64_t ended : TakeEnded(leases, aNow)) { ... delete the keys written with it ... }
//
// Plain data and pure functions; the store's lock guards them.
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
  // Milliseconds that each renewal adds.
  std::int64_t mTimeToLive = 0;
  Instant mEndsAt;
};

struct Leases
{
  std::uint64_t mNewest = 0;
  std::map<std::uint64_t, Lease> mLive;
};

std::uint64_t
Grant(Leases& aLeases, Milliseconds aTimeToLive, Instant aNow);

// Returns whether the lease was live and now lasts longer.
bool
Renew(Leases& aLeases, std::uint64_t aLease, Instant aNow);

// Ends a lease at once.
void
Revoke(Leases& aLeases, std::uint64_t aLease, Instant aNow);

// Returns the leases that have ended, each once.
std::vector<std::uint64_t>
TakeEnded(Leases& aLeases, Instant aNow);

// Answers POST /v1/lease?ttl_ms=N, POST /v1/lease/N/renew and DELETE /v1/lease/N.
HttpResponse
ServeLease(Leases& aLeases, const HttpRequest& aRequest, Instant aNow);

} // namespace trefoil::standin
