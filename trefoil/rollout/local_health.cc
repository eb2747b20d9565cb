#include "trefoil/rollout/local_health.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace trefoil {
namespace {

// The baselines consist of the current and the previous generation.
constexpr Milliseconds kGenerationDuration{ 10'000 };
// A fault is detected when a sum exceeds this: fewer than one false alarm in exp(12) requests.
constexpr double kAlarmThreshold = 12;
// If the sum of the old versions reaches this, the cause is common to all versions.
constexpr double kCommonCauseThreshold = 3;
// Bounds of the error rate that is expected without a fault, and the increase that a fault causes.
constexpr double kMinErrorRate = 0.01;
constexpr double kMaxErrorRate = 0.5;
constexpr double kErrorRateIncrease = 0.15;
// The fraction of slow requests in a normal version and in one with a latency fault.
constexpr double kNormalSlowFraction = 0.15;
constexpr double kFaultySlowFraction = 0.5;
// A request is slow if it exceeds this quantile of the old versions' latencies times this
// factor.
constexpr double kSlowQuantile = 0.9;
constexpr double kSlowFactor = 1.2;
constexpr std::uint64_t kMinBaselineSamples = 50;

double
LogRatio(bool aBad, double aNormalRate, double aFaultyRate)
{
  return aBad ? std::log(aFaultyRate / aNormalRate)
              : std::log((1 - aFaultyRate) / (1 - aNormalRate));
}

void
Accumulate(double& aSum, bool aBad, double aNormalRate, double aFaultyRate)
{
  aSum = std::max(0.0, aSum + LogRatio(aBad, aNormalRate, aFaultyRate));
}

void
RotateBaseline(Baseline& aBaseline)
{
  aBaseline.mPrevious = aBaseline.mCurrent;
  aBaseline.mCurrent = {};
}

void
RotateGenerations(LocalHealth& aHealth, Instant aNow)
{
  if (!HasPassed(aHealth.mNextGenerationAt, aNow)) {
    return;
  }
  aHealth.mNextGenerationAt = aNow + kGenerationDuration;
  aHealth.mOldRequests /= 2;
  aHealth.mOldErrors /= 2;
  for (auto& [key, baselines] : aHealth.mBaselines) {
    RotateBaseline(baselines.mFirstToken);
    RotateBaseline(baselines.mTokenGap);
  }
}

// Returns whether a latency is slow relative to the old versions; std::nullopt if it was not
// measured or the baseline has fewer than kMinBaselineSamples samples.
std::optional<bool>
IsSlow(const Baseline& aBaseline, double aMilliseconds)
{
  if (aMilliseconds < 0) {
    return std::nullopt;
  }
  LatencyHistogram both = aBaseline.mCurrent;
  Merge(both, aBaseline.mPrevious);
  if (SampleCount(both) < kMinBaselineSamples) {
    return std::nullopt;
  }
  return aMilliseconds > Quantile(both, kSlowQuantile) * kSlowFactor;
}

// Returns the route under which an outcome is counted: `aRoute`, or "other" if kMaxTrackedRoutes
// other routes are tracked already.
std::string
TrackedRoute(LocalHealth& aHealth, const std::string& aRoute)
{
  if (aHealth.mTrackedRoutes.contains(aRoute) ||
      aHealth.mTrackedRoutes.size() < kMaxTrackedRoutes) {
    aHealth.mTrackedRoutes[aRoute] = true;
    return aRoute;
  }
  return "other";
}

// Records that a request failed. Returns whether a failure of it was recorded before.
bool
RecordFailure(LocalHealth& aHealth, std::uint64_t aDigest)
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

// Records a lost connection. Returns true for a crash: the server had lost a connection before
// and has served since. A reclaimed server does not come back.
bool
RecordServerLoss(LocalHealth& aHealth, const BackendServerId& aServer)
{
  const auto [found, isFirstLoss] = aHealth.mServedSinceLoss.try_emplace(aServer, false);
  const bool isCrash = !isFirstLoss && found->second;
  found->second = false;
  return isCrash;
}

// Whether an outcome is counted as a request, and whether as an error.
struct CountingDecision
{
  bool mCounts = false;
  bool mError = false;
};

CountingDecision
DecideCounting(LocalHealth& aHealth, const AttemptOutcome& aOutcome)
{
  switch (aOutcome.mKind) {
    case OutcomeKind::kGood: {
      const auto found = aHealth.mServedSinceLoss.find(aOutcome.mServer);
      if (found != aHealth.mServedSinceLoss.end()) {
        found->second = true;
      }
      return { .mCounts = true };
    }
    case OutcomeKind::kError: {
      const bool repeated = RecordFailure(aHealth, aOutcome.mRequestDigest);
      return { .mCounts = !repeated, .mError = !repeated };
    }
    case OutcomeKind::kLost: {
      const bool repeated = RecordFailure(aHealth, aOutcome.mRequestDigest);
      const bool isCrash = RecordServerLoss(aHealth, aOutcome.mServer) && !repeated;
      return { .mCounts = isCrash, .mError = isCrash };
    }
    case OutcomeKind::kNotCounted:
      break;
  }
  return {};
}

void
RecordInReport(LocalHealth& aHealth,
               const AttemptOutcome& aOutcome,
               const std::string& aRoute,
               CountingDecision aCounting)
{
  const VersionReportKey key{ .mZone = aOutcome.mZone,
                              .mRoute = aRoute,
                              .mVersion = aOutcome.mVersion };
  ReportLine& line = aHealth.mLines[key];
  line.mZone = key.mZone;
  line.mRoute = key.mRoute;
  line.mVersion = key.mVersion;
  if (aOutcome.mKind == OutcomeKind::kLost &&
      std::ranges::find(line.mLostServers, aOutcome.mServer) == line.mLostServers.end()) {
    line.mLostServers.push_back(aOutcome.mServer);
  }
  if (!aCounting.mCounts) {
    return;
  }
  ++line.mRequestStats.mRequests;
  line.mRequestStats.mErrors += aCounting.mError ? 1 : 0;
  if (aOutcome.mFirstToken >= 0) {
    RecordLatency(line.mRequestStats.mFirstToken, aOutcome.mFirstToken);
  }
  if (aOutcome.mTokenGap >= 0) {
    RecordLatency(line.mRequestStats.mTokenGap, aOutcome.mTokenGap);
  }
}

void
RecordInBaseline(LocalHealth& aHealth,
                 const AttemptOutcome& aOutcome,
                 Baselines& aBaselines,
                 bool aError)
{
  aHealth.mOldRequests += 1;
  aHealth.mOldErrors += aError ? 1 : 0;
  if (aOutcome.mFirstToken >= 0) {
    RecordLatency(aBaselines.mFirstToken.mCurrent, aOutcome.mFirstToken);
  }
  if (aOutcome.mTokenGap >= 0) {
    RecordLatency(aBaselines.mTokenGap.mCurrent, aOutcome.mTokenGap);
  }
}

VersionFault
DetectFault(const Cusums& aNew, const Cusums& aOld)
{
  if (aNew.mErrors > kAlarmThreshold && aOld.mErrors < kCommonCauseThreshold) {
    return VersionFault::kErrors;
  }
  if (aNew.mFirstToken > kAlarmThreshold && aOld.mFirstToken < kCommonCauseThreshold) {
    return VersionFault::kFirstToken;
  }
  if (aNew.mTokenGap > kAlarmThreshold && aOld.mTokenGap < kCommonCauseThreshold) {
    return VersionFault::kTokenGap;
  }
  return VersionFault::kNone;
}

// The inputs of one outcome to the sums; a latency without a value is skipped.
struct Observation
{
  bool mError = false;
  std::optional<bool> mSlowFirst;
  std::optional<bool> mSlowGap;
};

void
Accumulate(Cusums& aSums, const Observation& aObservation, double aBaselineErrorRate)
{
  Accumulate(aSums.mErrors,
             aObservation.mError,
             aBaselineErrorRate,
             aBaselineErrorRate + kErrorRateIncrease);
  if (aObservation.mSlowFirst.has_value()) {
    Accumulate(
      aSums.mFirstToken, *aObservation.mSlowFirst, kNormalSlowFraction, kFaultySlowFraction);
  }
  if (aObservation.mSlowGap.has_value()) {
    Accumulate(aSums.mTokenGap, *aObservation.mSlowGap, kNormalSlowFraction, kFaultySlowFraction);
  }
}

// Returns the error rate of a version without a fault: 1.5 times the rate of the old versions,
// clamped to kMinErrorRate and kMaxErrorRate.
double
BaselineErrorRate(const LocalHealth& aHealth)
{
  const double rate = aHealth.mOldRequests > 0 ? aHealth.mOldErrors / aHealth.mOldRequests : 0;
  return std::clamp(rate * 1.5, kMinErrorRate, kMaxErrorRate);
}

void
ResetCusums(LocalHealth& aHealth, const VersionId& aNewVersion)
{
  aHealth.mNewVersion = aNewVersion;
  aHealth.mNewSums.clear();
  aHealth.mOldSums.clear();
}

} // namespace

std::optional<Finding>
RecordOutcome(LocalHealth& aHealth,
              const AttemptOutcome& aOutcome,
              const VersionId& aNewVersion,
              Instant aNow)
{
  if (aNewVersion != aHealth.mNewVersion) {
    ResetCusums(aHealth, aNewVersion);
  }
  RotateGenerations(aHealth, aNow);
  const std::string route = TrackedRoute(aHealth, aOutcome.mRoute);
  const CountingDecision counting = DecideCounting(aHealth, aOutcome);
  RecordInReport(aHealth, aOutcome, route, counting);
  if (!counting.mCounts) {
    return std::nullopt;
  }
  Baselines& baselines = aHealth.mBaselines[{ .mZone = aOutcome.mZone, .mRoute = route }];
  const Observation observation{ .mError = counting.mError,
                                 .mSlowFirst = IsSlow(baselines.mFirstToken, aOutcome.mFirstToken),
                                 .mSlowGap = IsSlow(baselines.mTokenGap, aOutcome.mTokenGap) };
  const bool isNew = !aNewVersion.Empty() && aOutcome.mVersion == aNewVersion;
  auto& sums = isNew ? aHealth.mNewSums : aHealth.mOldSums;
  const double baselineErrorRate = BaselineErrorRate(aHealth);
  Finding finding;
  for (const std::string& scope :
       std::array<std::string, 3>{ "", "route " + route, "zone " + aOutcome.mZone.Value() }) {
    Accumulate(sums[scope], observation, baselineErrorRate);
    if (isNew && finding.mFault == VersionFault::kNone) {
      finding = { .mFault = DetectFault(sums[scope], aHealth.mOldSums[scope]), .mRoute = route };
    }
  }
  if (!isNew) {
    RecordInBaseline(aHealth, aOutcome, baselines, counting.mError);
  }
  if (finding.mFault == VersionFault::kNone) {
    return std::nullopt;
  }
  ResetCusums(aHealth, aNewVersion);
  return finding;
}

VersionHealthReport
TakeReport(LocalHealth& aHealth, const HostId& aHost, const ServiceId& aService)
{
  VersionHealthReport report{ .mHost = aHost,
                              .mService = aService,
                              .mSequence = ++aHealth.mSequence };
  for (auto& [key, line] : aHealth.mLines) {
    report.mLines.push_back(std::move(line));
  }
  aHealth.mLines.clear();
  return report;
}

} // namespace trefoil
