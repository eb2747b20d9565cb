// The traffic shares of the versions of one service that one entry host may use.
//
//   ServiceShares shares;
//   ApplyPermit(shares, permit, requestedAt, aNow);
//   StopVersion(shares, version, shares.mNumber);
//   std::vector<VersionShare> weights = TrafficShares(shares);
//
// A host raises the share of a version only under a permit that has not expired. Without one,
// it keeps or lowers the share. Plain data and pure functions.
#pragma once

#include "trefoil/rollout/move_record.h"

#include <cstdint>
#include <vector>

namespace trefoil {

// How long a permit is valid, from when the host requested it.
inline constexpr Milliseconds kPermitDuration{ 6'000 };

// The duty holder's reply to a host's health report.
struct MovePermit
{
  ServiceId mService;
  // The revision of the move record in the store, which increases with each write; 0 if the
  // holder does not have the current record.
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
  // The number of the newest applied permit; 0 if there is none.
  std::uint64_t mNumber = 0;
  MovePhase mPhase = MovePhase::kSteady;
  VersionId mVersion;
  int mPermille = 0;
  // When the newest permit expires. The host raises no share from then on.
  Instant mPermitExpiresAt;
  // The host stops the move at this time even if it receives no further permit.
  Instant mEndsAt;
  std::vector<VersionShare> mSettled;
  // The permit number under which the version was stopped on this host; 0 if it was not
  // stopped.
  std::uint64_t mStoppedNumber = 0;
};

// Applies a permit that was requested at `aRequestedAt`. A permit with a lower number than the
// current one is ignored; one that has expired at `aNow` can only lower the share.
void
ApplyPermit(ServiceShares& aShares, const MovePermit& aPermit, Instant aRequestedAt, Instant aNow);

// Stops traffic to the moving version until a permit with a number above `aNumber` is applied.
// Returns whether anything changed.
bool
StopVersion(ServiceShares& aShares, const VersionId& aVersion, std::uint64_t aNumber);

// Sets the share of the moving version to 0 if the move has passed its end time. Returns
// whether anything changed.
bool
ExpireMove(ServiceShares& aShares, Instant aNow);

// Returns the share of each version; empty if no permit has been applied.
std::vector<VersionShare>
TrafficShares(const ServiceShares& aShares);

} // namespace trefoil
