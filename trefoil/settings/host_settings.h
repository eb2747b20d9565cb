// The settings of one entry host.
//
//   absl::StatusOr<HostSettings> settings = ParseHostSettings(text, "host.toml");
//
// docs/CONFIGURATION.md lists every key with its unit and default.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

enum class LogLevel
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

inline constexpr NameTable<LogLevel, 4> kLogLevelNames{ {
  { LogLevel::kDebug, "debug" },
  { LogLevel::kInfo, "info" },
  { LogLevel::kWarning, "warning" },
  { LogLevel::kError, "error" },
} };

struct HostSettings
{
  HostId mHost;
  AvailabilityZoneId mZone;
  // Where callers and operators connect.
  Endpoint mListen;
  // Where other entry hosts send datagrams (UDP) and connect (TCP).
  Endpoint mPeerListen;
  Endpoint mStore;
  // The peer endpoints of other entry hosts to greet first.
  std::vector<Endpoint> mSeeds;
  std::int64_t mMaxConnections = 0;
  std::int64_t mMaxBodyBytes = 0;
  std::int64_t mIdleConnectionMilliseconds = 0;
  // The notice between SIGTERM and the end of the host.
  std::int64_t mStopNoticeMilliseconds = 0;
  // Authenticates tickets; the same on all entry hosts. Empty: the host mints and takes none.
  std::string mClusterSecret;
  LogLevel mLogLevel = LogLevel::kInfo;
};

// Parses the TOML text of a settings file. `aFile` names it in errors. Returns InvalidArgument with
// file, line and reason for an unknown key, a wrong type or a value out of range.
absl::StatusOr<HostSettings>
ParseHostSettings(std::string_view aText, std::string_view aFile);

// Reads and parses a settings file. Returns NotFound if it cannot be read.
absl::StatusOr<HostSettings>
ReadHostSettings(std::string_view aPath);

} // namespace trefoil
