#include "trefoil/request/reclaim.h"

#include <algorithm>

namespace trefoil {
namespace {

// Kept free before the end of the notice, for estimates that are off and messages under way.
constexpr Milliseconds kSafetyMargin{ 100 };
// A stream that would be finished in more than this share of the notice is moved instead.
constexpr double kUsableShare = 0.8;
constexpr std::int64_t kBytesPerToken = 4;

// Returns whether `aTokens` at `aTokensPerSecond` fit into the notice that is left.
bool
Fits(std::int64_t aTokens, double aTokensPerSecond, Instant aEndsAt, Instant aNow)
{
  if (aTokensPerSecond <= 0) {
    return false;
  }
  const Milliseconds left = Remaining(aEndsAt, aNow) - kSafetyMargin;
  const double usable = kUsableShare * std::chrono::duration<double>(left).count();
  return static_cast<double>(aTokens) / aTokensPerSecond <= usable;
}

} // namespace

ReclaimPlan
PlanReclaim(const ReclaimView& aView, Instant aNow)
{
  const std::int64_t left = std::max<std::int64_t>(aView.mMaxTokens - aView.mTokensSoFar, 0);
  if (Fits(left, aView.mTokensPerSecond, aView.mEndsAt, aNow)) {
    return { .mChoice = ReclaimChoice::kFinish };
  }
  const std::int64_t context = aView.mPromptTokens + aView.mTokensSoFar;
  if (Fits(context, aView.mTransferTokensPerSecond, aView.mEndsAt, aNow)) {
    return { .mChoice = ReclaimChoice::kTransfer };
  }
  return { .mChoice = ReclaimChoice::kResume, .mTokensRecomputed = context };
}

std::int64_t
EstimateTokens(std::string_view aText)
{
  return (static_cast<std::int64_t>(aText.size()) + kBytesPerToken - 1) / kBytesPerToken;
}

} // namespace trefoil
