// Registry of the backend servers that have registered themselves in the store.
//
//   ServerRegistry registry;
//   RegisterServer(registry, server);
//   DeregisterServer(registry, id, revision);
//
// Each entry has the store revision (base/store_revision.h) of its last change. Updates with an
// older revision are ignored. After the store was restored from a copy, its entries are older than
// their revisions suggest: a server that was known to be leaving or gone stays so, unless it has
// started again or registered after that.
//
// Plain data and pure functions; the caller serializes access.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <map>
#include <optional>

namespace trefoil {

enum class ServerPhase
{
  kReady,
  // The server accepts no new requests and will stop.
  kDraining,
};

inline constexpr NameTable<ServerPhase, 2> kServerPhaseNames{ {
  { ServerPhase::kReady, "ready" },
  { ServerPhase::kDraining, "draining" },
} };

struct RegisteredServer
{
  BackendServerId mId;
  // When the server started, in Unix milliseconds. Together with the id it identifies one
  // incarnation.
  std::int64_t mIncarnation = 0;
  ServiceId mService;
  Endpoint mEndpoint;
  AvailabilityZoneId mZone;
  VersionId mVersion;
  // How many requests the server runs at the same time.
  int mSlots = 1;
  ServerPhase mPhase = ServerPhase::kReady;
  // Whether the server can be reclaimed, possibly together with all other reclaimable servers of
  // the zone.
  bool mReclaimable = false;
  // Whether the entry disappeared after an outage of the store, so that the server may register
  // again. Such a server is used only if no other one is available.
  bool mRemovalUnconfirmed = false;
  // How long the server continues to run after its notice, if the server reported that.
  std::optional<Milliseconds> mRemainingLifetime;
  // How much longer the server warms up, counted from the arrival of the entry; empty if the entry
  // does not state it.
  std::optional<Milliseconds> mRemainingWarmUp;
  // The store revision of this entry.
  std::int64_t mRevision = 0;

  friend bool operator==(const RegisteredServer&, const RegisteredServer&) = default;
};

// The removal of an entry.
struct ServerRemoval
{
  // The store revision of the removal.
  std::int64_t mRevision = 0;
  // The incarnation and the revision of the removed entry; 0 if it was not known.
  std::int64_t mIncarnation = 0;
  std::int64_t mEntryRevision = 0;
};

struct ServerRegistry
{
  std::map<BackendServerId, RegisteredServer> mServers;
  // Removed entries, so that delayed updates do not restore them.
  std::map<BackendServerId, ServerRemoval> mRemovals;
};

// Returns whether a later entry of a server only repeats the one before: it differs at most in the
// revision, and in a warm-up or a remaining lifetime that has become shorter. Servers rewrite their
// entries about once a second, so these are most of all entries. The end of a warm-up is a change,
// and so is a warm-up that is stated to be as long as before: it counts from the arrival.
bool
IsRefresh(const RegisteredServer& aBefore, const RegisteredServer& aAfter);

// Returns whether two entries of a server differ in what operators can act on: phase, version,
// zone, address, service, and whether it is reclaimable.
bool
DiffersForOperators(const RegisteredServer& aBefore, const RegisteredServer& aAfter);

// Inserts or updates an entry unless the registry has a newer revision of it or of its removal.
// Returns whether the registry changed in more than a refresh.
bool
RegisterServer(ServerRegistry& aRegistry, const RegisteredServer& aServer);

// Removes an entry that was removed from the store at `aRevision`, unless the registry has a newer
// one. Returns whether an entry was removed.
bool
DeregisterServer(ServerRegistry& aRegistry, const BackendServerId& aId, std::int64_t aRevision);

} // namespace trefoil
