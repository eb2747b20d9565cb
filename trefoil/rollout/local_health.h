// Detection of a faulty new version by one entry host within a few requests, and the host's
// health reports.
//
//   LocalHealth health;
//   if (const auto fault = RecordOutcome(health, outcome, newVersion, aNow)) {
//     ... stop the version ...
//   }
//   VersionHealthReport report = TakeReport(health, host, service);
//
// Detects faults by CUSUM (Page, "Continuous Inspection Schemes", 1954) relative to the old
// versions at the same time. A problem that also affects the old versions is not attributed to
// the new one. Plain data and pure functions, one LocalHealth for each service.
#pragma once

#include "trefoil/rollout/assessment.h"
#include "trefoil/rollout/evidence.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace trefoil {

// Routes beyond this number are counted together.
inline constexpr std::size_t kMaxTrackedRoutes = 16;
inline constexpr std::size_t kMaxFailedDigests = 512;

// Cumulative sums of log-likelihood ratios, clamped at 0. A sum stays near 0 without a fault.
struct Cusums
{
  double mErrors = 0;
  double mFirstToken = 0;
  double mTokenGap = 0;
};

// Recent latencies of the old versions: the current and the previous generation.
struct Baseline
{
  LatencyHistogram mCurrent;
  LatencyHistogram mPrevious;
};

struct ZoneRoute
{
  AvailabilityZoneId mZone;
  std::string mRoute;

  friend auto operator<=>(const ZoneRoute&, const ZoneRoute&) = default;
};

struct Baselines
{
  Baseline mFirstToken;
  Baseline mTokenGap;
};

struct VersionReportKey
{
  AvailabilityZoneId mZone;
  std::string mRoute;
  VersionId mVersion;

  friend auto operator<=>(const VersionReportKey&, const VersionReportKey&) = default;
};

struct LocalHealth
{
  // By scope: "" for all requests, "route <name>" or "zone <name>".
  std::map<std::string, Cusums> mNewSums;
  std::map<std::string, Cusums> mOldSums;
  VersionId mNewVersion;
  std::map<ZoneRoute, Baselines> mBaselines;
  Instant mNextGenerationAt;
  // Requests and errors of the old versions; both are halved with each generation.
  double mOldRequests = 0;
  double mOldErrors = 0;
  std::map<VersionReportKey, ReportLine> mLines;
  std::uint64_t mSequence = 0;
  // Servers that lost a connection, and whether each has served a request since.
  std::map<BackendServerId, bool> mServedSinceLoss;
  // Digests of requests that have failed, newest last.
  std::deque<std::uint64_t> mFailedDigests;
  std::map<std::string, bool> mTrackedRoutes;
};

// Records an outcome. Returns the fault of `aNewVersion` once it is detected, otherwise
// std::nullopt. `aNewVersion` is empty while no version is moving.
std::optional<Finding>
RecordOutcome(LocalHealth& aHealth,
              const AttemptOutcome& aOutcome,
              const VersionId& aNewVersion,
              Instant aNow);

// Returns the statistics since the last report and clears them.
VersionHealthReport
TakeReport(LocalHealth& aHealth, const HostId& aHost, const ServiceId& aService);

} // namespace trefoil
