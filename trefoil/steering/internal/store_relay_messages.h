// Queries the hosts of the zone that watch the store, and replies to the hosts that query this
// one.
#pragma once

#include "trefoil/steering/steering_state.h"

namespace trefoil {

// Decides which hosts of the zone watch the store, and sends the next query if this host is not
// one of them. Must be called regularly.
void
UpdateStoreRelay(SteeringState& aState);

// Replies to a query and records its sender as a subscriber. A reply with changes may be sent
// later, as those of PushStoreChanges().
void
OnStoreQuery(SteeringState& aState, const StoreQuery& aQuery);

// Applies the relayed records of a reply, or of a message that another host sent unasked.
void
OnStoreReply(SteeringState& aState, const StoreReply& aReply);

// Sends the changes to the subscribers without waiting for their queries. What would fill the link
// is sent later, with the changes known by then.
void
PushStoreChanges(SteeringState& aState);

} // namespace trefoil
