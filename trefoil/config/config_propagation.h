// Distributes service documents to all hosts and tracks when each revision has reached all of them.
//
//   ConfigState config = MakeConfigState(aNow);
//   bool watch = WatchesStore(gossip);
//   OnStoreListed(config, documents, aNow);                         // from the store
//   std::optional<ConfigFetch> fetch = StartNextFetch(config, gossip, aNow);
//   OnFetched(config, host, offered, aNow);                     // from another host
//
// Two hosts of each availability zone watch the store. Heartbeats contain the newest revision and a
// digest of all revisions of a host; zone digests contain the heartbeats of some hosts of a zone. A
// host that receives a higher revision of another host, or a different digest of one in its own
// zone, fetches the documents that it lacks from that host. Hosts in a zone without a connection to
// the store fetch documents from hosts of other zones.
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

// Number of hosts of each availability zone that watch the store.
inline constexpr std::size_t kWatchersPerZone = 2;
// Timeout of a fetch from another host.
inline constexpr Milliseconds kFetchTimeout{ 3'000 };
// Delay before another fetch from a host that did not answer or is not ready itself.
inline constexpr Milliseconds kFetchRetryDelay{ 1'000 };
// Delay before another fetch from a host that had no newer documents.
inline constexpr Milliseconds kUnchangedFetchDelay{ 5'000 };
// Maximum time that a new host waits for an answer of another host before it is ready without one.
inline constexpr Milliseconds kMaxWaitForHosts{ 1'500 };

// When a revision came into force on this host and when it had reached all hosts.
struct RevisionPropagation
{
  std::uint64_t mRevision = 0;
  Instant mInForceAt;
  std::optional<Instant> mReachedAllHostsAt;
};

// A fetch that has not completed.
struct PendingFetch
{
  HostId mHost;
  Instant mTimesOutAt;
};

// The documents of this host and the progress of their distribution.
struct ConfigState
{
  DocumentsInForce mDocuments;
  // Whether a read of the store has succeeded since the start, and whether one has succeeded or
  // failed.
  bool mStoreAnswered = false;
  bool mStoreQueried = false;
  // Whether another host that is ready has answered a fetch since the start.
  bool mHostAnswered = false;
  Instant mHostWaitEndsAt;
  std::optional<PendingFetch> mPendingFetch;
  // Earliest time of the next fetch from each host. A host without an entry may be queried now.
  std::map<HostId, Instant> mNextFetchAt;
  std::map<ServiceId, RevisionPropagation> mPropagation;
};

// A request for documents to send to another host.
struct ConfigFetch
{
  HostId mHost;
  Endpoint mPeer;
  DocumentsRequest mRequest;
  Instant mDeadline;
};

// Returns the state of a host that starts at `aNow`.
ConfigState
MakeConfigState(Instant aNow);

// Returns whether this host is one of the hosts of its zone that watch the store.
bool
WatchesStore(const GossipState& aGossip);

// Applies the documents that a read of the store returned.
void
OnStoreListed(ConfigState& aConfig, const std::vector<DocumentRevision>& aDocuments, Instant aNow);

// Records that a read of the store failed.
void
OnStoreFailed(ConfigState& aConfig);

// Starts the next fetch and returns its request. Returns std::nullopt while a fetch is pending or
// if no host that may be queried has newer documents.
std::optional<ConfigFetch>
StartNextFetch(ConfigState& aConfig, const GossipState& aGossip, Instant aNow);

// Applies the documents that `aHost` returned and completes the pending fetch.
void
OnFetched(ConfigState& aConfig, const HostId& aHost, const DocumentsReply& aOffered, Instant aNow);

// Records that the pending fetch from `aHost` failed.
void
OnFetchFailed(ConfigState& aConfig, const HostId& aHost, Instant aNow);

// Returns whether the store and the other hosts have been queried since the start and at least one
// of them has answered. Other hosts count as queried after kMaxWaitForHosts, even without an
// answer.
bool
IsConfigReady(const ConfigState& aConfig, Instant aNow);

// Returns the minimum, over all live hosts of all zones, of the newest revision of the host.
// Returns std::nullopt if the last report of any zone is stale.
std::optional<std::uint64_t>
LowestRevisionOfAllHosts(const GossipState& aGossip, Instant aNow);

// Records which revisions have reached all live hosts.
void
RecordPropagation(ConfigState& aConfig, const GossipState& aGossip, Instant aNow);

} // namespace trefoil
