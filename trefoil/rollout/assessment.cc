#include "trefoil/rollout/assessment.h"

#include "trefoil/rollout/comparison.h"

#include <algorithm>
#include <set>

namespace trefoil {
namespace {

// Chances below which a difference counts as sure, and as likely. The first allows for the many
// looks of one move: a thousand looks at a dozen tests.
constexpr double kSure = 1e-6;
constexpr double kLikely = 0.01;
// Differences that are too small to matter.
constexpr double kMinErrorDifference = 0.005;
constexpr double kMinSlower = 0.08;
// Windows that a late fault is looked for in.
constexpr std::uint64_t kRecentWindows = 3;
// A wave of reclaims takes servers in one window; a version that crashes loses them in several.
constexpr int kMinLossWindows = 3;

// The strata of one route, or of all, from a window on.
struct Scope
{
  VersionId mVersion;
  std::uint64_t mFromWindow = 0;
  std::string mRoute;
};

struct TallyPair
{
  const Tally* mNew = nullptr;
  Tally mOld;
};

std::vector<TallyPair>
PairsOf(const Evidence& aEvidence, const Scope& aScope)
{
  std::vector<TallyPair> pairs;
  for (const auto& [key, versions] : aEvidence.mStrata) {
    const auto found = versions.find(aScope.mVersion);
    const bool inScope =
      key.mWindow >= aScope.mFromWindow && (aScope.mRoute.empty() || aScope.mRoute == key.mRoute);
    if (!inScope || found == versions.end()) {
      continue;
    }
    TallyPair& pair = pairs.emplace_back(TallyPair{ .mNew = &found->second });
    for (const auto& [version, tally] : versions) {
      if (version != aScope.mVersion) {
        Add(pair.mOld, tally);
      }
    }
  }
  return pairs;
}

TestResult
ErrorsOf(const std::vector<TallyPair>& aPairs)
{
  std::vector<CountPair> strata;
  for (const TallyPair& pair : aPairs) {
    strata.push_back({ .mNewTotal = pair.mNew->mRequests,
                       .mNewBad = pair.mNew->mErrors,
                       .mOldTotal = pair.mOld.mRequests,
                       .mOldBad = pair.mOld.mErrors });
  }
  return CompareCounts(strata);
}

TestResult
LatencyOf(const std::vector<TallyPair>& aPairs, LatencyHistogram Tally::*aHistogram)
{
  std::vector<HistogramPair> strata;
  strata.reserve(aPairs.size());
  for (const TallyPair& pair : aPairs) {
    strata.push_back({ .mNew = &(pair.mNew->*aHistogram), .mOld = pair.mOld.*aHistogram });
  }
  return CompareLatencies(strata);
}

void
Judge(Assessment& aAssessment, Finding aFinding, const TestResult& aResult, double aMinEffect)
{
  if (aResult.mEffect < aMinEffect || aResult.mPValue > kLikely) {
    return;
  }
  aFinding.mPValue = aResult.mPValue;
  aFinding.mEffect = aResult.mEffect;
  if (aResult.mPValue < aAssessment.mLikely.mPValue) {
    aAssessment.mLikely = aFinding;
  }
  if (aResult.mPValue < kSure && aResult.mPValue < aAssessment.mWorst.mPValue) {
    aAssessment.mWorst = aFinding;
  }
}

void
AssessScope(Assessment& aAssessment, const Evidence& aEvidence, const Scope& aScope)
{
  const auto pairs = PairsOf(aEvidence, aScope);
  const auto finding = [&aScope](VersionFault aFault) {
    return Finding{ .mFault = aFault, .mRoute = aScope.mRoute };
  };
  Judge(aAssessment, finding(VersionFault::kErrors), ErrorsOf(pairs), kMinErrorDifference);
  Judge(aAssessment,
        finding(VersionFault::kFirstToken),
        LatencyOf(pairs, &Tally::mFirstToken),
        kMinSlower);
  Judge(
    aAssessment, finding(VersionFault::kTokenGap), LatencyOf(pairs, &Tally::mTokenGap), kMinSlower);
}

// Compares how many servers of each version break off a window, zone by zone.
void
AssessLosses(Assessment& aAssessment, const Evidence& aEvidence, const AssessOptions& aOptions)
{
  std::vector<CountPair> strata;
  int lossWindows = 0;
  for (const auto& [key, lost] : aEvidence.mLost) {
    const auto servers = aOptions.mServers.find(key.mZone);
    if (servers == aOptions.mServers.end()) {
      continue;
    }
    CountPair pair;
    for (const auto& [version, count] : servers->second) {
      const auto found = lost.find(version);
      const std::uint64_t bad = found == lost.end() ? 0 : std::min(count, found->second.size());
      const bool isNew = version == aOptions.mVersion;
      (isNew ? pair.mNewTotal : pair.mOldTotal) += count;
      (isNew ? pair.mNewBad : pair.mOldBad) += bad;
    }
    lossWindows += pair.mNewBad > 0 ? 1 : 0;
    strata.push_back(pair);
  }
  if (lossWindows >= kMinLossWindows) {
    Judge(aAssessment, { .mFault = VersionFault::kServersLost }, CompareCounts(strata), 0.1);
  }
}

void
CountRequests(Assessment& aAssessment, const Evidence& aEvidence, const AssessOptions& aOptions)
{
  for (const auto& [key, versions] : aEvidence.mStrata) {
    if (key.mWindow < aOptions.mFromWindow) {
      continue;
    }
    for (const auto& [version, tally] : versions) {
      const bool isNew = version == aOptions.mVersion;
      (isNew ? aAssessment.mNewRequests : aAssessment.mOldRequests) += tally.mRequests;
      (isNew ? aAssessment.mNewErrors : aAssessment.mOldErrors) += tally.mErrors;
    }
  }
}

std::set<std::string>
RoutesOf(const Evidence& aEvidence)
{
  // The empty route stands for all.
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
  const std::uint64_t newest =
    aEvidence.mStrata.empty() ? 0 : aEvidence.mStrata.rbegin()->first.mWindow;
  const std::uint64_t recent = newest + 1 - std::min(newest + 1, kRecentWindows);
  for (const std::string& route : RoutesOf(aEvidence)) {
    for (const std::uint64_t from : std::set<std::uint64_t>{ 0, aOptions.mFromWindow, recent }) {
      AssessScope(assessment,
                  aEvidence,
                  { .mVersion = aOptions.mVersion, .mFromWindow = from, .mRoute = route });
    }
  }
  AssessLosses(assessment, aEvidence, aOptions);
  return assessment;
}

} // namespace trefoil
