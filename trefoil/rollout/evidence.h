// Request statistics of the versions of one service, by availability zone, route and time
// window.
//
//   Evidence evidence;
//   ApplyHealthReport(evidence, report, aNow);
//   std::uint64_t requests = RequestCount(evidence, version, WindowAt(evidence, aNow));
//
// Versions are compared only within the same zone, route and window, so that a slow zone or a
// busy minute is not attributed to a version. Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/rollout/latency_histogram.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace trefoil {

// The length of a window. A window is removed once it is more than kMaxWindows windows old.
inline constexpr Milliseconds kWindowDuration{ 10'000 };
inline constexpr std::uint64_t kMaxWindows = 60;

// The end of an attempt, classified by what it says about the version that served it.
enum class OutcomeKind
{
  kGood,
  // The backend server returned an error, stalled or sent a malformed response.
  kError,
  // The connection was lost while the backend server processed the request, because the server
  // crashed or was reclaimed.
  kLost,
  // The version is not at fault: the backend server was leaving or refused the connection, or
  // the caller disconnected.
  kNotCounted,
};

inline constexpr NameTable<OutcomeKind, 4> kOutcomeKindNames{ {
  { OutcomeKind::kGood, "good" },
  { OutcomeKind::kError, "error" },
  { OutcomeKind::kLost, "lost" },
  { OutcomeKind::kNotCounted, "not_counted" },
} };

// The result of one attempt.
struct AttemptOutcome
{
  ServiceId mService;
  VersionId mVersion;
  AvailabilityZoneId mZone;
  BackendServerId mServer;
  std::string mRoute;
  OutcomeKind mKind = OutcomeKind::kGood;
  // Digest of client account and body, which is the same when the caller repeats the request.
  std::uint64_t mRequestDigest = 0;
  // Time to the first token and time between tokens in milliseconds; negative if not measured.
  double mFirstToken = -1;
  double mTokenGap = -1;
};

struct VersionRequestStats
{
  std::uint32_t mRequests = 0;
  std::uint32_t mErrors = 0;
  LatencyHistogram mFirstToken;
  LatencyHistogram mTokenGap;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequests, mErrors, mFirstToken, mTokenGap);
  }
};

void
Merge(VersionRequestStats& aStats, const VersionRequestStats& aOther);

// The statistics of one version in one zone on one route, as collected by one entry host since
// its last report.
struct ReportLine
{
  AvailabilityZoneId mZone;
  std::string mRoute;
  VersionId mVersion;
  VersionRequestStats mRequestStats;
  // Backend servers whose connection was lost.
  std::vector<BackendServerId> mLostServers;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mZone, mRoute, mVersion, mRequestStats, mLostServers);
  }
};

struct VersionHealthReport
{
  HostId mHost;
  ServiceId mService;
  // Increases with each report of the host. A report is applied only once.
  std::uint64_t mSequence = 0;
  std::vector<ReportLine> mLines;
};

struct StratumKey
{
  std::uint64_t mWindow = 0;
  AvailabilityZoneId mZone;
  std::string mRoute;

  friend auto operator<=>(const StratumKey&, const StratumKey&) = default;
};

struct ZoneWindow
{
  std::uint64_t mWindow = 0;
  AvailabilityZoneId mZone;

  friend auto operator<=>(const ZoneWindow&, const ZoneWindow&) = default;
};

struct Evidence
{
  Instant mStart;
  std::map<StratumKey, std::map<VersionId, VersionRequestStats>> mStrata;
  std::map<ZoneWindow, std::map<VersionId, std::set<BackendServerId>>> mLostServers;
  std::map<HostId, std::uint64_t> mLastSequences;
};

// Returns the number of the window that contains `aNow`.
std::uint64_t
WindowAt(const Evidence& aEvidence, Instant aNow);

// Applies a report to the current window and removes expired windows. A report whose sequence
// number is not above the host's last one is a duplicate and is ignored.
void
ApplyHealthReport(Evidence& aEvidence, const VersionHealthReport& aReport, Instant aNow);

// Returns the number of requests that the version served in `aFromWindow` and later windows.
std::uint64_t
RequestCount(const Evidence& aEvidence, const VersionId& aVersion, std::uint64_t aFromWindow);

} // namespace trefoil
