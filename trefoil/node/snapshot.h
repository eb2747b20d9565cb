// The view that the control thread publishes for the traffic threads.
//
//   std::shared_ptr<const Snapshot> snapshot = cell.Read();
//   const ServiceView* view = FindService(*snapshot, service);
//
// A snapshot is immutable once it is published.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/config/config_propagation.h"
#include "trefoil/health/server_health.h"
#include "trefoil/membership/gossip.h"
#include "trefoil/membership/members.h"
#include "trefoil/rollout/move_record.h"
#include "trefoil/service/service_document.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace trefoil {

// The state of a service's version move as this host sees it.
struct MoveView
{
  // The weights by which the version of an attempt is selected.
  std::vector<VersionShare> mShares;
  MovePhase mPhase = MovePhase::kSteady;
  VersionId mVersion;
  // The revision of the move record that the shares derive from; 0 if there is none.
  std::uint64_t mRecord = 0;
  // Whether this host has stopped traffic to the moving version on its own or on a report of
  // another host.
  bool mStoppedLocally = false;
  // Whether this host holds the duty of moving the service's versions.
  bool mDutyHeldHere = false;
};

// The view of one service.
struct ServiceView
{
  std::shared_ptr<const ServiceDocument> mDocument;
  std::uint64_t mRevision = 0;
  // Why a newer document was refused; empty if the newest one is in force.
  std::string mRefusal;
  MoveView mMove;
  // When a revision came into force on this host, and when it had reached all hosts.
  RevisionPropagation mPropagation;
};

struct Snapshot
{
  // Increases with each snapshot.
  std::uint64_t mNumber = 0;
  // Whether the host accepts traffic: its configuration is ready and it is not shutting down.
  bool mReady = false;
  bool mStoreReachable = false;
  // Until when external effects may be based on the snapshot. After the process was frozen, this
  // time has passed.
  Instant mFreshUntil = Instant::max();
  bool mWatchesStore = false;
  // Whether the configuration is ready (see IsConfigReady). Unlike `mReady`, stays set while the
  // host shuts down.
  bool mHasDocuments = false;
  std::map<ServiceId, ServiceView> mServices;
  Members mMembers;
  std::map<AvailabilityZoneId, ZoneView> mZones;
  // The latest reports of backend servers. A server without a report counts as up.
  std::shared_ptr<const ServerReportMap> mServers = std::make_shared<const ServerReportMap>();
  // The servers that are down or leaving. They receive no new work.
  std::shared_ptr<const ServerSet> mNotUp = std::make_shared<const ServerSet>();
  std::shared_ptr<const DocumentsInForce> mDocuments = std::make_shared<const DocumentsInForce>();
};

// Returns whether external effects may be based on the snapshot at `aNow`.
inline bool
IsFresh(const Snapshot& aSnapshot, Instant aNow)
{
  return !HasPassed(aSnapshot.mFreshUntil, aNow);
}

// Returns the view of a service that has a document in force, otherwise nullptr. The pointer is
// valid as long as the snapshot.
const ServiceView*
FindService(const Snapshot& aSnapshot, const ServiceId& aService);

// Holds the newest snapshot. Thread-safe.
class SnapshotCell
{
public:
  void Publish(std::shared_ptr<const Snapshot> aSnapshot);
  std::shared_ptr<const Snapshot> Read() const;

  // Blocks until the newest snapshot is fresh, at most until `aDeadline`, and returns the newest
  // one. It may not be fresh after the deadline.
  std::shared_ptr<const Snapshot> AwaitFresh(Instant aDeadline) const;

private:
  mutable absl::Mutex mMutex;
  std::shared_ptr<const Snapshot> mSnapshot ABSL_GUARDED_BY(mMutex) =
    std::make_shared<const Snapshot>();
};

} // namespace trefoil
