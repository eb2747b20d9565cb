#include "trefoil/rollout/service_shares.h"

#include <algorithm>

namespace trefoil {
namespace {

// Takes the permit's shares in as they are.
void
Adopt(ServiceShares& aShares, const MovePermit& aPermit, Instant aAskedAt)
{
  aShares.mPhase = aPermit.mPhase;
  aShares.mVersion = aPermit.mVersion;
  const bool moves =
    aPermit.mPhase == MovePhase::kMoving && aPermit.mNumber > aShares.mStoppedNumber;
  aShares.mPermille = moves ? aPermit.mPermille : 0;
  aShares.mSettled = aPermit.mSettled;
  aShares.mEndsAt = aAskedAt + Milliseconds{ aPermit.mEndsInMilliseconds };
}

// Takes only what lowers the share of the version that moves.
void
Lower(ServiceShares& aShares, const MovePermit& aPermit)
{
  if (aPermit.mVersion != aShares.mVersion || aPermit.mPhase == MovePhase::kDone) {
    return;
  }
  const int allowed = aPermit.mPhase == MovePhase::kMoving ? aPermit.mPermille : 0;
  aShares.mPermille = std::min(aShares.mPermille, allowed);
}

} // namespace

void
ApplyPermit(ServiceShares& aShares, const MovePermit& aPermit, Instant aAskedAt, Instant aNow)
{
  if (aPermit.mNumber < aShares.mNumber) {
    return;
  }
  const Instant until = aAskedAt + kPermitTime;
  if (HasPassed(until, aNow)) {
    Lower(aShares, aPermit);
    return;
  }
  if (aPermit.mNumber > aShares.mNumber) {
    Adopt(aShares, aPermit, aAskedAt);
    aShares.mNumber = aPermit.mNumber;
  }
  aShares.mPermitUntil = std::max(aShares.mPermitUntil, until);
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
SharesOf(const ServiceShares& aShares)
{
  return SharesOf(aShares.mSettled, aShares.mVersion, aShares.mPermille);
}

} // namespace trefoil
