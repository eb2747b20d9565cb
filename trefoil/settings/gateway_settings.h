// The settings file of trefoil-gateway, checked.
//
//   absl::StatusOr<GatewaySettings> settings = ReadGatewaySettings("gateway.toml");
//
// docs/CONFIGURATION.md describes each key.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

struct GatewaySettings
{
  HostId mHost;
  AvailabilityZoneId mZone;
  std::vector<AvailabilityZoneId> mZones;
  Endpoint mListen;
  Endpoint mReadiness;
  Endpoint mPeerListen;
  std::optional<Endpoint> mMetrics;
  Endpoint mStore;
  // Where duties are carried out; nothing if the platform asks for none.
  std::optional<Endpoint> mCloud;
  bool mReportsUsage = false;
  bool mOrdersServers = false;
  std::int64_t mMaxConnections = 0;
  // How long the process may take to stop.
  Milliseconds mStopNotice{ 0 };
  // Keys that were taken away must be refused after this.
  Milliseconds mRevokeWithin{ 0 };
  double mRetryRatio = 0;
  double mRetrySlack = 0;
  Milliseconds mRetryWindow{ 0 };
  // What the platform allows beyond a quota: a part of its rate, and tokens (or requests) in a
  // window.
  double mQuotaOverage = 0;
  double mQuotaSlack = 0;
  Milliseconds mUsageWindow{ 0 };
  Milliseconds mUsageLateAfter{ 0 };

  friend bool operator==(const GatewaySettings&, const GatewaySettings&) = default;
};

// Parses the text of a settings file. `aFile` names it in errors. Returns InvalidArgument with
// file, line and column for a value that is missing, wrong or unknown.
absl::StatusOr<GatewaySettings>
ParseGatewaySettings(std::string_view aText, std::string_view aFile);

// Returns NotFound if the file cannot be read.
absl::StatusOr<GatewaySettings>
ReadGatewaySettings(std::string_view aPath);

} // namespace trefoil
