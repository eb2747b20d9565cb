#include "trefoil/settings/gateway_settings.h"

#include "trefoil/settings/endpoint_settings.h"
#include "trefoil/settings/toml_reader.h"

namespace trefoil {
namespace {

constexpr std::int64_t kMostOpenConnections = 100'000;
constexpr std::int64_t kDefaultMostConnections = 2'000;
constexpr std::int64_t kDefaultStopNoticeMs = 25'000;
constexpr std::int64_t kLongestMs = 3'600'000;
constexpr IntBounds kDurationBounds{ .mLeast = 1, .mMost = kLongestMs };
// Defaults for a platform that states no bounds of its own.
constexpr std::int64_t kDefaultRevokeMs = 5'000;
constexpr double kDefaultRetryRatio = 0.2;
constexpr std::int64_t kDefaultRetrySlack = 50;
constexpr std::int64_t kMostRetrySlack = 1'000'000;
constexpr std::int64_t kDefaultRetryWindowMs = 10'000;
constexpr std::int64_t kMostQuotaSlack = 1'000'000'000;
constexpr std::int64_t kDefaultUsageWindowMs = 5'000;
constexpr std::int64_t kDefaultUsageLateMs = 10'000;

Milliseconds
ReadDuration(TomlReader& aReader, std::string_view aKey, std::int64_t aDefault)
{
  return Milliseconds{ aReader.OptionalInt(aKey, aDefault, kDurationBounds) };
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
  settings.mHost = HostId{ ReadName(reader, "host") };
  settings.mZone = AvailabilityZoneId{ ReadName(reader, "availability_zone") };
  for (const std::string& zone : reader.OptionalStrings("availability_zones")) {
    settings.mZones.emplace_back(zone);
  }
  settings.mListen = ReadEndpoint(reader, "listen");
  settings.mReadiness = ReadEndpoint(reader, "readiness_listen");
  settings.mPeerListen = ReadEndpoint(reader, "peer_listen");
  settings.mMetrics = ReadOptionalEndpoint(reader, "metrics_listen");
  settings.mStore = ReadEndpoint(reader, "store");
  settings.mCloud = ReadOptionalEndpoint(reader, "cloud");
  settings.mReportsUsage = reader.OptionalBool("report_usage", false);
  settings.mOrdersServers = reader.OptionalBool("order_servers", false);
  settings.mMostConnections = reader.OptionalInt(
    "most_connections", kDefaultMostConnections, { .mLeast = 1, .mMost = kMostOpenConnections });
  settings.mStopNotice = ReadDuration(reader, "stop_notice_ms", kDefaultStopNoticeMs);
  settings.mRevokeWithin = ReadDuration(reader, "revoke_within_ms", kDefaultRevokeMs);
  settings.mRetryRatio = reader.OptionalNumber("retry_ratio", kDefaultRetryRatio);
  settings.mRetrySlack = reader.OptionalInt(
    "retry_slack", kDefaultRetrySlack, { .mLeast = 0, .mMost = kMostRetrySlack });
  settings.mRetryWindow = ReadDuration(reader, "retry_window_ms", kDefaultRetryWindowMs);
  settings.mQuotaOverage = reader.OptionalNumber("quota_overage", 0);
  settings.mQuotaSlack =
    reader.OptionalInt("quota_slack", 0, { .mLeast = 0, .mMost = kMostQuotaSlack });
  settings.mUsageWindow = ReadDuration(reader, "usage_window_ms", kDefaultUsageWindowMs);
  settings.mUsageLateAfter = ReadDuration(reader, "usage_late_after_ms", kDefaultUsageLateMs);
  if (settings.mRetryRatio < 0 || settings.mRetryRatio > 1) {
    reader.Fault("retry_ratio", "must be between 0 and 1");
  }
  if (settings.mQuotaOverage < 0 || settings.mQuotaOverage > 1) {
    reader.Fault("quota_overage", "must be between 0 and 1");
  }
  if ((settings.mReportsUsage || settings.mOrdersServers) && !settings.mCloud.has_value()) {
    reader.Fault("cloud", "is needed to report usage or order servers");
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
