#include "trefoil/routing/choose.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

namespace trefoil {
namespace {

std::vector<Candidate>
CandidatesOf(const std::vector<std::int64_t>& aLoads)
{
  std::vector<Candidate> candidates;
  for (const std::int64_t load : aLoads) {
    candidates.push_back(
      { .mSlot = static_cast<ServerSlot>(candidates.size()), .mInFlight = load });
  }
  return candidates;
}

TEST_CASE("One of the candidates is chosen for an attempt")
{
  SECTION("none if there are no candidates")
  {
    for (const auto& entry : kRoutingPolicyNames) {
      CHECK_FALSE(Choose(entry.mValue, {}, 7).has_value());
    }
  }
  SECTION("a valid index under every policy")
  {
    const bool passed = rc::check([](std::uint64_t aRandom) {
      const auto loads = *rc::gen::nonEmpty<std::vector<std::int64_t>>();
      const auto candidates = CandidatesOf(loads);
      for (const auto& entry : kRoutingPolicyNames) {
        RC_ASSERT(Choose(entry.mValue, candidates, aRandom).value() < candidates.size());
      }
    });
    CHECK(passed);
  }
  SECTION("the one with the fewest requests in flight under least_in_flight")
  {
    const auto candidates = CandidatesOf({ 3, 1, 2 });
    for (std::uint64_t random = 0; random < 10; ++random) {
      CHECK(Choose(RoutingPolicy::kLeastInFlight, candidates, random) == 1U);
    }
  }
  SECTION("the one with the lowest score under scored")
  {
    const std::vector<Candidate> candidates{ { .mScore = 7.5 }, { .mScore = 7.0 } };
    CHECK(Choose(RoutingPolicy::kScored, candidates, 0) == 1U);
    CHECK(Choose(RoutingPolicy::kScored, candidates, 1) == 1U);
  }
  SECTION("the less loaded of the two drawn under power_of_two, which may be the same one twice")
  {
    const auto candidates = CandidatesOf({ 9, 1 });
    CHECK(Choose(RoutingPolicy::kPowerOfTwo, candidates, std::uint64_t{ 1 } << 32) == 1U);
    CHECK(Choose(RoutingPolicy::kPowerOfTwo, candidates, 1) == 1U);
    CHECK(Choose(RoutingPolicy::kPowerOfTwo, candidates, 0) == 0U);
  }
}

} // namespace
} // namespace trefoil
