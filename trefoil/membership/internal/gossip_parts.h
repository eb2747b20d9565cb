// The parts that gossip is made of.
#pragma once

#include "trefoil/membership/gossip.h"

#include <functional>

namespace trefoil {

// Returns the next number of the state's random sequence.
std::uint64_t
NextRandom(GossipState& aState);

// Returns up to `aCount` random items of `aFrom`.
std::vector<Endpoint>
TakeRandom(GossipState& aState, std::vector<Endpoint> aFrom, std::size_t aCount);

bool
IsOfOwnZone(const GossipState& aState, const Member& aMember);

// Returns the peer endpoints of the members that `aWanted` accepts.
std::vector<Endpoint>
EndpointsWhere(const GossipState& aState, const std::function<bool(const Member&)>& aWanted);

// Returns this host's view of its zone. Hosts that have been dead for a while are left out.
Gossip
MakeGossip(const GossipState& aState, Instant aNow);

// Returns this host's view of all zones, with a new digest of its own.
ZoneGossip
MakeZoneGossip(GossipState& aState);

// Takes in the heartbeat of another host of any zone.
void
LearnHost(GossipState& aState, const Heartbeat& aHeartbeat, Instant aNow);

// Takes in a digest of any zone.
void
LearnZone(GossipState& aState, const ZoneDigest& aDigest, Instant aNow);

} // namespace trefoil
