#include "trefoil/settings/host_settings.h"

#include "trefoil/settings/common_settings.h"
#include "trefoil/settings/toml_reader.h"

namespace trefoil {
namespace {

constexpr std::int64_t kDefaultMaxConnections = 2000;
constexpr std::int64_t kDefaultMaxBodyBytes = 4 << 20;
constexpr std::int64_t kMaxBodyBytesLimit = 64 << 20;
constexpr std::int64_t kDefaultIdleConnectionMilliseconds = 15'000;
constexpr std::int64_t kDefaultStopNoticeMilliseconds = 25'000;
constexpr std::size_t kMinSecretBytes = 16;
constexpr std::int64_t kMaxDurationMilliseconds = 3'600'000;

LogLevel
ReadLogLevel(TomlReader& aReader)
{
  const auto level = ValueOf(kLogLevelNames, aReader.OptionalString("log_level", "info"));
  if (!level.has_value()) {
    aReader.RecordError("log_level", "must be debug, info, warning or error");
    return LogLevel::kInfo;
  }
  return *level;
}

std::string
ReadClusterSecret(TomlReader& aReader)
{
  std::string secret = aReader.OptionalString("cluster_secret", "");
  if (!secret.empty() && secret.size() < kMinSecretBytes) {
    aReader.RecordError("cluster_secret", "must have at least 16 bytes");
  }
  return secret;
}

} // namespace

absl::StatusOr<HostSettings>
ParseHostSettings(std::string_view aText, std::string_view aFile)
{
  const auto document = ParseToml(aText, aFile);
  if (!document.ok()) {
    return document.status();
  }
  TomlReader reader = document->Root();
  HostSettings settings;
  settings.mHost = HostId{ ReadNonEmptyString(reader, "host") };
  settings.mZone = AvailabilityZoneId{ ReadNonEmptyString(reader, "availability_zone") };
  settings.mListen = ReadEndpoint(reader, "listen");
  settings.mPeerListen = ReadEndpoint(reader, "peer_listen");
  settings.mStore = ReadEndpoint(reader, "store");
  settings.mSeeds = ReadEndpoints(reader, "seeds");
  settings.mMaxConnections =
    reader.OptionalInt("most_connections", kDefaultMaxConnections, { .mMin = 1, .mMax = 20'000 });
  settings.mMemoryBytes = ReadMemoryBytes(reader, "memory_mb");
  settings.mMaxBodyBytes = reader.OptionalInt(
    "most_body_bytes", kDefaultMaxBodyBytes, { .mMin = 1024, .mMax = kMaxBodyBytesLimit });
  settings.mIdleConnectionMilliseconds =
    reader.OptionalInt("idle_connection_ms",
                       kDefaultIdleConnectionMilliseconds,
                       { .mMin = 10, .mMax = kMaxDurationMilliseconds });
  settings.mStopNoticeMilliseconds =
    reader.OptionalInt("stop_notice_ms",
                       kDefaultStopNoticeMilliseconds,
                       { .mMin = 0, .mMax = kMaxDurationMilliseconds });
  settings.mClusterSecret = ReadClusterSecret(reader);
  settings.mLogLevel = ReadLogLevel(reader);
  const absl::Status status = reader.Finish();
  if (!status.ok()) {
    return status;
  }
  return settings;
}

absl::StatusOr<HostSettings>
ReadHostSettings(std::string_view aPath)
{
  const auto text = ReadSettingsFile(aPath);
  if (!text.ok()) {
    return text.status();
  }
  return ParseHostSettings(*text, aPath);
}

} // namespace trefoil
