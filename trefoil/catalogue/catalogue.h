// What operators have put in force: routes, services, client accounts and limits, as one version.
//
//   RouteIndex index = IndexRoutes(catalogue);
//   const Route* route = FindRoute(catalogue, index, "host.example", "/pairings/7");
//   const ClientAccount* account = FindAccount(catalogue, index, key);
//
// Plain data and pure functions. An index refers to the catalogue it was made of by position.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace trefoil {

// What may be repeated of a route's requests.
enum class RouteKind
{
  kIdempotent,
  kNonIdempotent,
  // The answer is a series of events; repeated only where the route says that it is resumable.
  kStream,
};

inline constexpr NameTable<RouteKind, 3> kRouteKindNames{ {
  { RouteKind::kIdempotent, "idempotent" },
  { RouteKind::kNonIdempotent, "non_idempotent" },
  { RouteKind::kStream, "stream" },
} };

struct RouteTarget
{
  ServiceId mService;
  // Relative to the other targets of the route.
  std::int64_t mWeight = 1;
};

struct Route
{
  std::string mName;
  std::string mHost;
  // Begins and ends with a slash.
  std::string mPathPrefix;
  RouteKind mKind = RouteKind::kNonIdempotent;
  // How long a client is kept waiting at most.
  Milliseconds mTimeout{ 0 };
  // An answer within this time has its full value; 0 if the route has no goal.
  Milliseconds mGoal{ 0 };
  // 0 is the most urgent.
  int mPriority = 0;
  std::vector<RouteTarget> mTargets;
  // Backend servers that one client attempt may run on.
  int mAttempts = 1;
  bool mAllowsAnonymous = false;
  // Requests name the parts of their prompt, and a server that has them cached answers sooner.
  bool mFollowsCache = false;
  bool mResumable = false;
  // The longest pause between events of an answer in time; 0 if there is none.
  Milliseconds mPauseGoal{ 0 };
};

// How a service's model engines work; absent for plain applications.
struct EngineTraits
{
  int mSlots = 1;
  std::int64_t mCacheTokens = 0;
  bool mMovesRuns = false;
  bool mKeepsBackups = false;
};

// How many servers of a service may be ordered in each availability zone.
struct ScalingBounds
{
  int mMin = 0;
  int mMax = 0;
  Milliseconds mBootTime{ 0 };
  // The price of a reclaimable server as a share of that of another; 0 if there are none.
  double mReclaimablePrice = 0;
  std::map<AvailabilityZoneId, double> mZonePrices;
};

struct CatalogueService
{
  ServiceId mName;
  int mMaxConnections = 0;
  std::optional<EngineTraits> mEngine;
  std::optional<ScalingBounds> mScaling;
};

struct ClientAccount
{
  ClientAccountId mName;
  std::vector<std::string> mKeys;
  // Takes the place of the route's priority.
  std::optional<int> mPriority;
  // The quota counts tokens of requests, else requests.
  bool mCountsTokens = false;
  // What a request without token counts costs.
  std::int64_t mDefaultTokens = 1;
  // 0 means no quota.
  double mRatePerSecond = 0;
  double mBurst = 0;
};

struct ClientLimits
{
  std::size_t mMaxHeadBytes = std::size_t{ 16 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 4 } * 1024 * 1024;
  Milliseconds mHeadTimeout{ 3'000 };
  Milliseconds mIdleTimeout{ 15'000 };
};

struct Catalogue
{
  std::int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::map<ServiceId, CatalogueService> mServices;
  std::vector<ClientAccount> mAccounts;
  ClientLimits mLimits;
};

struct RouteIndex
{
  // By host, then by path prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> mRoutes;
  std::unordered_map<std::string, std::size_t> mAccountsByKey;
};

RouteIndex
IndexRoutes(const Catalogue& aCatalogue);

// Returns the route of the host with the longest prefix of the path, null if none matches. A port
// in `aHost` and the case of its letters are ignored.
const Route*
FindRoute(const Catalogue& aCatalogue,
          const RouteIndex& aIndex,
          std::string_view aHost,
          std::string_view aPath);

// Returns the account that holds the key, null if none does.
const ClientAccount*
FindAccount(const Catalogue& aCatalogue, const RouteIndex& aIndex, std::string_view aKey);

// Returns the target of a route that `aDraw`, a random number, falls on; null if the weights are 0.
const RouteTarget*
DrawTarget(const Route& aRoute, std::uint64_t aDraw);

} // namespace trefoil
