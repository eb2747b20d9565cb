#include "trefoil/rollout/service_shares.h"

#include <algorithm>

namespace trefoil {
namespace {

// Replaces the shares by those of the permit.
void
ReplaceShares(ServiceShares& aShares, const MovePermit& aPermit, Instant aRequestedAt)
{
  aShares.mPhase = aPermit.mPhase;
  aShares.mVersion = aPermit.mVersion;
  const bool isMoving =
    aPermit.mPhase == MovePhase::kMoving && aPermit.mNumber > aShares.mStoppedNumber;
  aShares.mPermille = isMoving ? aPermit.mPermille : 0;
  aShares.mSettled = aPermit.mSettled;
  aShares.mEndsAt = aRequestedAt + Milliseconds{ aPermit.mEndsInMilliseconds };
}

// Applies the permit only where it lowers the share of the moving version.
void
LowerShare(ServiceShares& aShares, const MovePermit& aPermit)
{
  if (aPermit.mVersion != aShares.mVersion || aPermit.mPhase == MovePhase::kDone) {
    return;
  }
  const int allowed = aPermit.mPhase == MovePhase::kMoving ? aPermit.mPermille : 0;
  aShares.mPermille = std::min(aShares.mPermille, allowed);
}

} // namespace

void
ApplyPermit(ServiceShares& aShares, const MovePermit& aPermit, Instant aRequestedAt, Instant aNow)
{
  if (aPermit.mNumber < aShares.mNumber) {
    return;
  }
  const Instant expiresAt = aRequestedAt + kPermitDuration;
  if (HasPassed(expiresAt, aNow)) {
    LowerShare(aShares, aPermit);
    return;
  }
  if (aPermit.mNumber > aShares.mNumber) {
    ReplaceShares(aShares, aPermit, aRequestedAt);
    aShares.mNumber = aPermit.mNumber;
  }
  aShares.mPermitExpiresAt = std::max(aShares.mPermitExpiresAt, expiresAt);
}

bool
StopVersion(ServiceShares& aShares, const VersionId& aVersion, std::uint64_t aNumber)
{
  if (aNumber < aShares.mNumber || aNumber <= aShares.mStoppedNumber) {
    return false;
  }
  aShares.mStoppedNumber = aNumber;
  if (aVersion == aShares.mVersion) {
    aShares.mPermille = 0;
  }
  return true;
}

bool
ExpireMove(ServiceShares& aShares, Instant aNow)
{
  if (aShares.mPhase != MovePhase::kMoving || aShares.mPermille == 0 ||
      !HasPassed(aShares.mEndsAt, aNow)) {
    return false;
  }
  aShares.mPermille = 0;
  return true;
}

std::vector<VersionShare>
TrafficShares(const ServiceShares& aShares)
{
  return TrafficShares(aShares.mSettled, aShares.mVersion, aShares.mPermille);
}

} // namespace trefoil
