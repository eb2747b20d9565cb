// What the control thread publishes for the traffic threads.
//
//   std::shared_ptr<const Snapshot> snapshot = cell.Read();
//   const ServiceView* view = FindService(*snapshot, service);
//
// A snapshot never changes once it is published.
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

// How far a service's versions have moved, as this host knows.
struct MoveView
{
  // The shares that attempts are drawn from.
  std::vector<VersionShare> mShares;
  MovePhase mPhase = MovePhase::kSteady;
  VersionId mVersion;
  // The record in the store that the shares stem from; 0 for none.
  std::uint64_t mRecord = 0;
  // Whether this host has stopped sending to the version by itself.
  bool mStopped = false;
  // Whether this host holds the duty of the move.
  bool mHeldHere = false;
};

// A service as traffic sees it.
struct ServiceView
{
  std::shared_ptr<const ServiceDocument> mDocument;
  std::uint64_t mRevision = 0;
  // Why a newer document was refused; empty if none was.
  std::string mRefusal;
  MoveView mMove;
  // When the revision in force came to this host and when it was known to be on every host.
  RevisionPropagation mPropagation;
};

struct Snapshot
{
  // Rises with each snapshot.
  std::uint64_t mNumber = 0;
  // Whether documents were read at least once since the start.
  bool mReady = false;
  bool mStoreReachable = false;
  // Until when effects on others may rest on the snapshot. A process that was frozen finds it past.
  Instant mFreshUntil = Instant::max();
  bool mWatchesStore = false;
  // Whether the store or another host has sent documents, also on a host that is leaving.
  bool mHasDocuments = false;
  std::map<ServiceId, ServiceView> mServices;
  Members mMembers;
  std::map<AvailabilityZoneId, ZoneView> mZones;
  // What is known of backend servers. Those without a report count as up.
  std::shared_ptr<const ServerReportMap> mServers = std::make_shared<const ServerReportMap>();
  // Those that are down or leaving: they receive no new work.
  std::shared_ptr<const ServerSet> mNotUp = std::make_shared<const ServerSet>();
  std::shared_ptr<const DocumentsInForce> mDocuments = std::make_shared<const DocumentsInForce>();
};

inline bool
IsFresh(const Snapshot& aSnapshot, Instant aNow)
{
  return !HasPassed(aSnapshot.mFreshUntil, aNow);
}

// Returns the view of a service with a document in force, null if there is none.
const ServiceView*
FindService(const Snapshot& aSnapshot, const ServiceId& aService);

// Holds the newest snapshot. Thread-safe.
class SnapshotCell
{
public:
  void Publish(std::shared_ptr<const Snapshot> aSnapshot);
  std::shared_ptr<const Snapshot> Read() const;

  // Waits for a snapshot that effects may rest on, `aDeadline` at most, and returns the newest one.
  std::shared_ptr<const Snapshot> ReadFresh(Instant aDeadline) const;

private:
  mutable absl::Mutex mMutex;
  std::shared_ptr<const Snapshot> mSnapshot ABSL_GUARDED_BY(mMutex) =
    std::make_shared<const Snapshot>();
};

} // namespace trefoil
