// The service document, which operators write for each service: its versions and their traffic
// shares, client accounts, backend servers and routes.
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
  // The backend servers are model engines that stream completions.
  kModel,
  // The backend servers serve plain HTTP requests.
  kPlain,
};

inline constexpr NameTable<ServiceKind, 2> kServiceKindNames{ {
  { ServiceKind::kModel, "model" },
  { ServiceKind::kPlain, "plain" },
} };

// Whether a request of a plain service may run more than once.
enum class Repeatable
{
  kYes,
  kNo,
};

// Whether a backend server runs on a cheaper host that can be reclaimed at short notice.
enum class PriceClass
{
  kReclaimable,
  kOnDemand,
};

inline constexpr NameTable<PriceClass, 2> kPriceClassNames{ {
  { PriceClass::kReclaimable, "reclaimable" },
  { PriceClass::kOnDemand, "on_demand" },
} };

// The urgency of a request. The account sets the default for its requests.
enum class Priority
{
  kUrgent,
  kNormal,
  // May be delayed within its deadline to reduce the peak load per minute.
  kDeferrable,
};

inline constexpr NameTable<Priority, 3> kPriorityNames{ {
  { Priority::kUrgent, "urgent" },
  { Priority::kNormal, "normal" },
  { Priority::kDeferrable, "deferrable" },
} };

// A version and its target share of the traffic.
struct VersionSpec
{
  VersionId mVersion;
  // The percentage of the traffic that the version receives after the version move completes.
  int mSharePercent = 0;
  // The time by which the version move must complete; std::nullopt means kDefaultMoveDuration
  // (rollout/move_plan.h) after its start.
  // While an entry host has no move record, it routes only to versions without this time.
  std::optional<WallTime> mMoveBy;
};

// A client account that may call the service.
struct AccountSpec
{
  ClientAccountId mAccount;
  // The SHA-256 digest of the credential, as 64 hexadecimal digits.
  std::string mCredentialSha256;
  // The account's share of the capacity, relative to the weights of the other accounts.
  int mWeight = 1;
  // The maximum number of requests per second over all entry hosts; 0 means no limit.
  int mRequestsPerSecond = 0;
  Priority mPriority = Priority::kNormal;
};

// A backend server of the service.
struct BackendServerSpec
{
  BackendServerId mServer;
  Endpoint mEndpoint;
  AvailabilityZoneId mZone;
  VersionId mVersion;
  PriceClass mPriceClass = PriceClass::kReclaimable;
  // Whether the server rejects orders with an outdated fencing number.
  bool mChecksFencing = false;
};

// A path prefix of a plain service and whether its requests may run more than once.
struct RouteSpec
{
  std::string mPrefix;
  // The HTTP method; empty for any method.
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
  // The number of requests that a backend server runs concurrently; further requests are queued
  // at the entry hosts.
  std::int64_t mSlotsPerServer = 0;
  // The expected tokens per minute over all hosts above which deferrable requests are delayed; 0
  // means no limit.
  std::int64_t mPeakTokensPerMinute = 0;
  // The deadline of a request that does not specify one, in milliseconds after its arrival.
  std::int64_t mDefaultDeadlineMilliseconds = 0;
};

// Parses the TOML text of a service document. Returns InvalidArgument with `aFile`, line,
// column and reason if it is not valid. Thread-safe.
absl::StatusOr<ServiceDocument>
ParseServiceDocument(std::string_view aText, std::string_view aFile);

// Returns whether a request of `aMethod` to `aPath` may run more than once. The matching route
// with the longest prefix decides. Without a matching route, GET, HEAD, PUT, DELETE and OPTIONS
// are repeatable, since HTTP defines them as idempotent (RFC 9110, section 9.2.2).
Repeatable
RepeatableOf(const ServiceDocument& aDocument, std::string_view aMethod, std::string_view aPath);

// Returns the account whose credential digest is `aCredentialSha256`, or nullptr if there is
// none. Compares digests in constant time to prevent timing attacks. The result points into
// `aDocument`.
const AccountSpec*
FindAccount(const ServiceDocument& aDocument, std::string_view aCredentialSha256);

} // namespace trefoil
