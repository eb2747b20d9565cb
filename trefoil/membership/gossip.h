// How entry hosts learn of each other: gossip within an availability zone, digests between zones.
//
//   GossipState state = MakeGossipState({ .mHost = host, .mZone = zone, ... }, aNow);
//   Datagrams out = OnGossipTimer(state, aNow);             // when NextGossipTimer is due
//   Datagrams answers = OnGossip(state, gossip, aNow);      // for each message that arrives
//   if (IsViewFresh(state, aNow)) { ... }                   // before an effect on others
//
// Each host sends its view of its zone to a few random members at a fixed interval, and its view of
// all zones to one host at a time: its cost does not grow with the number of hosts it must reach.
// Gossip-style failure detection: van Renesse, Minsky and Hayden, 1998; suspicion before death and
// refutation by incarnation: Das, Gupta and Motivala, "SWIM", 2002.
//
// Plain data and pure functions.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/membership/members.h"
#include "trefoil/wire/message.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace trefoil {

// How often a host sends its view of its zone, and to how many members.
inline constexpr Milliseconds kBeatsEvery{ 500 };
inline constexpr std::size_t kBeatsFanOut = 3;
// How often a host sends its view of all zones.
inline constexpr Milliseconds kZonesEvery{ 1'000 };
// How many hosts of a zone a digest names.
inline constexpr std::size_t kContactsOfZone = 3;
// A process whose timer is later than this was frozen.
inline constexpr Milliseconds kFrozenAfter{ 2'000 };
// How long after its timer a running process may act on its view.
inline constexpr Milliseconds kFreshFor{ 2'000 };
// How long a thawed process waits for another host's answer before it counts itself as alone.
inline constexpr Milliseconds kEchoWait{ 1'500 };
// How long a zone's digest counts as current.
inline constexpr Milliseconds kZoneCurrentFor{ 15'000 };
// How long a zone that is not heard of is remembered.
inline constexpr Milliseconds kForgetZoneAfter{ 7'200'000 };

struct GossipOptions
{
  HostId mHost;
  AvailabilityZoneId mZone;
  Endpoint mPeerEndpoint;
  Endpoint mListen;
  // Hosts to greet first and again now and then.
  std::vector<Endpoint> mSeeds;
  std::uint64_t mIncarnation = 0;
  // Decides which hosts are sent to.
  std::uint64_t mRandomSeed = 0;
};

struct ZoneView
{
  ZoneDigest mDigest;
  // When the digest is no longer current unless a newer one comes.
  Instant mStaleAt;
  Instant mForgetAt;
};

struct GossipState
{
  GossipOptions mOptions;
  Heartbeat mSelf;
  // The other hosts of the zone, and some hosts of each other zone.
  Members mMembers;
  // The other zones.
  std::map<AvailabilityZoneId, ZoneView> mZones;
  // The highest version of a digest of this zone.
  std::uint64_t mOwnZoneVersion = 0;
  std::uint64_t mRandom = 0;
  std::uint64_t mRounds = 0;
  Instant mNextBeatsAt;
  Instant mNextZonesAt;
  // When the timer is so late that the process must have been frozen.
  Instant mFrozenAt;
  // Until when effects may rest on the view.
  Instant mFreshUntil;
  // After a freeze: the sequence that another host must have heard of, and when to wait no longer;
  // 0 while nothing is awaited.
  std::uint64_t mAwaitedEcho = 0;
  Instant mEchoWaitEndsAt;
};

GossipState
MakeGossipState(GossipOptions aOptions, Instant aNow);

// Moves silent members to their next states and returns the messages that are due.
Datagrams
OnGossipTimer(GossipState& aState, Instant aNow);

Instant
NextGossipTimer(const GossipState& aState);

// Takes in a message and returns the answers to it.
Datagrams
OnGossip(GossipState& aState, const Heartbeat& aMessage, Instant aNow);
Datagrams
OnGossip(GossipState& aState, const Gossip& aMessage, Instant aNow);
Datagrams
OnGossip(GossipState& aState, const ZoneGossip& aMessage, Instant aNow);
Datagrams
OnGossip(GossipState& aState, const HeartbeatsWanted& aMessage, Instant aNow);
Datagrams
OnGossip(GossipState& aState, const Heartbeats& aMessage, Instant aNow);

// Says that this host will stop. Returns the messages that tell its zone at once.
Datagrams
AnnounceLeaving(GossipState& aState, Instant aNow);

// Says which documents this host has, with the next messages. A change is sent soon.
void
AnnounceConfig(GossipState& aState, std::uint64_t aRevision, std::uint32_t aDigest, Instant aNow);

// Returns whether effects may rest on the view: the process ran just now and, after a freeze, has
// heard from another host since, or has waited for one in vain.
bool
IsViewFresh(const GossipState& aState, Instant aNow);

// Returns the `aCount` hosts of this zone, this one among them, that own `aKey`: the alive ones of
// the highest rendezvous score, the first owner first.
std::vector<HostId>
OwnersInZone(const GossipState& aState, std::string_view aKey, std::size_t aCount);

// Returns the rank of this host among the owners of `aKey`, `aCount` if it is none.
std::size_t
RankInZone(const GossipState& aState, std::string_view aKey, std::size_t aCount);

// Returns up to `aInZone` random live hosts of this zone and up to `aElsewhere` of other zones.
std::vector<Endpoint>
SpreadTargets(GossipState& aState, std::size_t aInZone, std::size_t aElsewhere);

// Returns the digest of this zone as this host sees it, without a version.
ZoneDigest
DigestOfOwnZone(const GossipState& aState);

} // namespace trefoil
