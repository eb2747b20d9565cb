// Decides which entry hosts of a zone watch the store, and how they relay its changes to the
// others.
//
//   std::vector<HostId> watchers = StoreWatchers(table, aggregation, now);
//   RelayedPrefix relayed = MakeRelayedPrefix(record, query.mServerRevision, now);
//
// Calls to the store are limited and priced over all hosts together. In a zone of several hosts
// two watch the store and the others query these two. In a fleet that uses aggregation one host of
// the whole fleet watches the store, another stands by, and the watchers of the zones query these
// two. A watcher that gets no fresh reply watches the store itself, and any other host that gets
// none calls the store itself. A host that watches the store and whose calls fail queries any other
// host. Plain data and pure functions.
#pragma once

#include "trefoil/base/name_table.h"
#include "trefoil/steering/aggregation.h"
#include "trefoil/steering/peer_table.h"
#include "trefoil/store/prefix_record.h"
#include "trefoil/wire/store_relay_message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
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
  // The number of a query that has not been answered yet; 0 if there is none.
  std::uint64_t mQueryNumber = 0;
};

// What a host does for the relay.
enum class RelayRole
{
  // Watches the store, for itself alone or for others.
  kWatcher,
  // Watches the store for the fleet and also queries the one that stands by, whose changes it
  // applies if the store rejects it.
  kFleetWatcher,
  // Queries the fleet's watchers for its zone, and watches the store while these have no fresh
  // record.
  kZoneWatcher,
  // Queries the watchers of its zone.
  kSubscriber,
};

inline constexpr NameTable<RelayRole, 4> kRelayRoleNames{ {
  { RelayRole::kWatcher, "watcher" },
  { RelayRole::kFleetWatcher, "fleet_watcher" },
  { RelayRole::kZoneWatcher, "zone_watcher" },
  { RelayRole::kSubscriber, "subscriber" },
} };

struct RelayPlan
{
  RelayRole mRole = RelayRole::kWatcher;
  // The hosts to query, by rank.
  std::vector<HostId> mWatchers;

  friend bool operator==(const RelayPlan&, const RelayPlan&) = default;
};

struct StoreRelay
{
  RelayRole mRole = RelayRole::kWatcher;
  // The hosts that this one queries, by rank; empty if it queries none.
  std::vector<HostId> mWatchers;
  // Index in mWatchers of the host to query, modulo the number of watchers. It starts at random
  // and advances when a query got no reply.
  std::size_t mWatcherIndex = 0;
  // The latest query: its number, when it was sent, and whether a fresh reply to it was received.
  std::uint64_t mQueryNumber = 0;
  Instant mQuerySentAt;
  bool mReplyReceived = true;
  // Consecutive queries without a fresh reply, and with one.
  std::size_t mMissedReplies = 0;
  std::size_t mFreshReplies = 0;
  std::map<HostId, RelaySubscriber> mSubscribers;
  // When the link will have carried the changes that were pushed to subscribers.
  Instant mPushedUntil;
};

// Returns the hosts of this zone that watch the store, by rank; this host may be one of them.
// They are the zone's aggregators in a fleet that has these. Returns an empty list if every host
// of the zone watches the store itself.
std::vector<HostId>
StoreWatchers(const PeerTable& aTable, const AggregationState& aAggregation, Instant aNow);

// Returns the hosts of which the first watches the store for the whole fleet while the other stands
// by: of each zone's first watcher the two first by rank. Empty in a fleet without aggregation.
std::vector<HostId>
FleetWatchers(const PeerTable& aTable, const AggregationState& aAggregation, Instant aNow);

// Returns the role of `aSelf` and the hosts that it queries, given the results of StoreWatchers and
// FleetWatchers.
RelayPlan
PlanRelay(const HostId& aSelf,
          const std::vector<HostId>& aZoneWatchers,
          const std::vector<HostId>& aFleetWatchers);

// Takes over a plan; `aFirstIndex` is the watcher to query first. Does nothing if it is the present
// one. Returns whether it is not.
bool
AdoptPlan(StoreRelay& aRelay, RelayPlan aPlan, std::size_t aFirstIndex);

// Returns whether other hosts relay the store to this one, so that it does not watch it.
bool
IsRelayed(const StoreRelay& aRelay);

// Records that the next query is sent at `aNow`. Returns the host to send it to, or
// `std::nullopt` if this host queries none. Moves on to the next watcher if the last query got no
// fresh reply, and a zone's watcher after some fresh ones back to the first.
std::optional<HostId>
NextQueryTarget(StoreRelay& aRelay, Instant aNow);

// Records that a query is sent at `aNow` while the store does not answer this host, which watches
// it itself. Returns the host to send it to, or `std::nullopt` if `aPeers` is empty. Another one is
// asked each time, since the store may reject some of them too.
std::optional<HostId>
NextStandIn(StoreRelay& aRelay, const std::vector<HostId>& aPeers, Instant aNow);

// Records a reply; `aAge` is the age of the older of the records that it states. A reply that is
// too old, since its sender has lost the store, counts as missed. Returns when its query was sent,
// or `std::nullopt` if the reply confirms no time: it is not for the latest query, or this host
// watches for the fleet. The hosts that follow such a one would otherwise take what it has from
// them for the news of a sound watcher, and stop to watch the store themselves.
std::optional<Instant>
OnRelayReply(StoreRelay& aRelay, std::uint64_t aQueryNumber, Milliseconds aAge);

// Returns whether a subscriber lacks changes of one of the records.
bool
LacksChanges(const RelaySubscriber& aSubscriber,
             const PrefixRecord& aOperators,
             const PrefixRecord& aServers);

// Records that a message of `aBytes` with changes is pushed to a subscriber at `aNow`.
void
RecordPush(StoreRelay& aRelay, std::size_t aBytes, Instant aNow);

// Returns the earliest time of the next push. A link that is full drops datagrams, so the pushes of
// a large document are spread over time, while those of small changes need not wait.
Instant
NextPushAt(const StoreRelay& aRelay);

// Removes the subscribers that have sent no query within the subscription timeout.
void
ExpireSubscribers(StoreRelay& aRelay, Instant aNow);

// Returns those of the changes that other hosts need: all but refreshes, which `aIsRefresh` tells
// from changes, and a refresh of each key now and then. `aRelayedAt` is when a change of each key
// was last relayed. Must be called before the changes are applied.
std::vector<StoreItem>
ChangesToRelay(std::map<std::string, Instant>& aRelayedAt,
               const std::vector<StoreItem>& aItems,
               const std::function<bool(const StoreItem&)>& aIsRefresh,
               Instant aNow);

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
