// The routing state of the backend servers of all services, shared by the traffic threads.
//
//   RoutingTables tables;
//   tables.SetServers(service, revision, servers);
//   std::optional<BackendServerId> server = tables.PlaceRequest(service, request, aNow);
//   InFlightGuard guard{ tables, *server };
//
// Thread-safe. No call blocks on I/O.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/ids.h"
#include "trefoil/health/server_health.h"
#include "trefoil/routing/routing_state.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>

namespace trefoil {

// The properties of an attempt that the choice of its server depends on.
struct PlacementRequest
{
  RoutingPolicy mPolicy = RoutingPolicy::kScored;
  PrefixDigests mPrefixDigests;
  std::int64_t mPromptTokens = 0;
  std::int64_t mExpectedTokens = 0;
  std::set<BackendServerId> mExcluded;
  std::vector<VersionWeight> mVersions;
  std::uint64_t mRandom = 0;
};

// A change that a server reports for the prefixes of a prompt in its cache.
enum class CacheChange
{
  kStored,
  kDropped,
};

inline constexpr NameTable<CacheChange, 2> kCacheChangeNames{ {
  { CacheChange::kStored, "stored" },
  { CacheChange::kDropped, "dropped" },
} };

// The state of the backend servers as reported by the entry hosts, taken from a snapshot.
struct ServerUpdate
{
  std::shared_ptr<const ServerReportMap> mReports;
  // The servers that are down or leaving.
  std::shared_ptr<const ServerSet> mNotUp;
};

class RoutingTables
{
public:
  // Returns whether the servers of a service have not been set or were set with a revision lower
  // than `aRevision`.
  bool IsOlderThan(const ServiceId& aService, std::uint64_t aRevision) const;

  // Sets the servers of a service unless they were set with the same or a higher `aRevision`.
  void SetServers(const ServiceId& aService,
                  std::uint64_t aRevision,
                  std::span<const RoutableServer> aServers);

  // Applies the reports of the hosts about the servers: the loads that have changed, and which
  // servers receive no new work. Does no work if `aUpdate` has the pointers of the last call.
  void ApplyServerUpdate(const ServiceId& aService, const ServerUpdate& aUpdate, Instant aNow);

  // Returns the server for an attempt and records the placement of the prompt on it. Returns
  // std::nullopt if no server is eligible.
  std::optional<BackendServerId> PlaceRequest(const ServiceId& aService,
                                              const PlacementRequest& aRequest,
                                              Instant aNow);

  // Records the start of an attempt on a server.
  void RecordAttemptStart(const BackendServerId& aServer, Instant aNow);

  // Records the end of an attempt on a server.
  void RecordAttemptEnd(const BackendServerId& aServer, Instant aNow);

  // Applies a load report that a server has sent itself, measured at `aMeasuredAt`.
  void ApplyLoadReport(const BackendServerId& aServer,
                       const LoadReport& aReport,
                       Instant aMeasuredAt);

  // Applies a change that a server has reported for its prefix cache.
  void ApplyCacheChange(const BackendServerId& aServer,
                        CacheChange aChange,
                        const PrefixDigests& aPrefixDigests,
                        Instant aNow);

  // Returns the number of attempts that this entry host has in flight on a server.
  std::int64_t InFlight(const BackendServerId& aServer) const;

private:
  struct Table
  {
    std::uint64_t mRevision = 0;
    RoutingState mState;
    ServerUpdate mUpdate;
  };
  // Calls `aFunction(state, slot)` for each service that has the server.
  template<typename Function>
  void ForEachSlotOf(const BackendServerId& aServer, Function aFunction)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);

  mutable absl::Mutex mMutex;
  std::map<ServiceId, Table> mTables ABSL_GUARDED_BY(mMutex);
};

// Counts one attempt as in flight for the lifetime of the guard.
class InFlightGuard
{
public:
  InFlightGuard(RoutingTables& aTables, BackendServerId aServer);
  ~InFlightGuard();
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

private:
  RoutingTables& mTables;
  BackendServerId mServer;
};

} // namespace trefoil
