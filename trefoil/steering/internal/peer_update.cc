#include "trefoil/steering/internal/peer_update.h"

#include <utility>

namespace trefoil {

void
PublishPeerUpdate(SteeringState& aState)
{
  PeerUpdate update = std::exchange(aState.mPeerUpdate, {});
  update.mBroken = StatusOfFleet(aState.mPeers, aState.mAggregation, SuspendAwareNow()).mBroken;
  aState.mTraffic.PublishPeerUpdate(std::move(update));
}

} // namespace trefoil
