// Runs one load through the routing and admission decisions of simulated entry hosts, on a
// simulated clock.
//
//   RunResult result = RunPolicy({ .mPolicy = RoutingPolicy::kScored, .mSeed = 1 });
#pragma once

#include "bench/policy_load.h"
#include "trefoil/routing/routing_state.h"

#include <cstdint>

namespace trefoil::bench {

// The information that is withheld from the entry hosts, to measure how much it contributes.
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
  LoadKind mLoad = LoadKind::kShortBursts;
  std::size_t mEngines = 20;
  std::uint64_t mSeed = 1;
  ScoreWeights mWeights;
  Ablation mAblation = Ablation::kNone;
  // Limit of the work admitted in the busiest minute, relative to the mean work per minute of the
  // load; 0 for no limit.
  double mPeakBudget = 0;
};

struct RunResult
{
  // Document tokens, in millions, that were not in the cache of the chosen engine although an
  // earlier request for the same document had reached some engine.
  double mRecomputedMillions = 0;
  // Time to the first token of the short requests, measured from their arrival.
  double mFirstTokenP50Ms = 0;
  double mFirstTokenP95Ms = 0;
  double mTokenGapP95Ms = 0;
  // Mean number of busy engines in the busiest minute, and the highest cost of a minute in engine
  // minutes weighted by price.
  double mPeakEngines = 0;
  double mPeakCost = 0;
  // Cost of all busy time, in engine minutes weighted by price.
  double mTotalCost = 0;
  // Number of requests that were refused, and of requests completed after their deadlines.
  double mRefused = 0;
  double mLate = 0;
};

// Runs the load with the given policy. Deterministic for a seed; may be called from several
// threads.
RunResult
RunPolicy(const RunOptions& aOptions);

} // namespace trefoil::bench
