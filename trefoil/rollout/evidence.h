// What the requests of a service showed of its versions, by zone, route and time window.
//
//   Evidence evidence;
//   Add(evidence, report, aNow);
//   std::uint64_t requests = Requests(evidence, version, WindowAt(evidence, aNow));
//
// Versions are compared inside one zone, route and window only, so that a slow zone or a busy
// minute is not blamed on a version. Plain data and pure functions.
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

// The length of a window, and how many are kept.
inline constexpr Milliseconds kWindowLength{ 10'000 };
inline constexpr std::uint64_t kMaxWindows = 60;

// How an attempt ended, as far as it says something of the version that ran it.
enum class OutcomeKind
{
  kGood,
  // The backend server answered with an error, stalled or sent a broken answer.
  kError,
  // The connection broke while the backend server worked on it: a crash or a reclaim.
  kLost,
  // The backend server was leaving, took no connection, or the caller went: nobody's fault.
  kNotCounted,
};

inline constexpr NameTable<OutcomeKind, 4> kOutcomeKindNames{ {
  { OutcomeKind::kGood, "good" },
  { OutcomeKind::kError, "error" },
  { OutcomeKind::kLost, "lost" },
  { OutcomeKind::kNotCounted, "not_counted" },
} };

// The end of one attempt.
struct AttemptOutcome
{
  ServiceId mService;
  VersionId mVersion;
  AvailabilityZoneId mZone;
  BackendServerId mServer;
  std::string mRoute;
  OutcomeKind mKind = OutcomeKind::kGood;
  // Digest of client account and body: the same for a request that its caller sends again.
  std::uint64_t mRequestDigest = 0;
  // Milliseconds; below 0 if not known.
  double mFirstToken = -1;
  double mTokenGap = -1;
};

struct Tally
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
Add(Tally& aTally, const Tally& aOther);

// What one entry host saw since its last report of one version in one zone on one route.
struct ReportLine
{
  AvailabilityZoneId mZone;
  std::string mRoute;
  VersionId mVersion;
  Tally mTally;
  // Backend servers that broke a connection.
  std::vector<BackendServerId> mLost;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mZone, mRoute, mVersion, mTally, mLost);
  }
};

struct HealthReport
{
  HostId mHost;
  ServiceId mService;
  // Rises with each report of the host; a report is taken in once.
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
  std::map<StratumKey, std::map<VersionId, Tally>> mStrata;
  std::map<ZoneWindow, std::map<VersionId, std::set<BackendServerId>>> mLost;
  std::map<HostId, std::uint64_t> mSequences;
};

// Returns the window of a time.
std::uint64_t
WindowAt(const Evidence& aEvidence, Instant aNow);

// Takes in a report unless it is a repeat, and drops windows that are too old.
void
Add(Evidence& aEvidence, const HealthReport& aReport, Instant aNow);

// Returns the requests of a version since `aFromWindow`.
std::uint64_t
Requests(const Evidence& aEvidence, const VersionId& aVersion, std::uint64_t aFromWindow);

} // namespace trefoil
