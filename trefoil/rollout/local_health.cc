#include "trefoil/rollout/local_health.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace trefoil {
namespace {

constexpr Milliseconds kGeneration{ 10'000 };
// A fault is sure when a sum passes this: less than one false alarm in exp(12) requests.
constexpr double kAlarm = 12;
// A sum of the old versions over this says that the cause lies elsewhere.
constexpr double kElsewhere = 3;
constexpr double kMinErrorRate = 0.01;
constexpr double kMaxErrorRate = 0.5;
constexpr double kErrorRise = 0.15;
// The share of slow requests that is normal, and the one of a version that is too slow.
constexpr double kNormalSlow = 0.15;
constexpr double kFaultySlow = 0.5;
// A request is slow if it takes longer than this quantile of the old versions by this factor.
constexpr double kSlowQuantile = 0.9;
constexpr double kSlowFactor = 1.2;
constexpr std::uint64_t kMinBaseline = 50;

double
LogRatio(bool aBad, double aNormal, double aFaulty)
{
  return aBad ? std::log(aFaulty / aNormal) : std::log((1 - aFaulty) / (1 - aNormal));
}

void
Accumulate(double& aSum, bool aBad, double aNormal, double aFaulty)
{
  aSum = std::max(0.0, aSum + LogRatio(aBad, aNormal, aFaulty));
}

void
Turn(Baseline& aBaseline)
{
  aBaseline.mPrevious = aBaseline.mCurrent;
  aBaseline.mCurrent = {};
}

void
TurnGeneration(LocalHealth& aHealth, Instant aNow)
{
  if (!HasPassed(aHealth.mNextGenerationAt, aNow)) {
    return;
  }
  aHealth.mNextGenerationAt = aNow + kGeneration;
  aHealth.mOldRequests /= 2;
  aHealth.mOldErrors /= 2;
  for (auto& [key, baselines] : aHealth.mBaselines) {
    Turn(baselines.mFirstToken);
    Turn(baselines.mTokenGap);
  }
}

// Returns whether a latency is slow against the old versions, nothing if too few are known.
std::optional<bool>
IsSlow(const Baseline& aBaseline, double aMilliseconds)
{
  if (aMilliseconds < 0) {
    return std::nullopt;
  }
  LatencyHistogram both = aBaseline.mCurrent;
  Add(both, aBaseline.mPrevious);
  if (Total(both) < kMinBaseline) {
    return std::nullopt;
  }
  return aMilliseconds > Quantile(both, kSlowQuantile) * kSlowFactor;
}

std::string
RouteOf(LocalHealth& aHealth, const std::string& aRoute)
{
  if (aHealth.mRoutes.contains(aRoute) || aHealth.mRoutes.size() < kMaxRoutes) {
    aHealth.mRoutes[aRoute] = true;
    return aRoute;
  }
  return "other";
}

// Returns whether the request failed before, and remembers that it failed.
bool
FailedBefore(LocalHealth& aHealth, std::uint64_t aDigest)
{
  if (std::ranges::find(aHealth.mFailedDigests, aDigest) != aHealth.mFailedDigests.end()) {
    return true;
  }
  aHealth.mFailedDigests.push_back(aDigest);
  if (aHealth.mFailedDigests.size() > kMaxFailedDigests) {
    aHealth.mFailedDigests.pop_front();
  }
  return false;
}

// Returns whether a lost connection is a crash: a reclaimed server does not come back.
bool
IsCrash(LocalHealth& aHealth, const BackendServerId& aServer)
{
  const auto [found, added] = aHealth.mLostServers.try_emplace(aServer, false);
  const bool crash = !added && found->second;
  found->second = false;
  return crash;
}

// What an outcome counts as.
struct Counted
{
  bool mCounts = false;
  bool mError = false;
};

Counted
CountedAs(LocalHealth& aHealth, const AttemptOutcome& aOutcome)
{
  switch (aOutcome.mKind) {
    case OutcomeKind::kGood: {
      const auto found = aHealth.mLostServers.find(aOutcome.mServer);
      if (found != aHealth.mLostServers.end()) {
        found->second = true;
      }
      return { .mCounts = true };
    }
    case OutcomeKind::kError: {
      const bool again = FailedBefore(aHealth, aOutcome.mRequestDigest);
      return { .mCounts = !again, .mError = !again };
    }
    case OutcomeKind::kLost: {
      const bool again = FailedBefore(aHealth, aOutcome.mRequestDigest);
      const bool crash = IsCrash(aHealth, aOutcome.mServer) && !again;
      return { .mCounts = crash, .mError = crash };
    }
    case OutcomeKind::kNotCounted:
      break;
  }
  return {};
}

void
Record(LocalHealth& aHealth, const AttemptOutcome& aOutcome, const std::string& aRoute, Counted aAs)
{
  const LineKey key{ .mZone = aOutcome.mZone, .mRoute = aRoute, .mVersion = aOutcome.mVersion };
  ReportLine& line = aHealth.mLines[key];
  line.mZone = key.mZone;
  line.mRoute = key.mRoute;
  line.mVersion = key.mVersion;
  if (aOutcome.mKind == OutcomeKind::kLost &&
      std::ranges::find(line.mLost, aOutcome.mServer) == line.mLost.end()) {
    line.mLost.push_back(aOutcome.mServer);
  }
  if (!aAs.mCounts) {
    return;
  }
  ++line.mTally.mRequests;
  line.mTally.mErrors += aAs.mError ? 1 : 0;
  if (aOutcome.mFirstToken >= 0) {
    Add(line.mTally.mFirstToken, aOutcome.mFirstToken);
  }
  if (aOutcome.mTokenGap >= 0) {
    Add(line.mTally.mTokenGap, aOutcome.mTokenGap);
  }
}

void
RecordBaseline(LocalHealth& aHealth,
               const AttemptOutcome& aOutcome,
               Baselines& aBaselines,
               bool aError)
{
  aHealth.mOldRequests += 1;
  aHealth.mOldErrors += aError ? 1 : 0;
  if (aOutcome.mFirstToken >= 0) {
    Add(aBaselines.mFirstToken.mCurrent, aOutcome.mFirstToken);
  }
  if (aOutcome.mTokenGap >= 0) {
    Add(aBaselines.mTokenGap.mCurrent, aOutcome.mTokenGap);
  }
}

VersionFault
FaultIn(const Cusums& aNew, const Cusums& aOld)
{
  if (aNew.mErrors > kAlarm && aOld.mErrors < kElsewhere) {
    return VersionFault::kErrors;
  }
  if (aNew.mFirstToken > kAlarm && aOld.mFirstToken < kElsewhere) {
    return VersionFault::kFirstToken;
  }
  if (aNew.mTokenGap > kAlarm && aOld.mTokenGap < kElsewhere) {
    return VersionFault::kTokenGap;
  }
  return VersionFault::kNone;
}

// One outcome as the sums see it.
struct Signs
{
  bool mError = false;
  std::optional<bool> mSlowFirst;
  std::optional<bool> mSlowGap;
};

void
Accumulate(Cusums& aSums, const Signs& aSigns, double aNormalErrors)
{
  Accumulate(aSums.mErrors, aSigns.mError, aNormalErrors, aNormalErrors + kErrorRise);
  if (aSigns.mSlowFirst.has_value()) {
    Accumulate(aSums.mFirstToken, *aSigns.mSlowFirst, kNormalSlow, kFaultySlow);
  }
  if (aSigns.mSlowGap.has_value()) {
    Accumulate(aSums.mTokenGap, *aSigns.mSlowGap, kNormalSlow, kFaultySlow);
  }
}

double
NormalErrors(const LocalHealth& aHealth)
{
  const double rate = aHealth.mOldRequests > 0 ? aHealth.mOldErrors / aHealth.mOldRequests : 0;
  return std::clamp(rate * 1.5, kMinErrorRate, kMaxErrorRate);
}

void
StartOver(LocalHealth& aHealth, const VersionId& aNewVersion)
{
  aHealth.mNewVersion = aNewVersion;
  aHealth.mNew.clear();
  aHealth.mOld.clear();
}

} // namespace

std::optional<Finding>
Add(LocalHealth& aHealth,
    const AttemptOutcome& aOutcome,
    const VersionId& aNewVersion,
    Instant aNow)
{
  if (aNewVersion != aHealth.mNewVersion) {
    StartOver(aHealth, aNewVersion);
  }
  TurnGeneration(aHealth, aNow);
  const std::string route = RouteOf(aHealth, aOutcome.mRoute);
  const Counted as = CountedAs(aHealth, aOutcome);
  Record(aHealth, aOutcome, route, as);
  if (!as.mCounts) {
    return std::nullopt;
  }
  Baselines& baselines = aHealth.mBaselines[{ .mZone = aOutcome.mZone, .mRoute = route }];
  const Signs signs{ .mError = as.mError,
                     .mSlowFirst = IsSlow(baselines.mFirstToken, aOutcome.mFirstToken),
                     .mSlowGap = IsSlow(baselines.mTokenGap, aOutcome.mTokenGap) };
  const bool isNew = !aNewVersion.Empty() && aOutcome.mVersion == aNewVersion;
  auto& sums = isNew ? aHealth.mNew : aHealth.mOld;
  const double normalErrors = NormalErrors(aHealth);
  Finding finding;
  for (const std::string& scope :
       std::array<std::string, 3>{ "", "route " + route, "zone " + aOutcome.mZone.Value() }) {
    Accumulate(sums[scope], signs, normalErrors);
    if (isNew && finding.mFault == VersionFault::kNone) {
      finding = { .mFault = FaultIn(sums[scope], aHealth.mOld[scope]), .mRoute = route };
    }
  }
  if (!isNew) {
    RecordBaseline(aHealth, aOutcome, baselines, as.mError);
  }
  if (finding.mFault == VersionFault::kNone) {
    return std::nullopt;
  }
  StartOver(aHealth, aNewVersion);
  return finding;
}

HealthReport
TakeReport(LocalHealth& aHealth, const HostId& aHost, const ServiceId& aService)
{
  HealthReport report{ .mHost = aHost, .mService = aService, .mSequence = ++aHealth.mSequence };
  for (auto& [key, line] : aHealth.mLines) {
    report.mLines.push_back(std::move(line));
  }
  aHealth.mLines.clear();
  return report;
}

} // namespace trefoil
