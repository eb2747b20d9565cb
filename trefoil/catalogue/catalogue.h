// The configuration that the operators have put in force, as one version: routes, services, client
// accounts and limits.
//
//   CatalogueIndex index = MakeCatalogueIndex(catalogue);
//   const Route* route = FindRoute(catalogue, index, "host.example", "/pairings/7");
//   const ClientAccount* account = FindAccount(catalogue, index, key);
//
// Plain data and pure functions. An index holds positions in the catalogue that it was made of, and
// is valid only for that catalogue.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/http/client_limits.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace trefoil {

// Whether a request of a route may be sent to a backend server again after it may have run.
enum class RouteKind
{
  kIdempotent,
  kNonIdempotent,
  // The answer is a stream of events; repeated only if Route::mResumable is set.
  kStream,
};

inline constexpr NameTable<RouteKind, 3> kRouteKindNames{ {
  { RouteKind::kIdempotent, "idempotent" },
  { RouteKind::kNonIdempotent, "non_idempotent" },
  { RouteKind::kStream, "stream" },
} };

// A service that receives a share of the requests of a route.
struct RouteTarget
{
  ServiceId mService;
  // The share of requests is the weight divided by the sum of the weights of all targets.
  std::int64_t mWeight = 1;
};

struct Route
{
  std::string mName;
  std::string mHost;
  // Begins and ends with a slash.
  std::string mPathPrefix;
  RouteKind mKind = RouteKind::kNonIdempotent;
  // The maximum duration of a request from its arrival; 0 if there is no limit. A client may set a
  // shorter one.
  Milliseconds mTimeout{ 0 };
  // The latency within which an answer has its full value; 0 if the route has no goal.
  Milliseconds mLatencyGoal{ 0 };
  // 0 is the most urgent.
  int mPriority = 0;
  std::vector<RouteTarget> mTargets;
  // The maximum number of backend servers that one client request may run on.
  int mAttempts = 1;
  // Whether requests without the credential of a client account are served.
  bool mAllowsAnonymous = false;
  // Whether requests are preferably sent to servers that have parts of their prompt cached.
  // Requests of such a route list the parts of their prompt.
  bool mUsesCacheAffinity = false;
  // Whether another server can resume the stream of an answer.
  bool mResumable = false;
  // The maximum time between two events of an answer that is on time; 0 if the route has no goal.
  Milliseconds mEventGapGoal{ 0 };
  // The regions that requests may be sent to; empty if all are allowed.
  std::set<RegionId> mAllowedRegions;
};

// Properties of the model engines of a service.
struct EngineTraits
{
  // How many requests an engine runs at the same time.
  int mSlots = 1;
  // The size of the cache of an engine, in tokens.
  std::int64_t mCacheTokens = 0;
  // Whether an engine can move a run to another engine.
  bool mMovesRuns = false;
  // Whether the engines keep backups of their caches.
  bool mKeepsBackups = false;
};

// Bounds on the number of servers of a service that may be ordered in each availability zone.
struct ScalingBounds
{
  int mMin = 0;
  int mMax = 0;
  // The time from an order of a server until it is ready.
  Milliseconds mBootTime{ 0 };
  // The price of a reclaimable server divided by that of an on-demand server; 0 if reclaimable
  // servers are not ordered.
  double mReclaimablePriceRatio = 0;
  std::map<AvailabilityZoneId, double> mZonePrices;
};

struct CatalogueService
{
  ServiceId mName;
  int mMaxConnections = 0;
  // The target of requests for the health of a server; empty if there is none.
  std::string mHealthPath;
  // How long a server warms up after a restart.
  Milliseconds mWarmUpTime{ 0 };
  // The requests per second of all hosts together that a server bears while it warms up; 0 if there
  // is no limit.
  double mWarmUpPerSecond = 0;
  // std::nullopt for an application that is not a model engine.
  std::optional<EngineTraits> mEngine;
  // std::nullopt if no servers are ordered for the service.
  std::optional<ScalingBounds> mScaling;
};

struct ClientAccount
{
  ClientAccountId mName;
  // The credentials of the account.
  std::vector<std::string> mKeys;
  // Replaces the priority of the route.
  std::optional<int> mPriority;
  // Whether the quota is measured in tokens; otherwise in requests.
  bool mCountsTokens = false;
  // The quota cost of a request without a token count, in tokens.
  std::int64_t mDefaultTokens = 1;
  // The rate of the quota, in tokens or requests per second; 0 means no quota.
  double mRatePerSecond = 0;
  // The capacity of the quota's token bucket, in the same unit.
  double mBurst = 0;
  // The regions that requests may be sent to; empty if all are allowed.
  std::set<RegionId> mAllowedRegions;
};

struct Catalogue
{
  std::int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::map<ServiceId, CatalogueService> mServices;
  // std::nullopt if the configuration has no list of accounts: it uses no credentials then. With an
  // empty list no credential is valid.
  std::optional<std::vector<ClientAccount>> mAccounts;
  ClientLimits mLimits;
};

// Positions in Catalogue::mRoutes and Catalogue::mAccounts.
struct CatalogueIndex
{
  // By host in lower case, then by path prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> mRoutes;
  std::unordered_map<std::string, std::size_t> mAccountsByKey;
};

// Returns the index of the routes and the credentials. Of several routes with the same host and
// prefix, or accounts with the same credential, it holds the first.
CatalogueIndex
MakeCatalogueIndex(const Catalogue& aCatalogue);

// Returns the route of the host whose path prefix is the longest one of `aPath`, or nullptr if no
// route matches. Ignores a port in `aHost` and the case of its letters.
const Route*
FindRoute(const Catalogue& aCatalogue,
          const CatalogueIndex& aIndex,
          std::string_view aHost,
          std::string_view aPath);

// Returns the accounts of the catalogue; none if it has no list of them.
std::span<const ClientAccount>
AccountsOf(const Catalogue& aCatalogue);

// Returns the account with the credential `aKey`, or nullptr if there is none.
const ClientAccount*
FindAccount(const Catalogue& aCatalogue, const CatalogueIndex& aIndex, std::string_view aKey);

// Returns a target of the route with a probability proportional to its weight. `aRandom` must be a
// uniform random number. Returns nullptr if all weights are 0.
const RouteTarget*
DrawTarget(const Route& aRoute, std::uint64_t aRandom);

} // namespace trefoil
