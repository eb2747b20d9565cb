// Simulates moves to good and faulty versions with several seeds.
//
//   trefoil-moves [SEEDS] [FIRST-SEED]
//
// Prints for each case how many moves were completed in time and how many were withdrawn, and as
// median, 95th percentile and maximum: the attempts on a faulty version after its fault first
// affected a request, and the attempts that the fault affected. Then come the median duration in
// seconds, the maximum number of local stops and the reasons of the withdrawals.
#include "bench/move_simulation.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace {

using trefoil::MovePhase;
using trefoil::bench::MoveExperiment;
using trefoil::bench::MoveResult;
using trefoil::bench::VersionBehaviour;

constexpr std::uint64_t kDefaultSeeds = 20;
constexpr std::uint64_t kDefaultFirstSeed = 20'261'204;
constexpr std::size_t kThreads = 3;

struct Case
{
  std::string mName;
  MoveExperiment mExperiment;
};

std::vector<Case>
Cases()
{
  std::vector<Case> cases;
  for (const auto& entry : trefoil::bench::kVersionBehaviourNames) {
    cases.push_back({ std::string{ entry.mName }, { .mBehaviour = entry.mValue } });
  }
  cases.push_back({ "good, waves", { .mReclaimWaves = true } });
  cases.push_back({ "good, slow zone", { .mSlowZone = true } });
  cases.push_back({ "good, crashing requests", { .mCrashingRequests = true } });
  cases.push_back(
    { "good, all three", { .mReclaimWaves = true, .mSlowZone = true, .mCrashingRequests = true } });
  cases.push_back({ "good, 5 a second", { .mRequestsPerSecond = 5 } });
  cases.push_back({ "good, 5 minutes", { .mMoveDurationSeconds = 300 } });
  cases.push_back(
    { "5% errors", { .mBehaviour = VersionBehaviour::kErrorsImmediately, .mFailedPercent = 5 } });
  cases.push_back(
    { "25% slow", { .mBehaviour = VersionBehaviour::kSlowFirstToken, .mSlowdownPercent = 25 } });
  cases.push_back(
    { "errors, waves",
      { .mBehaviour = VersionBehaviour::kErrorsImmediately, .mReclaimWaves = true } });
  cases.push_back(
    { "all errors",
      { .mBehaviour = VersionBehaviour::kErrorsImmediately, .mFailedPercent = 100 } });
  return cases;
}

std::vector<MoveResult>
RunCase(const MoveExperiment& aExperiment, std::uint64_t aSeeds, std::uint64_t aFirstSeed)
{
  std::vector<MoveResult> results(aSeeds);
  std::vector<std::thread> threads;
  for (std::size_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (std::size_t i = thread; i < aSeeds; i += kThreads) {
        MoveExperiment experiment = aExperiment;
        experiment.mSeed = aFirstSeed + i;
        results[i] = SimulateMove(experiment);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return results;
}

std::uint64_t
Quantile(const std::vector<MoveResult>& aResults,
         double aQuantile,
         const std::function<std::uint64_t(const MoveResult&)>& aMetric)
{
  std::vector<std::uint64_t> values;
  for (const MoveResult& result : aResults) {
    values.push_back(aMetric(result));
  }
  std::ranges::sort(values);
  const auto lastIndex = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(aQuantile * lastIndex))];
}

std::string
ReasonsOf(const std::vector<MoveResult>& aResults)
{
  std::map<std::string, int> counts;
  for (const MoveResult& result : aResults) {
    if (result.mPhase == MovePhase::kWithdrawn) {
      ++counts[std::string{ NameOf(trefoil::kMoveReasonNames, result.mReason) }];
    }
  }
  std::string text;
  for (const auto& [reason, count] : counts) {
    text += " " + reason + "=" + std::to_string(count);
  }
  return text;
}

void
PrintResults(const Case& aCase, const std::vector<MoveResult>& aResults)
{
  const auto done = std::ranges::count(aResults, MovePhase::kDone, &MoveResult::mPhase);
  const auto withdrawn = std::ranges::count(aResults, MovePhase::kWithdrawn, &MoveResult::mPhase);
  const auto attemptsAfterFault = [](const MoveResult& aResult) {
    return aResult.mAttemptsAfterFault;
  };
  const auto affectedAttempts = [](const MoveResult& aResult) { return aResult.mAffectedAttempts; };
  const auto localStops = [](const MoveResult& aResult) {
    return static_cast<std::uint64_t>(aResult.mLocalStops);
  };
  const auto durationSeconds = [](const MoveResult& aResult) {
    return static_cast<std::uint64_t>(aResult.mDurationSeconds);
  };
  std::printf("%-24s %4zu %5ld %5ld %6lu %6lu %6lu %6lu %6lu %6lu %5lu %5lu %s\n",
              aCase.mName.c_str(),
              aResults.size(),
              static_cast<long>(done),
              static_cast<long>(withdrawn),
              Quantile(aResults, 0.5, attemptsAfterFault),
              Quantile(aResults, 0.95, attemptsAfterFault),
              Quantile(aResults, 1, attemptsAfterFault),
              Quantile(aResults, 0.5, affectedAttempts),
              Quantile(aResults, 0.95, affectedAttempts),
              Quantile(aResults, 1, affectedAttempts),
              Quantile(aResults, 0.5, durationSeconds),
              Quantile(aResults, 1, localStops),
              ReasonsOf(aResults).c_str());
  std::fflush(stdout);
}

} // namespace

int
main(int aCount, char** aValues)
{
  const std::uint64_t seeds = aCount > 1 ? std::strtoull(aValues[1], nullptr, 10) : kDefaultSeeds;
  const std::uint64_t firstSeed =
    aCount > 2 ? std::strtoull(aValues[2], nullptr, 10) : kDefaultFirstSeed;
  std::printf("%-24s %4s %5s %5s %6s %6s %6s %6s %6s %6s %5s %5s\n",
              "version",
              "runs",
              "done",
              "back",
              "sent50",
              "sent95",
              "sentM",
              "harm50",
              "harm95",
              "harmM",
              "sec50",
              "stopM");
  for (const Case& testCase : Cases()) {
    PrintResults(testCase, RunCase(testCase.mExperiment, seeds, firstSeed));
  }
  return 0;
}
