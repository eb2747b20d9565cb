#include "trefoil/dispatch/backlog.h"

#include <algorithm>

namespace trefoil {
namespace {

// Before the first observation the rate is estimated as 50,000 tokens per second, with the
// weight of an observation of one second. Common accelerators prefill 20,000 to 100,000 tokens
// per second.
constexpr double kInitialTokensPerSecond = 50'000;
constexpr double kInitialSeconds = 1;
// Fraction of the sums that is retained at each new observation: about the last hundred
// observations count.
constexpr double kRetainedFraction = 0.99;
// Prefills of fewer tokens are ignored: their duration shows the length of the server's
// scheduling steps rather than its rate.
constexpr double kMinObservedTokens = 4'000;

double
SecondsOf(std::chrono::nanoseconds aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
AddToBacklog(PrefillBacklog& aBacklog, double aTokens, double aRate, Instant aNow)
{
  aBacklog = { .mTokens = RemainingTokens(aBacklog, aRate, aNow) + aTokens, .mMeasuredAt = aNow };
}

double
RemainingTokens(const PrefillBacklog& aBacklog, double aRate, Instant aNow)
{
  return std::max(0.0, aBacklog.mTokens - aRate * SecondsOf(aNow - aBacklog.mMeasuredAt));
}

void
RecordPrefill(PrefillRate& aRate, double aTokens, std::chrono::nanoseconds aDuration)
{
  if (aTokens < kMinObservedTokens) {
    return;
  }
  aRate.mTokens = kRetainedFraction * aRate.mTokens + aTokens;
  aRate.mSeconds = kRetainedFraction * aRate.mSeconds + SecondsOf(aDuration);
}

double
TokensPerSecond(const PrefillRate& aRate)
{
  return (aRate.mTokens + kInitialTokensPerSecond * kInitialSeconds) /
         (aRate.mSeconds + kInitialSeconds);
}

} // namespace trefoil
