#include "trefoil/service/service_document.h"

#include "trefoil/base/digest.h"
#include "trefoil/settings/toml_reader.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace trefoil {
namespace {

constexpr std::int64_t kDefaultDeadlineMilliseconds = 120'000;
constexpr std::int64_t kMaxDeadlineMilliseconds = 24LL * 3'600'000;
constexpr int kTotalSharePercent = 100;
constexpr std::int64_t kDefaultSlotsPerServer = 32;
constexpr std::int64_t kMaxSlotsPerServer = 10'000;
constexpr std::int64_t kMaxPeakTokensPerMinute = 1'000'000'000'000;
constexpr std::size_t kSha256HexDigits = 64;

std::string
ReadIdentifier(TomlReader& aReader, std::string_view aKey)
{
  std::string name = aReader.RequiredString(aKey);
  if (name.empty() || name.find_first_of("/ \t\n?#") != std::string::npos) {
    aReader.RecordError(aKey, "must be a name without spaces, '/', '?' or '#'");
  }
  return name;
}

// Reads an optional enumerator by its name in `aNames`. An unknown name is an error.
template<typename Enum, std::size_t Size>
Enum
ReadEnum(TomlReader& aReader,
         std::string_view aKey,
         const NameTable<Enum, Size>& aNames,
         std::string_view aDefault)
{
  const auto value = ValueOf(aNames, aReader.OptionalString(aKey, aDefault));
  if (value.has_value()) {
    return *value;
  }
  std::string names;
  for (const auto& entry : aNames) {
    names += fmt::format("{}{}", names.empty() ? "" : ", ", entry.mName);
  }
  aReader.RecordError(aKey, fmt::format("must be one of: {}", names));
  return aNames.front().mValue;
}

VersionSpec
ReadVersion(TomlReader& aReader)
{
  VersionSpec version;
  version.mVersion = VersionId{ ReadIdentifier(aReader, "version") };
  version.mSharePercent = static_cast<int>(
    aReader.RequiredInt("share_percent", { .mMin = 0, .mMax = kTotalSharePercent }));
  const std::int64_t moveBy = aReader.OptionalUnixMilliseconds("move_by", 0);
  if (moveBy != 0) {
    version.mMoveBy = FromUnixMilliseconds(moveBy);
  }
  return version;
}

AccountSpec
ReadAccount(TomlReader& aReader)
{
  AccountSpec account;
  account.mAccount = ClientAccountId{ ReadIdentifier(aReader, "account") };
  account.mCredentialSha256 = aReader.RequiredString("credential_sha256");
  if (account.mCredentialSha256.size() != kSha256HexDigits) {
    aReader.RecordError("credential_sha256", "must be 64 hexadecimal digits");
  }
  account.mWeight = static_cast<int>(aReader.OptionalInt("weight", 1, { .mMin = 1, .mMax = 1000 }));
  account.mRequestsPerSecond = static_cast<int>(
    aReader.OptionalInt("requests_per_second", 0, { .mMin = 0, .mMax = 1'000'000 }));
  account.mPriority = ReadEnum(aReader, "priority", kPriorityNames, "normal");
  return account;
}

BackendServerSpec
ReadServer(TomlReader& aReader)
{
  BackendServerSpec server;
  server.mServer = BackendServerId{ ReadIdentifier(aReader, "server") };
  server.mZone = AvailabilityZoneId{ ReadIdentifier(aReader, "availability_zone") };
  server.mVersion = VersionId{ ReadIdentifier(aReader, "version") };
  server.mPriceClass = ReadEnum(aReader, "price_class", kPriceClassNames, "reclaimable");
  server.mChecksFencing = aReader.OptionalBool("checks_fencing", false);
  const auto endpoint = ParseEndpoint(aReader.RequiredString("endpoint"));
  if (endpoint.ok()) {
    server.mEndpoint = *endpoint;
  } else {
    aReader.RecordError("endpoint", std::string{ endpoint.status().message() });
  }
  return server;
}

RouteSpec
ReadRoute(TomlReader& aReader)
{
  RouteSpec route;
  route.mPrefix = aReader.RequiredString("prefix");
  if (route.mPrefix.empty() || route.mPrefix.front() != '/') {
    aReader.RecordError("prefix", "must begin with '/'");
  }
  route.mMethod = aReader.OptionalString("method", "");
  route.mRepeatable =
    aReader.OptionalBool("repeatable", false) ? Repeatable::kYes : Repeatable::kNo;
  return route;
}

// Reads each table of [[aKey]] with `aRead` and returns the results. Stores the first error in
// `aStatus`.
template<typename Read>
auto
ReadTables(TomlReader& aReader, std::string_view aKey, absl::Status& aStatus, Read aRead)
{
  std::vector<decltype(aRead(aReader))> values;
  for (TomlReader& table : aReader.OptionalTables(aKey)) {
    values.push_back(aRead(table));
    aStatus.Update(table.Finish());
  }
  return values;
}

// Records an error for each spec whose `aMember` equals that of an earlier spec.
template<typename Spec, typename Key>
void
RequireUnique(TomlReader& aReader,
              std::string_view aKey,
              const std::vector<Spec>& aSpecs,
              Key Spec::*aMember)
{
  std::set<Key> seen;
  for (const Spec& spec : aSpecs) {
    if (!seen.insert(spec.*aMember).second) {
      aReader.RecordError(aKey, fmt::format("'{}' is listed twice", (spec.*aMember).Value()));
    }
  }
}

void
CheckVersions(TomlReader& aReader, const ServiceDocument& aDocument)
{
  int total = 0;
  for (const VersionSpec& version : aDocument.mVersions) {
    total += version.mSharePercent;
  }
  if (total != kTotalSharePercent) {
    aReader.RecordError("version",
                        fmt::format("the shares add up to {} percent instead of 100", total));
  }
}

} // namespace

absl::StatusOr<ServiceDocument>
ParseServiceDocument(std::string_view aText, std::string_view aFile)
{
  const auto parsed = ParseToml(aText, aFile);
  if (!parsed.ok()) {
    return parsed.status();
  }
  TomlReader reader = parsed->Root();
  absl::Status status;
  ServiceDocument document;
  document.mService = ServiceId{ ReadIdentifier(reader, "service") };
  document.mKind = ReadEnum(reader, "kind", kServiceKindNames, "model");
  document.mDefaultDeadlineMilliseconds =
    reader.OptionalInt("default_deadline_ms",
                       kDefaultDeadlineMilliseconds,
                       { .mMin = 1, .mMax = kMaxDeadlineMilliseconds });
  document.mSlotsPerServer = reader.OptionalInt(
    "slots_per_server", kDefaultSlotsPerServer, { .mMin = 1, .mMax = kMaxSlotsPerServer });
  document.mPeakTokensPerMinute =
    reader.OptionalInt("peak_tokens_per_minute", 0, { .mMin = 0, .mMax = kMaxPeakTokensPerMinute });
  document.mVersions = ReadTables(reader, "version", status, ReadVersion);
  document.mAccounts = ReadTables(reader, "account", status, ReadAccount);
  document.mServers = ReadTables(reader, "backend_server", status, ReadServer);
  document.mRoutes = ReadTables(reader, "route", status, ReadRoute);
  RequireUnique(reader, "version", document.mVersions, &VersionSpec::mVersion);
  RequireUnique(reader, "account", document.mAccounts, &AccountSpec::mAccount);
  RequireUnique(reader, "backend_server", document.mServers, &BackendServerSpec::mServer);
  CheckVersions(reader, document);
  status.Update(reader.Finish());
  if (!status.ok()) {
    return status;
  }
  return document;
}

Repeatable
RepeatableOf(const ServiceDocument& aDocument, std::string_view aMethod, std::string_view aPath)
{
  const RouteSpec* best = nullptr;
  for (const RouteSpec& route : aDocument.mRoutes) {
    const bool matches =
      aPath.starts_with(route.mPrefix) && (route.mMethod.empty() || route.mMethod == aMethod);
    if (matches && (best == nullptr || route.mPrefix.size() > best->mPrefix.size())) {
      best = &route;
    }
  }
  if (best != nullptr) {
    return best->mRepeatable;
  }
  constexpr std::string_view kIdempotentMethods[] = { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };
  const bool idempotent =
    std::ranges::find(kIdempotentMethods, aMethod) != std::end(kIdempotentMethods);
  return idempotent ? Repeatable::kYes : Repeatable::kNo;
}

const AccountSpec*
FindAccount(const ServiceDocument& aDocument, std::string_view aCredentialSha256)
{
  const AccountSpec* found = nullptr;
  for (const AccountSpec& account : aDocument.mAccounts) {
    if (ConstantTimeEqual(account.mCredentialSha256, aCredentialSha256)) {
      found = &account;
    }
  }
  return found;
}

} // namespace trefoil
