#include "trefoil/duty/retry_budget.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr int kMaxDoublings = 10;

} // namespace

bool
Withdraw(RetryBudget& aBudget, Instant aNow)
{
  const double seconds = std::chrono::duration<double>(aNow - aBudget.mFilledAt).count();
  const double filled = aBudget.mTokens + std::max(0.0, seconds) * kRetryTokensPerSecond;
  aBudget.mTokens = std::min(kMaxRetryTokens, filled);
  aBudget.mFilledAt = aNow;
  if (aBudget.mTokens < 1) {
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

Milliseconds
BackOff(int aFailures, std::uint64_t aRandom)
{
  const int doublings = std::clamp(aFailures, 0, kMaxDoublings);
  const auto bound = std::min(kLongestPause, kShortestPause * (std::int64_t{ 2 } << doublings));
  const auto spread = static_cast<std::uint64_t>((bound - kShortestPause).count()) + 1;
  return kShortestPause + Milliseconds{ static_cast<std::int64_t>(aRandom % spread) };
}

std::uint64_t
NextRandom(std::uint64_t& aState)
{
  aState += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = aState;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

} // namespace trefoil
