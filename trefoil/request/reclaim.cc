#include "trefoil/request/reclaim.h"

#include <algorithm>

namespace trefoil {
namespace {

// Reserved at the end of the notice period for estimation errors and messages in flight.
constexpr Milliseconds kSafetyMargin{ 100 };
// Fraction of the remaining notice period, without the safety margin, that a choice may use.
constexpr double kUsableTimeFraction = 0.8;
constexpr std::int64_t kBytesPerToken = 4;

// Returns whether `aTokens` at `aTokensPerSecond` fit into the remaining notice period. An unknown
// rate never fits.
bool
FitsNotice(std::int64_t aTokens, double aTokensPerSecond, Instant aEndsAt, Instant aNow)
{
  if (aTokensPerSecond <= 0) {
    return false;
  }
  const Milliseconds remaining = Remaining(aEndsAt, aNow) - kSafetyMargin;
  const double usable = kUsableTimeFraction * std::chrono::duration<double>(remaining).count();
  return static_cast<double>(aTokens) / aTokensPerSecond <= usable;
}

} // namespace

ReclaimPlan
PlanReclaim(const ReclaimInput& aInput, Instant aNow)
{
  const std::int64_t remainingTokens =
    std::max<std::int64_t>(aInput.mMaxTokens - aInput.mTokensSoFar, 0);
  if (FitsNotice(remainingTokens, aInput.mTokensPerSecond, aInput.mEndsAt, aNow)) {
    return { .mChoice = ReclaimChoice::kFinish };
  }
  const std::int64_t contextTokens = aInput.mPromptTokens + aInput.mTokensSoFar;
  if (FitsNotice(contextTokens, aInput.mTransferTokensPerSecond, aInput.mEndsAt, aNow)) {
    return { .mChoice = ReclaimChoice::kTransfer };
  }
  return { .mChoice = ReclaimChoice::kResume, .mTokensRecomputed = contextTokens };
}

std::int64_t
EstimateTokens(std::string_view aText)
{
  return (static_cast<std::int64_t>(aText.size()) + kBytesPerToken - 1) / kBytesPerToken;
}

} // namespace trefoil
