// How one entry host notices a fault of a new version within a few requests, and what it reports.
//
//   LocalHealth health;
//   if (const auto fault = Add(health, outcome, newVersion, aNow)) { ... stop sending to it ... }
//   HealthReport report = TakeReport(health, host, service);
//
// Faults are found by CUSUM (Page, "Continuous Inspection Schemes", 1954) against the other
// versions of the same moment; what the other versions suffer as well is not blamed on the new one.
// Plain data and pure functions, one LocalHealth for each service.
#pragma once

#include "trefoil/rollout/assessment.h"
#include "trefoil/rollout/evidence.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace trefoil {

// Routes beyond so many are counted together.
inline constexpr std::size_t kMaxRoutes = 16;
inline constexpr std::size_t kMaxFailedDigests = 512;

// Sums of log-likelihood ratios, zero while all is well.
struct Cusums
{
  double mErrors = 0;
  double mFirstToken = 0;
  double mTokenGap = 0;
};

// Recent latencies of the old versions, in two generations.
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

struct LineKey
{
  AvailabilityZoneId mZone;
  std::string mRoute;
  VersionId mVersion;

  friend auto operator<=>(const LineKey&, const LineKey&) = default;
};

struct LocalHealth
{
  // By scope: "", a route or a zone.
  std::map<std::string, Cusums> mNew;
  std::map<std::string, Cusums> mOld;
  VersionId mNewVersion;
  std::map<ZoneRoute, Baselines> mBaselines;
  Instant mNextGenerationAt;
  // Requests and errors of the old versions, halved with each generation.
  double mOldRequests = 0;
  double mOldErrors = 0;
  std::map<LineKey, ReportLine> mLines;
  std::uint64_t mSequence = 0;
  // Servers that broke a connection, and whether they have served since.
  std::map<BackendServerId, bool> mLostServers;
  // Requests that failed already, newest last.
  std::deque<std::uint64_t> mFailedDigests;
  std::map<std::string, bool> mRoutes;
};

// Takes in an outcome. Returns the fault of `aNewVersion` that has become sure; `aNewVersion` is
// empty while no version moves.
std::optional<Finding>
Add(LocalHealth& aHealth,
    const AttemptOutcome& aOutcome,
    const VersionId& aNewVersion,
    Instant aNow);

// Returns what was seen since the last report.
HealthReport
TakeReport(LocalHealth& aHealth, const HostId& aHost, const ServiceId& aService);

} // namespace trefoil
