// The operators' document of one service: what runs, which versions, where, and by when traffic
// moves.
//
//   absl::StatusOr<ServiceDocument> document = ParseServiceDocument(text, "pairings");
//
// docs/CONFIGURATION.md lists every key with its unit and default.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

enum class ServiceKind
{
  // Backend servers are model engines that stream completions.
  kModel,
  // Backend servers answer plain HTTP.
  kPlain,
};

inline constexpr NameTable<ServiceKind, 2> kServiceKindNames{ {
  { ServiceKind::kModel, "model" },
  { ServiceKind::kPlain, "plain" },
} };

// Which requests of a plain service may run twice.
enum class Repeatable
{
  kYes,
  kNo,
};

enum class PriceClass
{
  kReclaimable,
  kOnDemand,
};

inline constexpr NameTable<PriceClass, 2> kPriceClassNames{ {
  { PriceClass::kReclaimable, "reclaimable" },
  { PriceClass::kOnDemand, "on_demand" },
} };

// How urgent the requests of a client account or route are.
enum class Priority
{
  kUrgent,
  kNormal,
  // May wait inside its deadline, to keep the busiest minute low.
  kDeferrable,
};

inline constexpr NameTable<Priority, 3> kPriorityNames{ {
  { Priority::kUrgent, "urgent" },
  { Priority::kNormal, "normal" },
  { Priority::kDeferrable, "deferrable" },
} };

// A version that should receive a share of the traffic.
struct VersionSpec
{
  VersionId mVersion;
  // Percent of the traffic once the move is done.
  int mSharePercent = 0;
  // When traffic should have moved; nothing means at once.
  std::optional<WallTime> mMoveBy;
};

// A client account that may call the service.
struct AccountSpec
{
  ClientAccountId mAccount;
  std::string mCredentialSha256;
  // Share of the capacity relative to the other accounts' weights.
  int mWeight = 1;
  // Most requests a second over all entry hosts; 0 sets no limit.
  int mRequestsPerSecond = 0;
  Priority mPriority = Priority::kNormal;
};

struct BackendServerSpec
{
  BackendServerId mServer;
  Endpoint mEndpoint;
  AvailabilityZoneId mZone;
  VersionId mVersion;
  PriceClass mPriceClass = PriceClass::kReclaimable;
  // Whether the server refuses orders with an old fencing number.
  bool mChecksFencing = false;
};

// A path prefix of a plain service and whether its requests may run twice.
struct RouteSpec
{
  std::string mPrefix;
  std::string mMethod;
  Repeatable mRepeatable = Repeatable::kNo;
};

struct ServiceDocument
{
  ServiceId mService;
  ServiceKind mKind = ServiceKind::kModel;
  std::vector<VersionSpec> mVersions;
  std::vector<AccountSpec> mAccounts;
  std::vector<BackendServerSpec> mServers;
  std::vector<RouteSpec> mRoutes;
  // Requests that a backend server runs at once; further ones wait at the entry hosts.
  std::int64_t mSlotsPerServer = 0;
  // The budget for the busiest minute over all hosts, in expected tokens; 0 for none.
  std::int64_t mPeakTokensPerMinute = 0;
  // Default deadline of a request that states none.
  std::int64_t mDefaultDeadlineMilliseconds = 0;
};

// Parses the TOML text of a document. Returns InvalidArgument with `aFile`, line and reason.
absl::StatusOr<ServiceDocument>
ParseServiceDocument(std::string_view aText, std::string_view aFile);

// Returns whether a request of `aMethod` to `aPath` may run twice: as the longest matching route
// says, else as HTTP says of the method (GET, HEAD, PUT, DELETE and OPTIONS are idempotent: RFC
// 9110, section 9.2.2).
Repeatable
RepeatableOf(const ServiceDocument& aDocument, std::string_view aMethod, std::string_view aPath);

// Returns the account whose credential digest is `aCredentialSha256`, null if there is none.
// Compares in constant time.
const AccountSpec*
FindAccount(const ServiceDocument& aDocument, std::string_view aCredentialSha256);

} // namespace trefoil
