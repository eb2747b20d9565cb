// Version moves, good and bad, through the decision code with seeds.
//
//   trefoil-moves [SEEDS] [FIRST-SEED]
//
// Prints for each kind of version how many moves were done in time and withdrawn, how many requests
// a bad version got after its fault showed, and how many it harmed.
#include "bench/moves_world.h"

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
  cases.push_back({ "good, 5 minutes", { .mMoveSeconds = 300 } });
  cases.push_back(
    { "5% errors", { .mBehaviour = VersionBehaviour::kErrorsAtOnce, .mErrorPercent = 5 } });
  cases.push_back(
    { "25% slow", { .mBehaviour = VersionBehaviour::kSlowFirstToken, .mSlowPercent = 25 } });
  cases.push_back(
    { "errors, waves", { .mBehaviour = VersionBehaviour::kErrorsAtOnce, .mReclaimWaves = true } });
  cases.push_back(
    { "all errors", { .mBehaviour = VersionBehaviour::kErrorsAtOnce, .mErrorPercent = 100 } });
  return cases;
}

std::vector<MoveResult>
RunCase(const MoveExperiment& aExperiment, std::uint64_t aSeeds, std::uint64_t aFirst)
{
  std::vector<MoveResult> results(aSeeds);
  std::vector<std::thread> threads;
  for (std::size_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (std::size_t i = thread; i < aSeeds; i += kThreads) {
        MoveExperiment experiment = aExperiment;
        experiment.mSeed = aFirst + i;
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
QuantileOf(const std::vector<MoveResult>& aResults,
           double aShare,
           const std::function<std::uint64_t(const MoveResult&)>& aFigure)
{
  std::vector<std::uint64_t> figures;
  for (const MoveResult& result : aResults) {
    figures.push_back(aFigure(result));
  }
  std::ranges::sort(figures);
  const auto last = static_cast<double>(figures.size() - 1);
  return figures[static_cast<std::size_t>(std::lround(aShare * last))];
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
Print(const Case& aCase, const std::vector<MoveResult>& aResults)
{
  const auto done = std::ranges::count(aResults, MovePhase::kDone, &MoveResult::mPhase);
  const auto withdrawn = std::ranges::count(aResults, MovePhase::kWithdrawn, &MoveResult::mPhase);
  const auto sent = [](const MoveResult& aResult) { return aResult.mSentAfterFault; };
  const auto harmed = [](const MoveResult& aResult) { return aResult.mHarmed; };
  const auto stops = [](const MoveResult& aResult) {
    return static_cast<std::uint64_t>(aResult.mStops);
  };
  const auto seconds = [](const MoveResult& aResult) {
    return static_cast<std::uint64_t>(aResult.mEndedAfterSeconds);
  };
  std::printf("%-24s %4zu %5ld %5ld %6lu %6lu %6lu %6lu %6lu %6lu %5lu %5lu %s\n",
              aCase.mName.c_str(),
              aResults.size(),
              static_cast<long>(done),
              static_cast<long>(withdrawn),
              QuantileOf(aResults, 0.5, sent),
              QuantileOf(aResults, 0.95, sent),
              QuantileOf(aResults, 1, sent),
              QuantileOf(aResults, 0.5, harmed),
              QuantileOf(aResults, 0.95, harmed),
              QuantileOf(aResults, 1, harmed),
              QuantileOf(aResults, 0.5, seconds),
              QuantileOf(aResults, 1, stops),
              ReasonsOf(aResults).c_str());
  std::fflush(stdout);
}

} // namespace

int
main(int aCount, char** aValues)
{
  const std::uint64_t seeds = aCount > 1 ? std::strtoull(aValues[1], nullptr, 10) : kDefaultSeeds;
  const std::uint64_t first =
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
  for (const Case& one : Cases()) {
    Print(one, RunCase(one.mExperiment, seeds, first));
  }
  return 0;
}
