#include "trefoil/routing/score.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr double kMsPerHour = 3'600'000;

} // namespace

double
Score(const ScoreWeights& aWeights, const RequestCost& aRequest, const ServerCost& aServer)
{
  const double prefillMs = aRequest.mUncachedTokens / aWeights.mPrefillTokensPerMs;
  const double queueMs = aServer.mLoad.mQueuedTokens / aWeights.mPrefillTokensPerMs;
  const double batchSlowdownMs =
    aRequest.mExpectedTokens * aWeights.mTokenMsPerStream * aServer.mLoad.mRunning;
  const double durationMs =
    prefillMs + aRequest.mExpectedTokens * aWeights.mTokenMs + batchSlowdownMs;
  // A reclaim interrupts a request halfway on average. Its cost is half of the duration and one
  // more prefill.
  const double reclaimProbability =
    std::min(1.0, aServer.mReclaimsPerHour * durationMs / kMsPerHour);
  const double riskMs = reclaimProbability * (prefillMs + durationMs / 2);
  return prefillMs + queueMs + aWeights.mBatchWeight * batchSlowdownMs + aServer.mRoundTripMs +
         aWeights.mPriceWeight * (aServer.mPrice - 1) * durationMs + aWeights.mRiskWeight * riskMs;
}

} // namespace trefoil
