// How documents reach this host, and whether they have reached every other one.
//
//   ConfigState config = MakeConfigState(aNow);
//   bool watch = WatchesStore(gossip);                          // two hosts of a zone do
//   OnListing(config, documents, aNow);                         // from the store
//   std::optional<ConfigFetch> fetch = NextFetch(config, gossip, aNow);
//   OnFetched(config, host, offered, aNow);                     // from another host
//
// Two hosts of a zone watch the store. Heartbeats and digests carry each host's newest revision; a
// host that sees a higher one, or another digest, fetches what it lacks from that host. A zone that
// is cut off from the store is served in the same way by hosts of other zones.
//
// Plain data and pure functions.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"
#include "trefoil/config/documents_in_force.h"
#include "trefoil/membership/gossip.h"

#include <map>
#include <optional>
#include <vector>

namespace trefoil {

// How many hosts of a zone watch the store.
inline constexpr std::size_t kWatchersOfZone = 2;
// How long a fetch may take.
inline constexpr Milliseconds kFetchLimit{ 3'000 };
// The pause before a host that did not answer is asked again.
inline constexpr Milliseconds kFetchPause{ 1'000 };
// The pause before a host that had nothing new is asked again.
inline constexpr Milliseconds kNothingNewPause{ 5'000 };
// How long a new host waits for other hosts before it is ready without them.
inline constexpr Milliseconds kOtherHostsWait{ 1'500 };

// When a revision came to this host and to all.
struct SpreadOfRevision
{
  std::uint64_t mRevision = 0;
  Instant mSeenAt;
  std::optional<Instant> mEverywhereAt;
};

struct FetchUnderway
{
  HostId mHost;
  Instant mGiveUpAt;
};

struct ConfigState
{
  DocumentsInForce mDocuments;
  // Whether the store has answered since the start, and whether it was asked at all.
  bool mStoreAnswered = false;
  bool mStoreAsked = false;
  // Whether a host that is ready has answered.
  bool mHostAnswered = false;
  Instant mHostsAwaitedUntil;
  std::optional<FetchUnderway> mFetch;
  // When a host may be asked again.
  std::map<HostId, Instant> mAskAgainAt;
  std::map<ServiceId, SpreadOfRevision> mSpread;
};

// Ask a host for documents.
struct ConfigFetch
{
  HostId mHost;
  Endpoint mPeer;
  DocumentsWanted mWanted;
  Instant mDeadline;
};

ConfigState
MakeConfigState(Instant aNow);

// Returns whether this host is one of its zone's watchers.
bool
WatchesStore(const GossipState& aGossip);

// Takes in documents that the store sent.
void
OnListing(ConfigState& aConfig, const std::vector<DocumentRevision>& aDocuments, Instant aNow);

void
OnStoreFailed(ConfigState& aConfig);

// Returns the request that is due, nothing while one is underway or no host has more.
std::optional<ConfigFetch>
NextFetch(ConfigState& aConfig, const GossipState& aGossip, Instant aNow);

// Takes in the answer of a host.
void
OnFetched(ConfigState& aConfig,
          const HostId& aHost,
          const DocumentsOffered& aOffered,
          Instant aNow);

void
OnFetchFailed(ConfigState& aConfig, const HostId& aHost, Instant aNow);

// Returns whether the store and the other hosts were asked since the start, and one has answered.
bool
IsConfigReady(const ConfigState& aConfig, Instant aNow);

// Returns the lowest revision that every live host of every zone has seen; nothing while a zone has
// not been heard of in time.
std::optional<std::uint64_t>
RevisionEverywhere(const GossipState& aGossip, Instant aNow);

// Notes which revisions have reached every host.
void
NoteSpread(ConfigState& aConfig, const GossipState& aGossip, Instant aNow);

} // namespace trefoil
