#include "trefoil/settings/gateway_settings.h"

#include "trefoil/settings/common_settings.h"
#include "trefoil/settings/toml_reader.h"

#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr std::int64_t kMaxOpenConnections = 100'000;
constexpr std::int64_t kDefaultMaxConnections = 2'000;
constexpr std::int64_t kDefaultReservedDescriptors = 60;
constexpr double kMaxDurationS = 3'600;
// Defaults for a platform that does not specify these bounds.
constexpr double kDefaultStopNoticeS = 25;
constexpr double kDefaultRevokeMs = 5'000;
constexpr double kDefaultDrainMs = 2'000;
constexpr double kDefaultSettleMs = 3'000;
constexpr double kMaxCrossingCostMs = 10'000;
constexpr double kDefaultRetryRatio = 0.2;
constexpr double kDefaultRetrySlack = 50;
constexpr double kMaxRetrySlack = 1e6;
constexpr double kDefaultRetryWindowS = 10;
constexpr double kMaxQuotaSlack = 1e9;
constexpr double kDefaultUsageWindowS = 5;
constexpr double kDefaultUsageLateAfterS = 10;
constexpr double kMsPerSecond = 1'000;

// Reads an optional number from `aMin` to `aMax`. Records an error and returns `aDefault` if it
// is out of range.
double
ReadNumber(TomlReader& aReader, std::string_view aKey, double aDefault, double aMin, double aMax)
{
  const double number = aReader.OptionalNumber(aKey, aDefault);
  // The negated comparison also rejects NaN, for which every comparison is false.
  if (!(number >= aMin && number <= aMax)) {
    aReader.RecordError(aKey, fmt::format("must be from {} to {}", aMin, aMax));
    return aDefault;
  }
  return number;
}

// Reads an optional duration from one millisecond to kMaxDurationS. The setting and `aDefault`
// are in units of `aUnitMs` milliseconds. Fractions of a millisecond are truncated.
Milliseconds
ReadDuration(TomlReader& aReader, std::string_view aKey, double aDefault, double aUnitMs)
{
  const double number =
    ReadNumber(aReader, aKey, aDefault, 1 / aUnitMs, kMaxDurationS * kMsPerSecond / aUnitMs);
  return Milliseconds{ static_cast<std::int64_t>(number * aUnitMs) };
}

// Reads the regions of zones, each as "zone=region".
std::map<AvailabilityZoneId, RegionId>
ReadZoneRegions(TomlReader& aReader, std::string_view aKey)
{
  std::map<AvailabilityZoneId, RegionId> regions;
  for (const std::string& text : aReader.OptionalStrings(aKey)) {
    const auto equals = text.find('=');
    if (equals == std::string::npos || equals == 0 || equals + 1 == text.size()) {
      aReader.RecordError(aKey, "must be of the form zone=region");
      return {};
    }
    regions[AvailabilityZoneId{ text.substr(0, equals) }] = RegionId{ text.substr(equals + 1) };
  }
  return regions;
}

} // namespace

absl::StatusOr<GatewaySettings>
ParseGatewaySettings(std::string_view aText, std::string_view aFile)
{
  const auto document = ParseToml(aText, aFile);
  if (!document.ok()) {
    return document.status();
  }
  TomlReader reader = document->Root();
  GatewaySettings settings;
  settings.mHost = HostId{ ReadNonEmptyString(reader, "host") };
  settings.mZone = AvailabilityZoneId{ ReadNonEmptyString(reader, "availability_zone") };
  for (const std::string& zone : reader.OptionalStrings("availability_zones")) {
    settings.mZones.emplace_back(zone);
  }
  settings.mRegion = RegionId{ reader.OptionalString("region", "") };
  settings.mZoneRegions = ReadZoneRegions(reader, "zone_regions");
  settings.mListen = ReadEndpoint(reader, "listen");
  settings.mReadiness = ReadEndpoint(reader, "readiness_listen");
  settings.mPeerListen = ReadEndpoint(reader, "peer_listen");
  settings.mMetrics = ReadOptionalEndpoint(reader, "metrics_listen");
  settings.mStore = ReadEndpoint(reader, "store");
  settings.mCloud = ReadOptionalEndpoint(reader, "cloud");
  settings.mReportsUsage = reader.OptionalBool("report_usage", false);
  settings.mOrdersServers = reader.OptionalBool("order_servers", false);
  settings.mMaxConnections = reader.OptionalInt(
    "most_connections", kDefaultMaxConnections, { .mMin = 1, .mMax = kMaxOpenConnections });
  settings.mMaxDescriptors =
    reader.OptionalInt("most_descriptors", 0, { .mMin = 0, .mMax = kMaxOpenConnections });
  settings.mReservedDescriptors = reader.OptionalInt("reserved_descriptors",
                                                     kDefaultReservedDescriptors,
                                                     { .mMin = 0, .mMax = kMaxOpenConnections });
  settings.mMemoryBytes = ReadMemoryBytes(reader, "memory_mb");
  settings.mStopNotice = ReadDuration(reader, "stop_notice_s", kDefaultStopNoticeS, kMsPerSecond);
  settings.mRevokeWithin = ReadDuration(reader, "revoke_within_ms", kDefaultRevokeMs, 1);
  settings.mDrainWithin = ReadDuration(reader, "drain_within_ms", kDefaultDrainMs, 1);
  settings.mSettleWithin = ReadDuration(reader, "settle_within_ms", kDefaultSettleMs, 1);
  const double crossingMs = ReadNumber(reader, "zone_crossing_cost_ms", 0, 0, kMaxCrossingCostMs);
  if (crossingMs > 0) {
    settings.mZoneCrossingCost = Milliseconds{ static_cast<std::int64_t>(crossingMs) };
  }
  settings.mRetryRatio = ReadNumber(reader, "retry_ratio", kDefaultRetryRatio, 0, 1);
  settings.mRetrySlack = ReadNumber(reader, "retry_slack", kDefaultRetrySlack, 0, kMaxRetrySlack);
  settings.mRetryWindow =
    ReadDuration(reader, "retry_window_s", kDefaultRetryWindowS, kMsPerSecond);
  settings.mQuotaOverage = ReadNumber(reader, "quota_overage", 0, 0, 1);
  settings.mQuotaSlack = ReadNumber(reader, "quota_slack", 0, 0, kMaxQuotaSlack);
  settings.mUsageWindow =
    ReadDuration(reader, "usage_window_s", kDefaultUsageWindowS, kMsPerSecond);
  settings.mUsageLateAfter =
    ReadDuration(reader, "usage_late_after_s", kDefaultUsageLateAfterS, kMsPerSecond);
  if ((settings.mReportsUsage || settings.mOrdersServers) && !settings.mCloud.has_value()) {
    reader.RecordError("cloud", "is required to report usage or order servers");
  }
  const absl::Status status = reader.Finish();
  if (!status.ok()) {
    return status;
  }
  return settings;
}

absl::StatusOr<GatewaySettings>
ReadGatewaySettings(std::string_view aPath)
{
  const auto text = ReadSettingsFile(aPath);
  if (!text.ok()) {
    return text.status();
  }
  return ParseGatewaySettings(*text, aPath);
}

} // namespace trefoil
