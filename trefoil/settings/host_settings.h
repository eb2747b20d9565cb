// The settings of an entry host, parsed from a TOML file and validated.
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
  // The id of this entry host and its availability zone.
  HostId mHost;
  AvailabilityZoneId mZone;
  // The TCP endpoint for callers and operators.
  Endpoint mListen;
  // The endpoint for datagrams (UDP) and connections (TCP) of other entry hosts.
  Endpoint mPeerListen;
  // The endpoint of the key-value store.
  Endpoint mStore;
  // The peer endpoints of the entry hosts that this host contacts first to join the others.
  std::vector<Endpoint> mSeeds;
  // The maximum number of open client connections.
  std::int64_t mMaxConnections = 0;
  // The memory of the machine that the process may use, in bytes; 0 for what the system reports.
  std::int64_t mMemoryBytes = 0;
  // The maximum size of a request body.
  std::int64_t mMaxBodyBytes = 0;
  // The time after which an idle client connection is closed.
  std::int64_t mIdleConnectionMilliseconds = 0;
  // The time from SIGTERM until the host ends.
  std::int64_t mStopNoticeMilliseconds = 0;
  // The key that authenticates tickets; the same on all entry hosts. If it is empty, the host
  // neither mints nor accepts tickets.
  std::string mClusterSecret;
  LogLevel mLogLevel = LogLevel::kInfo;

  friend bool operator==(const HostSettings&, const HostSettings&) = default;
};

// Parses the TOML text of a settings file. `aFile` is the name of the file in error messages.
// Returns InvalidArgument with file, line, column and reason for an unknown key, and for a
// value that is missing, of the wrong type or out of range.
absl::StatusOr<HostSettings>
ParseHostSettings(std::string_view aText, std::string_view aFile);

// Reads and parses a settings file. Returns NotFound if the file cannot be opened, otherwise
// the errors of ParseHostSettings().
absl::StatusOr<HostSettings>
ReadHostSettings(std::string_view aPath);

} // namespace trefoil
