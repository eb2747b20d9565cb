// Runs one load through the routing and admission decisions on a simulated clock.
//
//   RunResult result = RunPolicy({ .mPolicy = RoutingPolicy::kScored, .mSeed = 1 });
#pragma once

#include "bench/policy_load.h"
#include "trefoil/routing/routing_state.h"

#include <cstdint>

namespace trefoil::bench {

// What the entry hosts are not told, to see what it is worth.
enum class Ablation
{
  kNone,
  kCacheEvents,
  kOwnPlacements,
  kLoadReports,
};

inline constexpr NameTable<Ablation, 4> kAblationNames{ {
  { Ablation::kNone, "none" },
  { Ablation::kCacheEvents, "cache_events" },
  { Ablation::kOwnPlacements, "own_placements" },
  { Ablation::kLoadReports, "load_reports" },
} };

struct RunOptions
{
  RoutingPolicy mPolicy = RoutingPolicy::kScored;
  LoadKind mLoad = LoadKind::kMoreton;
  std::size_t mEngines = 20;
  std::uint64_t mSeed = 1;
  ScoreWeights mWeights;
  Ablation mWithout = Ablation::kNone;
  // The budget of the busiest minute relative to the mean minute of the load; 0 for none.
  double mPeakBudget = 0;
};

struct RunResult
{
  // Prompt tokens of documents that some engine had processed before, in millions.
  double mRecomputedMillions = 0;
  // First token of the short requests.
  double mFirstTokenP50Ms = 0;
  double mFirstTokenP95Ms = 0;
  double mBetweenTokensP95Ms = 0;
  // Busy engines in the busiest minute, and the same by price.
  double mPeakEngines = 0;
  double mPeakCost = 0;
  // Price of all busy time in engine minutes.
  double mTotalCost = 0;
  // Requests that were refused, and those answered after their deadlines.
  double mRefused = 0;
  double mLate = 0;
};

RunResult
RunPolicy(const RunOptions& aOptions);

} // namespace trefoil::bench
