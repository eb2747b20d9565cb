// Membership protocol of the entry hosts: gossip within an availability zone, digests between
// zones.
//
//   GossipState state = MakeGossipState({ .mHost = host, .mZone = zone, ... }, aNow);
//   Datagrams datagrams = OnGossipTimer(state, aNow);       // when NextGossipTimer has passed
//   Datagrams answers = OnGossip(state, gossip, aNow);      // for each message that arrives
//   if (IsViewFresh(state, aNow)) { ... }                   // before an external effect
//
// At fixed intervals, each host sends its view of its own zone to a few random members, and its
// view of all zones to one host. The number of messages that a host sends therefore does not grow
// with the number of hosts.
//
// The failure detection follows van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection
// Service", 1998. Suspicion before death and refutation by incarnation follow Das, Gupta and
// Motivala, "SWIM", 2002.
//
// Plain data and pure functions; the caller serializes access.
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

// How often a host sends its view of its own zone, and to how many random members.
inline constexpr Milliseconds kGossipInterval{ 500 };
inline constexpr std::size_t kGossipFanOut = 3;
// How often a host sends its view of all zones to one host.
inline constexpr Milliseconds kZoneGossipInterval{ 1'000 };
// How many hosts of a zone its digest contains.
inline constexpr std::size_t kContactsPerZone = 3;
// If the timer runs this long after its previous run, the process was frozen in between.
inline constexpr Milliseconds kFreezeThreshold{ 2'000 };
// How long after a run of the timer the process may act on its view.
inline constexpr Milliseconds kViewMaxAge{ 2'000 };
// How long a process waits after a freeze for another host to confirm its new sequence. After that
// it assumes that no other host is reachable.
inline constexpr Milliseconds kEchoTimeout{ 1'500 };
// The age up to which a zone's digest counts as up to date.
inline constexpr Milliseconds kZoneDigestMaxAge{ 15'000 };
// How long a zone is kept after its last digest was received.
inline constexpr Milliseconds kZoneRetention{ 7'200'000 };

struct GossipOptions
{
  HostId mHost;
  AvailabilityZoneId mZone;
  Endpoint mPeerEndpoint;
  Endpoint mListen;
  // Hosts to contact while the member table is empty. Afterwards some gossip rounds also go to one
  // of them at random.
  std::vector<Endpoint> mSeeds;
  // Must increase with each start of the process.
  std::uint64_t mIncarnation = 0;
  // Seed for the choice of the hosts that messages are sent to.
  std::uint64_t mRandomSeed = 0;
};

// The newest digest of another zone.
struct ZoneView
{
  ZoneDigest mDigest;
  // When the digest becomes stale unless a newer one arrives.
  Instant mStaleAt;
  // When the zone is removed unless a newer digest arrives.
  Instant mRemoveAt;
};

struct GossipState
{
  GossipOptions mOptions;
  Heartbeat mSelf;
  // The other hosts of the own zone, and some hosts of each other zone.
  Members mMembers;
  // The views of the other zones.
  std::map<AvailabilityZoneId, ZoneView> mZones;
  // The highest version of the own zone's digests that this host has sent or received.
  std::uint64_t mOwnZoneVersion = 0;
  std::uint64_t mRandomState = 0;
  std::uint64_t mGossipRounds = 0;
  Instant mNextGossipAt;
  Instant mNextZoneGossipAt;
  // If the timer runs at this time or later, the process was frozen.
  Instant mFreezeDeadline;
  // Until when external effects may be based on the view.
  Instant mFreshUntil;
  // After a freeze: another host must report this sequence of this host, or a higher one, before
  // the view is fresh again, or mEchoDeadline must pass. 0 while no such report is awaited.
  std::uint64_t mAwaitedEchoSequence = 0;
  Instant mEchoDeadline;
};

// Returns the initial state. OnGossipTimer must be called at `aNow`.
GossipState
MakeGossipState(GossipOptions aOptions, Instant aNow);

// Moves silent members to their next states, removes expired zones and returns the messages to
// send. Also detects whether the process was frozen. Must be called when the time of
// NextGossipTimer has passed.
Datagrams
OnGossipTimer(GossipState& aState, Instant aNow);

// Returns when OnGossipTimer must be called next.
Instant
NextGossipTimer(const GossipState& aState);

// Applies a message from another host and returns the answers to send.
Datagrams
OnGossip(GossipState& aState, const Heartbeat& aMessage, Instant aNow);
Datagrams
OnGossip(GossipState& aState, const Gossip& aMessage, Instant aNow);
Datagrams
OnGossip(GossipState& aState, const ZoneGossip& aMessage, Instant aNow);
Datagrams
OnGossip(GossipState& aState, const HeartbeatsRequest& aMessage, Instant aNow);
Datagrams
OnGossip(GossipState& aState, const HeartbeatsReply& aMessage, Instant aNow);

// Marks this host as leaving. Returns the messages that announce it to the seeds and to all members
// that are not dead.
Datagrams
AnnounceLeaving(GossipState& aState, Instant aNow);

// Sets the document revision and the digest of the configuration in the heartbeats of this host. If
// either changed, the next gossip round runs within 50 ms.
void
AnnounceConfig(GossipState& aState, std::uint64_t aRevision, std::uint32_t aDigest, Instant aNow);

// Returns whether external effects may be based on the view. That requires that the timer ran
// within the last kViewMaxAge. After a freeze, another host must also have reported a sequence that
// this host sent since, or kEchoTimeout must have passed without such a report.
bool
IsViewFresh(const GossipState& aState, Instant aNow);

// Returns the owners of `aKey`: up to `aCount` hosts of this zone, by descending rendezvous score.
// The candidates are the alive members and this host, unless it is leaving.
std::vector<HostId>
OwnersInZone(const GossipState& aState, std::string_view aKey, std::size_t aCount);

// Returns the rank of this host among the `aCount` owners of `aKey`, from 0, or `aCount` if this
// host is not an owner.
std::size_t
RankInZone(const GossipState& aState, std::string_view aKey, std::size_t aCount);

// Returns the peer endpoints of up to `aInOwnZone` random members of this zone and up to
// `aInOtherZones` random members of other zones. Dead members are left out.
std::vector<Endpoint>
RandomGossipTargets(GossipState& aState, std::size_t aInOwnZone, std::size_t aInOtherZones);

// Returns the digest of this zone from this host's view, without a version and without contacts.
// Suspects are counted as live hosts.
ZoneDigest
OwnZoneDigest(const GossipState& aState);

} // namespace trefoil
