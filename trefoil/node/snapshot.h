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
#include "trefoil/membership/members.h"
#include "trefoil/service/service_document.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace trefoil {

// A service as traffic sees it.
struct ServiceView
{
  std::shared_ptr<const ServiceDocument> mDocument;
  std::uint64_t mRevision = 0;
  // Why a newer document was refused; empty if none was.
  std::string mRefusal;
};

struct Snapshot
{
  // Rises with each snapshot.
  std::uint64_t mNumber = 0;
  // Whether documents were read at least once since the start.
  bool mReady = false;
  bool mStoreReachable = false;
  // Until when effects on others may rest on the snapshot. A process that was frozen finds it past.
  Instant mFreshUntil;
  std::map<ServiceId, ServiceView> mServices;
  Members mMembers;
};

// Returns the view of a service with a document in force, null if there is none.
const ServiceView*
FindService(const Snapshot& aSnapshot, const ServiceId& aService);

// Holds the newest snapshot. Thread-safe.
class SnapshotCell
{
public:
  void Publish(std::shared_ptr<const Snapshot> aSnapshot);
  std::shared_ptr<const Snapshot> Read() const;

private:
  mutable absl::Mutex mMutex;
  std::shared_ptr<const Snapshot> mSnapshot ABSL_GUARDED_BY(mMutex) =
    std::make_shared<const Snapshot>();
};

} // namespace trefoil
