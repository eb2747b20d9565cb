#include "trefoil/dispatch/backlog.h"

#include <algorithm>

namespace trefoil {
namespace {

// Before anything is known a server counts as one that reads so much, in tokens a second, seen for
// so long: common accelerators read 20,000 to 100,000.
constexpr double kAssumedRate = 50'000;
constexpr double kAssumedSeconds = 1;
// The part of what is known that is kept with each new observation: the last hundred or so count.
constexpr double kKept = 0.99;
// Shorter reads show the steps of the server more than its rate.
constexpr double kMinTokens = 4'000;

double
SecondsOf(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void
Add(Backlog& aBacklog, double aTokens, double aRate, Instant aNow)
{
  aBacklog = { .mTokens = Left(aBacklog, aRate, aNow) + aTokens, .mAt = aNow };
}

double
Left(const Backlog& aBacklog, double aRate, Instant aNow)
{
  return std::max(0.0, aBacklog.mTokens - aRate * SecondsOf(aNow - aBacklog.mAt));
}

void
NoteRead(ReadRate& aRate, double aTokens, std::chrono::nanoseconds aTook)
{
  if (aTokens < kMinTokens) {
    return;
  }
  aRate.mTokens = kKept * aRate.mTokens + aTokens;
  aRate.mSeconds = kKept * aRate.mSeconds + SecondsOf(aTook);
}

double
RateOf(const ReadRate& aRate)
{
  return (aRate.mTokens + kAssumedRate * kAssumedSeconds) / (aRate.mSeconds + kAssumedSeconds);
}

} // namespace trefoil
