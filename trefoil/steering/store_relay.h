// Decides which entry hosts of a zone watch the store, and how they relay its changes to the
// others.
//
//   std::vector<HostId> watchers = StoreWatchers(table, aggregation, now);
//   RelayedPrefix relayed = MakeRelayedPrefix(record, query.mServerRevision, now);
//
// Calls to the store are limited and priced over all hosts together. In a zone of several hosts
// two watch the store and the others query these two. A host that receives no replies calls the
// store itself; one whose own calls fail queries any other host. Plain data and pure functions.
#pragma once

#include "trefoil/steering/aggregation.h"
#include "trefoil/steering/peer_table.h"
#include "trefoil/store/prefix_record.h"
#include "trefoil/wire/store_relay_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace trefoil {

// A host that queries this one for the changes of the store.
struct RelaySubscriber
{
  Endpoint mEndpoint;
  // The host has the changes up to these revisions.
  std::int64_t mOperatorRevision = 0;
  std::int64_t mServerRevision = 0;
  Instant mLastReceivedAt;
};

struct StoreRelay
{
  // The hosts that watch the store for this one, by rank; empty if this host watches it itself.
  std::vector<HostId> mWatchers;
  // Index in mWatchers of the host to query, modulo the number of watchers. It starts at random
  // and advances when a query got no reply.
  std::size_t mWatcherIndex = 0;
  // The latest query: its number, when it was sent, and whether a reply to it was received.
  std::uint64_t mQueryNumber = 0;
  Instant mQuerySentAt;
  bool mReplyReceived = true;
  std::map<HostId, RelaySubscriber> mSubscribers;
};

// Returns the hosts of this zone that watch the store, by rank; this host may be one of them.
// They are the zone's aggregators in a fleet that has these. Returns an empty list if every host
// of the zone watches the store itself.
std::vector<HostId>
StoreWatchers(const PeerTable& aTable, const AggregationState& aAggregation, Instant aNow);

// Records that the next query is sent at `aNow`. Returns the host to send it to, or
// `std::nullopt` if this host watches the store itself. Moves on to the next watcher if the
// last query got no reply.
std::optional<HostId>
NextQueryTarget(StoreRelay& aRelay, Instant aNow);

// Records that a query is sent at `aNow` while the store does not answer this host, which watches
// it itself. Returns the host to send it to, or `std::nullopt` if `aPeers` is empty. Another one is
// asked each time, since the store may reject some of them too.
std::optional<HostId>
NextStandIn(StoreRelay& aRelay, const std::vector<HostId>& aPeers, Instant aNow);

// Records a reply. Returns when its query was sent, or `std::nullopt` if the reply is not for
// the latest query.
std::optional<Instant>
OnRelayReply(StoreRelay& aRelay, std::uint64_t aQueryNumber);

// Removes the subscribers that have sent no query within the subscription timeout.
void
ExpireSubscribers(StoreRelay& aRelay, Instant aNow);

// Returns the message for a host that has the changes up to `aSinceRevision`. The changes are
// left out if they are no longer kept or are too large for a datagram; the receiver then calls
// the store.
RelayedPrefix
MakeRelayedPrefix(const PrefixRecord& aRecord, std::int64_t aSinceRevision, Instant aNow);

// Converts a received message. `aQuerySentAt` is when the query that it answers was sent, or
// `std::nullopt` for a message that answers none; the result then confirms no time.
PrefixUpdate
MakePrefixUpdate(const RelayedPrefix& aRelayed, std::optional<Instant> aQuerySentAt);

} // namespace trefoil
