// The shares of the versions as one entry host may use them.
//
//   ServiceShares shares;
//   ApplyPermit(shares, permit, sentAt, aNow);
//   StopVersion(shares, version, shares.mNumber);
//   std::vector<VersionShare> weights = SharesOf(shares);
//
// A share rises only under a permit whose deadline lies ahead; without one the host holds it or
// lets it fall. Plain data and pure functions.
#pragma once

#include "trefoil/rollout/move_record.h"

#include <cstdint>
#include <vector>

namespace trefoil {

// How long a permit lasts from when the host asked for it.
inline constexpr Milliseconds kPermitTime{ 6'000 };

// What the holder of the duty answers to a host's report.
struct MovePermit
{
  ServiceId mService;
  // The revision of the record in the store; a larger one is newer.
  std::uint64_t mNumber = 0;
  MovePhase mPhase = MovePhase::kSteady;
  VersionId mVersion;
  int mPermille = 0;
  // Milliseconds until the end of the move.
  std::int64_t mEndsInMilliseconds = 0;
  std::vector<VersionShare> mSettled;
};

struct ServiceShares
{
  // The number of the newest permit taken in; 0 for none.
  std::uint64_t mNumber = 0;
  MovePhase mPhase = MovePhase::kSteady;
  VersionId mVersion;
  int mPermille = 0;
  // From here on the host may not raise a share under the permit.
  Instant mPermitUntil;
  // The move is over by then, whatever the host has heard.
  Instant mEndsAt;
  std::vector<VersionShare> mSettled;
  // The permit under which the version was stopped here; 0 if it was not.
  std::uint64_t mStoppedNumber = 0;
};

// Takes in a permit that was asked for at `aAskedAt`. An older one than the newest known changes
// nothing; one whose deadline has passed lowers shares only.
void
ApplyPermit(ServiceShares& aShares, const MovePermit& aPermit, Instant aAskedAt, Instant aNow);

// Stops sending to the version that moves until a newer permit than `aNumber` comes. Returns
// whether that changed anything.
bool
StopVersion(ServiceShares& aShares, const VersionId& aVersion, std::uint64_t aNumber);

// Ends a move whose time is over. Returns whether that changed anything.
bool
ExpireMove(ServiceShares& aShares, Instant aNow);

// Returns the shares to draw from; none if none are known.
std::vector<VersionShare>
SharesOf(const ServiceShares& aShares);

} // namespace trefoil
