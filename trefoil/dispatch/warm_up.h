// Keeps the requests of all entry hosts to a backend server that warms up within the rate that its
// service states for such servers.
//
//   if (ObserveRegistration(warmUp, server, service.mWarmUpTime, now)) { ... }
//   SetPart(warmUp, PartOfWarmUpLimit(service.mWarmUpPerSecond, position), now);
//   if (IsWarmingUp(warmUp, now) && HasPermit(warmUp, now)) { UsePermit(warmUp); }
//
// The rate is divided among the hosts like a limit that a server states itself (server_limit.h): by
// a rendezvous hash over the list of hosts, so that hosts out of contact with each other keep to
// the same division. The bound holds in any second, so a host saves up fewer permits than for a
// stated limit, and begins without any. Plain data and pure functions.
#pragma once

#include "trefoil/admission/token_bucket.h"
#include "trefoil/base/instant.h"
#include "trefoil/catalogue/server_registry.h"

#include <cstddef>
#include <cstdint>

namespace trefoil {

// What one host knows of the warm-up of a server, and its permits.
struct WarmUp
{
  // The registration that was last taken into account.
  std::int64_t mIncarnation = 0;
  std::int64_t mRevision = 0;
  // Until when the server is cold: by its registration, and by its answers about its health.
  Instant mUntil;
  Instant mHealthUntil;
  // The part of the limit that this host may use. It refills the bucket.
  RefillRate mPart;
  TokenBucket mBucket;
  // Whether the start of the warm-up was logged, and its end was not.
  bool mIsLogged = false;
};

// The position of a host in the order by which the limit of a server is divided.
struct HostPosition
{
  std::size_t mRank = 0;
  std::size_t mHosts = 0;
  // Whether this host has read its list of hosts so long ago that the hosts that started together
  // with it are listed.
  bool mIsSettled = true;
};

// Returns whether the server is cold at `aNow`.
bool
IsWarmingUp(const WarmUp& aWarmUp, Instant aNow);

// Returns when the server is warm, as far as this host knows.
Instant
WarmAt(const WarmUp& aWarmUp);

// Takes a registration into account that arrives at `aNow`, unless its revision is not newer than
// the last one. One that states a shorter time ends the warm-up sooner. `aWarmUpTime` is used for a
// server that has restarted and states no time. Returns whether the server becomes cold by it.
bool
ObserveRegistration(WarmUp& aWarmUp,
                    const RegisteredServer& aServer,
                    Milliseconds aWarmUpTime,
                    Instant aNow);

// Takes an answer about the server's health into account. It can prolong a warm-up only, since it
// does not tell whether a registration is older. Returns whether the server becomes cold by it.
bool
ObserveHealth(WarmUp& aWarmUp, Milliseconds aRemaining, Instant aNow);

// Returns the part of `aPerSecond`, the requests per second of all hosts, that the host may use;
// its maximum is 0 if the host may not use the server. `aPerSecond` must be above 0.
RefillRate
PartOfWarmUpLimit(double aPerSecond, const HostPosition& aPosition);

// Changes the part that refills the permits from `aNow` on. A host that had no part begins without
// permits, since the host that had its part before may just have used one.
void
SetPart(WarmUp& aWarmUp, const RefillRate& aPart, Instant aNow);

// Refills the permits and returns whether this host may send the server a request.
bool
HasPermit(WarmUp& aWarmUp, Instant aNow);

// Uses a permit. Requests that the server rejects use one, too.
void
UsePermit(WarmUp& aWarmUp);

// Records that a request was sent `aDelay` after its permit was used, as its connection had to be
// opened first. The next permit follows as much later, so that the requests reach the server no
// closer together.
void
DelayNextPermit(WarmUp& aWarmUp, Instant::duration aDelay);

} // namespace trefoil
