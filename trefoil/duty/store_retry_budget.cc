#include "trefoil/duty/store_retry_budget.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr int kMaxDoublings = 10;

} // namespace

bool
ConsumeRetryToken(StoreRetryBudget& aBudget, Instant aNow)
{
  const double seconds = std::chrono::duration<double>(aNow - aBudget.mRefilledAt).count();
  const double tokens = aBudget.mTokens + std::max(0.0, seconds) * kRetryTokensPerSecond;
  aBudget.mTokens = std::min(kMaxRetryTokens, tokens);
  aBudget.mRefilledAt = aNow;
  if (aBudget.mTokens < 1) {
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

Milliseconds
JitteredBackoff(int aFailures, std::uint64_t aRandom)
{
  const int doublings = std::clamp(aFailures, 0, kMaxDoublings);
  const auto bound =
    std::min(kMaxStoreRetryDelay, kMinStoreRetryDelay * (std::int64_t{ 2 } << doublings));
  const auto range = static_cast<std::uint64_t>((bound - kMinStoreRetryDelay).count()) + 1;
  return kMinStoreRetryDelay + Milliseconds{ static_cast<std::int64_t>(aRandom % range) };
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
