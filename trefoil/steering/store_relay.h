// Which entry hosts of a zone ask the store, and what they tell the others of it.
//
//   std::vector<HostId> watchers = StoreWatchers(book, zone, now);
//   RelayedPrefix told = ToRelayed(record, query.mServerRevision, now);
//
// Calls to the store are limited and priced over all hosts. In a zone of several hosts, two follow
// the store and the others ask these; a host that hears nothing asks the store itself. Plain data
// and pure functions.
#pragma once

#include "trefoil/steering/peer_book.h"
#include "trefoil/store/prefix_record.h"
#include "trefoil/wire/store_relay_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace trefoil {

// A host that asks this one for what the store says.
struct RelaySubscriber
{
  Endpoint mEndpoint;
  // It knows the changes up to these revisions.
  std::int64_t mOperatorRevision = 0;
  std::int64_t mServerRevision = 0;
  Instant mHeardAt;
};

struct StoreRelay
{
  // The hosts that follow the store for this one, by rank; empty if it follows the store itself.
  std::vector<HostId> mWatchers;
  // The place in mWatchers of the one that is asked.
  std::size_t mAsked = 0;
  std::uint64_t mNumber = 0;
  Instant mAskedAt;
  bool mAnswered = true;
  std::map<HostId, RelaySubscriber> mSubscribers;
};

// Returns the hosts of a zone that follow the store, by rank, this one perhaps among them; nothing
// if each follows it for itself.
std::vector<HostId>
StoreWatchers(const PeerBook& aBook, const AvailabilityZoneId& aZone, Instant aNow);

// Notes the next question. Returns which host it goes to; nothing if none is to be asked.
std::optional<HostId>
NextQuestion(StoreRelay& aRelay, Instant aNow);

// Notes a reply. Returns when the question that it answers was sent; nothing if it answers none.
std::optional<Instant>
OnRelayReply(StoreRelay& aRelay, std::uint64_t aNumber);

// Forgets the hosts that have not asked for a while.
void
DropSilentSubscribers(StoreRelay& aRelay, Instant aNow);

// Returns what to tell a host that knows the changes up to a revision.
RelayedPrefix
ToRelayed(const PrefixRecord& aRecord, std::int64_t aSince, Instant aNow);

// `aAskedAt` is when the question was sent, nothing if there was none.
PrefixUpdate
FromRelayed(const RelayedPrefix& aRelayed, std::optional<Instant> aAskedAt);

} // namespace trefoil
