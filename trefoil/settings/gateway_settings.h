// The settings of trefoil-gateway, parsed from a TOML file and validated.
//
//   absl::StatusOr<GatewaySettings> settings = ReadGatewaySettings("gateway.toml");
//
// docs/CONFIGURATION.md describes each key.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

struct GatewaySettings
{
  // The id of this entry host and its availability zone.
  HostId mHost;
  AvailabilityZoneId mZone;
  // The availability zones in which servers may be ordered.
  std::vector<AvailabilityZoneId> mZones;
  // The region of this host, empty if it is not stated, and of the zones.
  RegionId mRegion;
  std::map<AvailabilityZoneId, RegionId> mZoneRegions;
  // The endpoint for client requests.
  Endpoint mListen;
  // The endpoint for readiness checks.
  Endpoint mReadiness;
  // The UDP endpoint for messages of other entry hosts.
  Endpoint mPeerListen;
  // The endpoint for metrics; std::nullopt disables metrics.
  std::optional<Endpoint> mMetrics;
  // The endpoint of the key-value store.
  Endpoint mStore;
  // The endpoint of the cloud API that duties call; std::nullopt if this host performs no such
  // duty.
  std::optional<Endpoint> mCloud;
  // Whether this host campaigns for the duty to report usage, and for the duty to order servers.
  bool mReportsUsage = false;
  bool mOrdersServers = false;
  // The maximum number of open connections of the process.
  std::int64_t mMaxConnections = 0;
  // The descriptors that the process may open, 0 for what the system permits, and those of them
  // that are kept for what is no connection of a client or to a server.
  std::int64_t mMaxDescriptors = 0;
  std::int64_t mReservedDescriptors = 0;
  // The memory of the machine that the process may use, in bytes; 0 for what the system reports.
  std::int64_t mMemoryBytes = 0;
  // The time from the stop signal until the process must have ended.
  Milliseconds mStopNotice{ 0 };
  // The time after which a revoked API key must be rejected.
  Milliseconds mRevokeWithin{ 0 };
  // The time after which a server that leaves must receive no more requests.
  Milliseconds mDrainWithin{ 0 };
  // The time after an outage of the store or of the network from which these bounds apply again.
  Milliseconds mSettleWithin{ 0 };
  // The retry budget of a service over all entry hosts: the permitted retries in a window are
  // mRetryRatio times the requests in the window, plus mRetrySlack.
  double mRetryRatio = 0;
  double mRetrySlack = 0;
  Milliseconds mRetryWindow{ 0 };
  // By how much sooner an answer from another availability zone must begin to be worth the price of
  // the traffic between zones; std::nullopt if servers are chosen without regard to that.
  std::optional<Milliseconds> mZoneCrossingCost;
  // The permitted excess over a quota: a fraction of its rate, and a number of tokens (or
  // requests) in a window.
  double mQuotaOverage = 0;
  double mQuotaSlack = 0;
  // The length of the windows in which usage is counted and reported.
  Milliseconds mUsageWindow{ 0 };
  // The time after the end of a window at which its usage report is no longer sent.
  Milliseconds mUsageLateAfter{ 0 };

  friend bool operator==(const GatewaySettings&, const GatewaySettings&) = default;
};

// Parses the TOML text of a settings file. `aFile` is the name of the file in error messages.
// Returns InvalidArgument with file, line and column for an unknown key and for a value that is
// missing, of the wrong type or out of range.
absl::StatusOr<GatewaySettings>
ParseGatewaySettings(std::string_view aText, std::string_view aFile);

// Reads and parses a settings file. Returns NotFound if the file cannot be opened, otherwise
// the errors of ParseGatewaySettings().
absl::StatusOr<GatewaySettings>
ReadGatewaySettings(std::string_view aPath);

} // namespace trefoil
