// The backend servers that have registered themselves.
//
//   ServerRegistry registry;
//   Learn(registry, record);
//   Forget(registry, id, revision);
//
// Entries carry the store's revision of their last change; older news of an entry changes nothing.
// Plain data and pure functions.
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
  // Takes no new requests and leaves soon.
  kDraining,
};

inline constexpr NameTable<ServerPhase, 2> kServerPhaseNames{ {
  { ServerPhase::kReady, "ready" },
  { ServerPhase::kDraining, "draining" },
} };

struct RegisteredServer
{
  BackendServerId mId;
  // When the server started, in Unix milliseconds: with the id it names one incarnation.
  std::int64_t mIncarnation = 0;
  ServiceId mService;
  Endpoint mEndpoint;
  AvailabilityZoneId mZone;
  VersionId mVersion;
  int mSlots = 1;
  ServerPhase mPhase = ServerPhase::kReady;
  // May be taken away, together with all others of its kind in the zone.
  bool mReclaimable = false;
  // Its entry has gone after an outage of the store, and may come back: used only where no other
  // server is.
  bool mDoubtful = false;
  // How long the server stays after its notice, if it says so.
  std::optional<Milliseconds> mLeavesIn;
  // How much longer the server is slow after its start.
  Milliseconds mColdFor{ 0 };
  // The store's revision of this entry.
  std::int64_t mRevision = 0;

  friend bool operator==(const RegisteredServer&, const RegisteredServer&) = default;
};

struct ServerRegistry
{
  std::map<BackendServerId, RegisteredServer> mServers;
  // Revisions at which entries were removed, so that late news do not bring them back.
  std::map<BackendServerId, std::int64_t> mRemoved;
};

// Takes in an entry. Returns whether the registry changed in more than the revision.
bool
Learn(ServerRegistry& aRegistry, const RegisteredServer& aServer);

// Drops an entry that was removed at a revision. Returns whether it was there.
bool
Forget(ServerRegistry& aRegistry, const BackendServerId& aId, std::int64_t aRevision);

} // namespace trefoil
