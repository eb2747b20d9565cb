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
  const double slowerMs =
    aRequest.mExpectedTokens * aWeights.mTokenMsPerStream * aServer.mLoad.mRunning;
  const double lengthMs = prefillMs + aRequest.mExpectedTokens * aWeights.mTokenMs + slowerMs;
  // A reclaim comes half-way through on average and costs what was done until then.
  const double reclaims = std::min(1.0, aServer.mReclaimsPerHour * lengthMs / kMsPerHour);
  const double riskMs = reclaims * (prefillMs + lengthMs / 2);
  return prefillMs + queueMs + aWeights.mBatchWeight * slowerMs + aServer.mDistanceMs +
         aWeights.mPriceWeight * (aServer.mPrice - 1) * lengthMs + aWeights.mRiskWeight * riskMs;
}

} // namespace trefoil
