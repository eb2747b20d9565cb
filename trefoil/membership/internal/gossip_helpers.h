// Helpers of gossip.cc: choice of targets, construction of messages and updates of the state.
#pragma once

#include "trefoil/membership/gossip.h"

#include <functional>

namespace trefoil {

// Returns the next number of the state's pseudo-random sequence.
std::uint64_t
NextRandom(GossipState& aState);

// Returns up to `aCount` items of `aPopulation`, chosen at random without replacement.
std::vector<Endpoint>
RandomSample(GossipState& aState, std::vector<Endpoint> aPopulation, std::size_t aCount);

bool
IsOfOwnZone(const GossipState& aState, const Member& aMember);

// Returns the peer endpoints of the members that `aPredicate` accepts.
std::vector<Endpoint>
EndpointsWhere(const GossipState& aState, const std::function<bool(const Member&)>& aPredicate);

// Returns the message with this host's view of its zone. Members that died over 30 s ago are
// omitted.
Gossip
MakeGossip(const GossipState& aState, Instant aNow);

// Returns the message with this host's view of all zones. It holds a new digest of the own zone.
ZoneGossip
MakeZoneGossip(GossipState& aState);

// Applies the heartbeat of another host of any zone. Ignores it if it is about this host or if a
// new host would exceed the bounds on hosts.
void
ApplyHostHeartbeat(GossipState& aState, const Heartbeat& aHeartbeat, Instant aNow);

// Returns whether a digest of another zone is no newer than the one that this host has and names
// fewer hosts, or others although a digest names all hosts of so small a zone. Its sender may then
// have no contact with the rest of its zone.
bool
LacksKnownHosts(const GossipState& aState, const ZoneDigest& aDigest);

// Applies a digest of any zone. A digest of the own zone adds its contacts only; one of another
// zone replaces the stored digest and contacts if its version is higher.
void
ApplyZoneDigest(GossipState& aState, const ZoneDigest& aDigest, Instant aNow);

} // namespace trefoil
