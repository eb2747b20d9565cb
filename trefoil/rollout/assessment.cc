#include "trefoil/rollout/assessment.h"

#include "trefoil/rollout/comparison.h"

#include <algorithm>
#include <set>

namespace trefoil {
namespace {

// P-values below which a fault counts as confirmed, and as suspected. The first one is small
// because one move repeats the tests often: a thousand assessments of a dozen tests each.
constexpr double kConfirmedPValue = 1e-6;
constexpr double kSuspectedPValue = 0.01;
// Smaller effects are not reported as faults, however significant they are.
constexpr double kMinErrorDifference = 0.005;
constexpr double kMinSlowdownEffect = 0.08;
// The number of newest windows that are tested separately, to find a fault that appears late.
constexpr std::uint64_t kRecentWindows = 3;
// A wave of reclaims removes servers within one window, while a version that crashes loses
// servers in several windows.
constexpr int kMinLossWindows = 3;

// Selects the strata of one route, or of all routes if mRoute is empty, from a window on.
struct StrataFilter
{
  VersionId mVersion;
  std::uint64_t mFromWindow = 0;
  std::string mRoute;
};

struct VersionRequestStatsPair
{
  const VersionRequestStats* mNew = nullptr;
  VersionRequestStats mOld;
};

std::vector<VersionRequestStatsPair>
SelectPairs(const Evidence& aEvidence, const StrataFilter& aFilter)
{
  std::vector<VersionRequestStatsPair> pairs;
  for (const auto& [key, versions] : aEvidence.mStrata) {
    const auto found = versions.find(aFilter.mVersion);
    const bool isSelected = key.mWindow >= aFilter.mFromWindow &&
                            (aFilter.mRoute.empty() || aFilter.mRoute == key.mRoute);
    if (!isSelected || found == versions.end()) {
      continue;
    }
    VersionRequestStatsPair& pair =
      pairs.emplace_back(VersionRequestStatsPair{ .mNew = &found->second });
    for (const auto& [version, stats] : versions) {
      if (version != aFilter.mVersion) {
        Merge(pair.mOld, stats);
      }
    }
  }
  return pairs;
}

TestResult
CompareErrorCounts(const std::vector<VersionRequestStatsPair>& aPairs)
{
  std::vector<CountPair> strata;
  for (const VersionRequestStatsPair& pair : aPairs) {
    strata.push_back({ .mNewTotal = pair.mNew->mRequests,
                       .mNewFailures = pair.mNew->mErrors,
                       .mOldTotal = pair.mOld.mRequests,
                       .mOldFailures = pair.mOld.mErrors });
  }
  return CompareCounts(strata);
}

TestResult
CompareLatencyHistograms(const std::vector<VersionRequestStatsPair>& aPairs,
                         LatencyHistogram VersionRequestStats::*aHistogram)
{
  std::vector<HistogramPair> strata;
  strata.reserve(aPairs.size());
  for (const VersionRequestStatsPair& pair : aPairs) {
    strata.push_back({ .mNew = &(pair.mNew->*aHistogram), .mOld = pair.mOld.*aHistogram });
  }
  return CompareLatencies(strata);
}

void
UpdateFindings(Assessment& aAssessment,
               Finding aFinding,
               const TestResult& aResult,
               double aMinEffect)
{
  if (aResult.mEffect < aMinEffect || aResult.mPValue > kSuspectedPValue) {
    return;
  }
  aFinding.mPValue = aResult.mPValue;
  aFinding.mEffect = aResult.mEffect;
  if (aResult.mPValue < aAssessment.mSuspected.mPValue) {
    aAssessment.mSuspected = aFinding;
  }
  if (aResult.mPValue < kConfirmedPValue && aResult.mPValue < aAssessment.mConfirmed.mPValue) {
    aAssessment.mConfirmed = aFinding;
  }
}

void
AssessStrata(Assessment& aAssessment, const Evidence& aEvidence, const StrataFilter& aFilter)
{
  const auto pairs = SelectPairs(aEvidence, aFilter);
  const auto finding = [&aFilter](VersionFault aFault) {
    return Finding{ .mFault = aFault, .mRoute = aFilter.mRoute };
  };
  UpdateFindings(
    aAssessment, finding(VersionFault::kErrors), CompareErrorCounts(pairs), kMinErrorDifference);
  UpdateFindings(aAssessment,
                 finding(VersionFault::kFirstToken),
                 CompareLatencyHistograms(pairs, &VersionRequestStats::mFirstToken),
                 kMinSlowdownEffect);
  UpdateFindings(aAssessment,
                 finding(VersionFault::kTokenGap),
                 CompareLatencyHistograms(pairs, &VersionRequestStats::mTokenGap),
                 kMinSlowdownEffect);
}

// Compares how many servers of each version lost a connection per window, zone by zone.
void
AssessServerLosses(Assessment& aAssessment,
                   const Evidence& aEvidence,
                   const AssessOptions& aOptions)
{
  std::vector<CountPair> strata;
  int lossWindows = 0;
  for (const auto& [key, lost] : aEvidence.mLostServers) {
    const auto servers = aOptions.mServers.find(key.mZone);
    if (servers == aOptions.mServers.end()) {
      continue;
    }
    CountPair pair;
    for (const auto& [version, count] : servers->second) {
      const auto found = lost.find(version);
      const std::uint64_t failures =
        found == lost.end() ? 0 : std::min(count, found->second.size());
      const bool isNew = version == aOptions.mVersion;
      (isNew ? pair.mNewTotal : pair.mOldTotal) += count;
      (isNew ? pair.mNewFailures : pair.mOldFailures) += failures;
    }
    lossWindows += pair.mNewFailures > 0 ? 1 : 0;
    strata.push_back(pair);
  }
  if (lossWindows >= kMinLossWindows) {
    UpdateFindings(
      aAssessment, { .mFault = VersionFault::kServersLost }, CompareCounts(strata), 0.1);
  }
}

void
CountRequests(Assessment& aAssessment, const Evidence& aEvidence, const AssessOptions& aOptions)
{
  for (const auto& [key, versions] : aEvidence.mStrata) {
    if (key.mWindow < aOptions.mFromWindow) {
      continue;
    }
    for (const auto& [version, stats] : versions) {
      const bool isNew = version == aOptions.mVersion;
      (isNew ? aAssessment.mNewRequests : aAssessment.mOldRequests) += stats.mRequests;
      (isNew ? aAssessment.mNewErrors : aAssessment.mOldErrors) += stats.mErrors;
    }
  }
}

std::set<std::string>
RoutesOf(const Evidence& aEvidence)
{
  // The empty route selects all routes.
  std::set<std::string> routes{ "" };
  for (const auto& [key, versions] : aEvidence.mStrata) {
    routes.insert(key.mRoute);
  }
  return routes;
}

} // namespace

Assessment
Assess(const Evidence& aEvidence, const AssessOptions& aOptions)
{
  Assessment assessment;
  CountRequests(assessment, aEvidence, aOptions);
  const std::uint64_t newestWindow =
    aEvidence.mStrata.empty() ? 0 : aEvidence.mStrata.rbegin()->first.mWindow;
  const std::uint64_t recentWindow = newestWindow + 1 - std::min(newestWindow + 1, kRecentWindows);
  for (const std::string& route : RoutesOf(aEvidence)) {
    for (const std::uint64_t from :
         std::set<std::uint64_t>{ 0, aOptions.mFromWindow, recentWindow }) {
      AssessStrata(assessment,
                   aEvidence,
                   { .mVersion = aOptions.mVersion, .mFromWindow = from, .mRoute = route });
    }
  }
  AssessServerLosses(assessment, aEvidence, aOptions);
  return assessment;
}

} // namespace trefoil
