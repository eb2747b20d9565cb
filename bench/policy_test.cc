#include "bench/policy_run.h"

#include <catch2/catch.hpp>

namespace trefoil::bench {
namespace {

TEST_CASE("Policies run on a simulated clock")
{
  const RunOptions options{ .mPolicy = RoutingPolicy::kScored, .mSeed = 3 };
  const RunResult result = RunPolicy(options);

  SECTION("the same seed gives the same result")
  {
    const RunResult again = RunPolicy(options);
    CHECK(again.mFirstTokenP95Ms == result.mFirstTokenP95Ms);
    CHECK(again.mTotalCost == result.mTotalCost);
  }
  SECTION("scored routing recomputes less than half as many tokens as random routing")
  {
    const RunResult random = RunPolicy({ .mPolicy = RoutingPolicy::kRandom, .mSeed = 3 });
    CHECK(result.mRecomputedMillions < random.mRecomputedMillions / 2);
  }
  SECTION("a peak budget reduces the engines of the busiest minute, and no request is late")
  {
    const RunResult smooth = RunPolicy({ .mSeed = 3, .mPeakBudget = 1.15 });
    CHECK(smooth.mPeakEngines < result.mPeakEngines);
    CHECK(smooth.mLate == 0);
  }
}

} // namespace
} // namespace trefoil::bench
