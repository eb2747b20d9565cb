// Compares routing policies on a simulated clock, with and without smoothing: a limit of the work
// admitted in the busiest minute.
#include "bench/policy_run.h"

#include <algorithm>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <vector>

namespace trefoil::bench {
namespace {

constexpr char kUsage[] = R"(Compares routing policies and smoothing on a simulated clock.

Usage:
  policy-bench [--engines=N] [--seeds=N] [--peak-budget=X]
  policy-bench ablate [--engines=N] [--seeds=N]
  policy-bench target [--seeds=N] [--peak-budget=X]
  policy-bench --help

Options:
  --engines=N      Model engines [default: 20].
  --seeds=N        Runs of each case, with the seeds from 1 to N [default: 5].
  --peak-budget=X  Work limit of the busiest minute, relative to the mean minute [default: 1.15].
  ablate           Runs the scored policy, each time with one source of information withheld.
  target           Finds the smallest number of engines that meets the latency target.
)";

constexpr double kFirstTokenTargetMs = 400;
constexpr double kTokenGapTargetMs = 25;

// Minimum, mean and maximum of one figure over several seeds.
struct SampleRange
{
  double mMin = 0;
  double mMean = 0;
  double mMax = 0;
};

SampleRange
RangeOf(const std::vector<RunResult>& aResults, double RunResult::*aMember)
{
  SampleRange range{ .mMin = aResults.front().*aMember, .mMax = aResults.front().*aMember };
  for (const RunResult& result : aResults) {
    const double value = result.*aMember;
    range.mMin = std::min(range.mMin, value);
    range.mMax = std::max(range.mMax, value);
    range.mMean += value / static_cast<double>(aResults.size());
  }
  return range;
}

std::string
FormatRange(const std::vector<RunResult>& aResults, double RunResult::*aMember)
{
  const SampleRange range = RangeOf(aResults, aMember);
  return fmt::format("{:.1f} ({:.1f}-{:.1f})", range.mMean, range.mMin, range.mMax);
}

std::vector<RunResult>
RunSeeds(RunOptions aOptions, long aSeeds)
{
  std::vector<RunResult> results;
  for (long seed = 1; seed <= aSeeds; ++seed) {
    aOptions.mSeed = static_cast<std::uint64_t>(seed);
    results.push_back(RunPolicy(aOptions));
  }
  return results;
}

void
PrintTableHeader()
{
  fmt::print(
    "| load | policy | smoothing | recomputed tokens, millions | first token p50, ms | p95, ms "
    "| between tokens p95, ms | busiest minute, engines | its cost | whole cost | refused | "
    "late |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

void
PrintRow(const RunOptions& aOptions, const std::vector<RunResult>& aResults)
{
  fmt::print("| {} | {} | {} ",
             NameOf(kLoadKindNames, aOptions.mLoad),
             NameOf(kRoutingPolicyNames, aOptions.mPolicy),
             aOptions.mPeakBudget > 0 ? "on" : "off");
  for (const auto member : { &RunResult::mRecomputedMillions,
                             &RunResult::mFirstTokenP50Ms,
                             &RunResult::mFirstTokenP95Ms,
                             &RunResult::mTokenGapP95Ms,
                             &RunResult::mPeakEngines,
                             &RunResult::mPeakCost,
                             &RunResult::mTotalCost,
                             &RunResult::mRefused,
                             &RunResult::mLate }) {
    fmt::print("| {} ", FormatRange(aResults, member));
  }
  fmt::print("|\n");
  std::fflush(stdout);
}

void
ComparePolicies(std::size_t aEngines, long aSeeds, double aPeakBudget)
{
  PrintTableHeader();
  for (const auto& load : kLoadKindNames) {
    for (const auto& policy : kRoutingPolicyNames) {
      const RunOptions options{ .mPolicy = policy.mValue,
                                .mLoad = load.mValue,
                                .mEngines = aEngines };
      PrintRow(options, RunSeeds(options, aSeeds));
    }
    for (const RoutingPolicy policy : { RoutingPolicy::kPowerOfTwo, RoutingPolicy::kScored }) {
      const RunOptions options{
        .mPolicy = policy, .mLoad = load.mValue, .mEngines = aEngines, .mPeakBudget = aPeakBudget
      };
      PrintRow(options, RunSeeds(options, aSeeds));
    }
  }
}

void
CompareAblations(std::size_t aEngines, long aSeeds)
{
  for (const auto& ablation : kAblationNames) {
    fmt::print("\nWithout: {}\n\n", ablation.mName);
    PrintTableHeader();
    for (const auto& load : kLoadKindNames) {
      const RunOptions options{ .mLoad = load.mValue,
                                .mEngines = aEngines,
                                .mAblation = ablation.mValue };
      PrintRow(options, RunSeeds(options, aSeeds));
    }
  }
}

bool
MeetsTarget(const std::vector<RunResult>& aResults)
{
  return std::ranges::all_of(aResults, [](const RunResult& aResult) {
    return aResult.mFirstTokenP95Ms <= kFirstTokenTargetMs &&
           aResult.mTokenGapP95Ms <= kTokenGapTargetMs && aResult.mRefused == 0 &&
           aResult.mLate == 0;
  });
}

// Prints the smallest number of engines with which every seed meets the latency target, and their
// cost in the busiest minute. Tries up to 64 engines.
void
FindMinEngines(long aSeeds, double aPeakBudget)
{
  constexpr std::size_t kMinEngines = 8;
  constexpr std::size_t kMaxEngines = 64;
  fmt::print("| load | policy | smoothing | fewest engines | cost of the busiest minute |\n"
             "|---|---|---|---|---|\n");
  for (const auto& load : kLoadKindNames) {
    for (const RoutingPolicy policy : { RoutingPolicy::kPowerOfTwo, RoutingPolicy::kScored }) {
      for (const double budget : { 0.0, aPeakBudget }) {
        RunOptions options{ .mPolicy = policy, .mLoad = load.mValue, .mPeakBudget = budget };
        std::vector<RunResult> results;
        for (options.mEngines = kMinEngines; options.mEngines <= kMaxEngines; ++options.mEngines) {
          results = RunSeeds(options, aSeeds);
          if (MeetsTarget(results)) {
            break;
          }
        }
        fmt::print("| {} | {} | {} | {} | {} |\n",
                   load.mName,
                   NameOf(kRoutingPolicyNames, policy),
                   budget > 0 ? "on" : "off",
                   options.mEngines > kMaxEngines ? "over 64" : std::to_string(options.mEngines),
                   FormatRange(results, &RunResult::mPeakCost));
        std::fflush(stdout);
      }
    }
  }
}

} // namespace
} // namespace trefoil::bench

int
main(int aCount, char** aArguments)
{
  auto options = docopt::docopt(trefoil::bench::kUsage, { aArguments + 1, aArguments + aCount });
  const long seeds = options["--seeds"].asLong();
  const double budget = std::stod(options["--peak-budget"].asString());
  if (options["ablate"].asBool()) {
    trefoil::bench::CompareAblations(static_cast<std::size_t>(options["--engines"].asLong()),
                                     seeds);
  } else if (options["target"].asBool()) {
    trefoil::bench::FindMinEngines(seeds, budget);
  } else {
    trefoil::bench::ComparePolicies(
      static_cast<std::size_t>(options["--engines"].asLong()), seeds, budget);
  }
  return 0;
}
