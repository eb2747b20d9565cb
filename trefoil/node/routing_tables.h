// What this entry host knows of the backend servers of all services, for the traffic threads.
//
//   RoutingTables tables;
//   tables.SetServers(service, number, servers);
//   std::optional<BackendServerId> server = tables.Choose(service, request, aNow);
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

// What a choice depends on.
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

// What a server says it did with the prefixes of a prompt.
enum class CacheChange
{
  kStored,
  kDropped,
};

inline constexpr NameTable<CacheChange, 2> kCacheChangeNames{ {
  { CacheChange::kStored, "stored" },
  { CacheChange::kDropped, "dropped" },
} };

// What the hosts found at the backend servers, as a snapshot shows it.
struct ServerUpdate
{
  std::shared_ptr<const ServerReportMap> mReports;
  // Those that are down or leaving.
  std::shared_ptr<const ServerSet> mNotUp;
};

class RoutingTables
{
public:
  // Returns whether the servers of a service were set with another `aNumber`.
  bool IsOlder(const ServiceId& aService, std::uint64_t aNumber) const;

  // Sets the servers of a service unless they were set with a higher `aNumber`.
  void SetServers(const ServiceId& aService,
                  std::uint64_t aNumber,
                  std::span<const RoutableServer> aServers);

  // Takes in what the hosts found at the servers: the loads that are news, and the servers that
  // receive no new work. Costs nothing if both are those of the last call.
  void TakeReports(const ServiceId& aService, const ServerUpdate& aUpdate, Instant aNow);

  // Returns the server for an attempt, nothing if there is none, and notes that the prompt goes
  // there.
  std::optional<BackendServerId> Choose(const ServiceId& aService,
                                        const PlacementRequest& aRequest,
                                        Instant aNow);

  // Notes the start and the end of an attempt.
  void Start(const BackendServerId& aServer, Instant aNow);
  void End(const BackendServerId& aServer, Instant aNow);

  // Takes in what a server reports of its load and its prefix cache.
  void Apply(const BackendServerId& aServer, const LoadReport& aReport, Instant aMeasuredAt);
  void Apply(const BackendServerId& aServer,
             CacheChange aChange,
             const PrefixDigests& aMarks,
             Instant aNow);

  // Returns the requests that this entry host has in flight on a server.
  std::int64_t InFlight(const BackendServerId& aServer) const;

private:
  struct Table
  {
    std::uint64_t mNumber = 0;
    RoutingState mState;
    ServerUpdate mUpdate;
  };
  // Calls `aFunction(state, slot)` for each service that the server belongs to.
  template<typename Function>
  void ForServer(const BackendServerId& aServer, Function aFunction)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);

  mutable absl::Mutex mMutex;
  std::map<ServiceId, Table> mTables ABSL_GUARDED_BY(mMutex);
};

// Counts one attempt while it lives.
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
