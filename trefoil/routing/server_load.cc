#include "trefoil/routing/server_load.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr std::size_t kMaxOwnChanges = 32;
// A report expires this long after its measurement.
constexpr Milliseconds kReportLifetime{ 10'000 };

void
RecordChange(TrackedLoad& aLoad, const LoadChange& aChange)
{
  if (aLoad.mOwnChanges.size() == kMaxOwnChanges) {
    aLoad.mOwnChanges.pop_front();
  }
  aLoad.mOwnChanges.push_back(aChange);
}

double
MillisecondsBetween(Instant aFrom, Instant aTo)
{
  return std::max(0.0, std::chrono::duration<double, std::milli>(aTo - aFrom).count());
}

} // namespace

void
ApplyReport(TrackedLoad& aLoad, const LoadReport& aReport, Instant aMeasuredAt)
{
  if (aMeasuredAt < aLoad.mMeasuredAt) {
    return;
  }
  aLoad.mMeasuredAt = aMeasuredAt;
  aLoad.mReportExpiresAt = aMeasuredAt + kReportLifetime;
  aLoad.mReport = aReport;
  while (!aLoad.mOwnChanges.empty() && aLoad.mOwnChanges.front().mAt <= aMeasuredAt) {
    aLoad.mOwnChanges.pop_front();
  }
}

void
RecordOwnStart(TrackedLoad& aLoad, Instant aNow)
{
  ++aLoad.mOwnInFlight;
  RecordChange(aLoad, { .mAt = aNow, .mRunning = 1 });
}

void
RecordOwnQueued(TrackedLoad& aLoad, std::int64_t aTokens, Instant aNow)
{
  RecordChange(aLoad, { .mAt = aNow, .mQueuedTokens = aTokens });
}

void
RecordOwnEnd(TrackedLoad& aLoad, Instant aNow)
{
  --aLoad.mOwnInFlight;
  RecordChange(aLoad, { .mAt = aNow, .mRunning = -1 });
}

LoadEstimate
EstimateLoad(const TrackedLoad& aLoad, double aPrefillTokensPerMs, Instant aNow)
{
  LoadEstimate estimate;
  if (!HasPassed(aLoad.mReportExpiresAt, aNow)) {
    estimate.mRunning = static_cast<double>(aLoad.mReport.mRunning);
    estimate.mQueuedTokens = static_cast<double>(aLoad.mReport.mQueuedTokens);
  }
  Instant from = aLoad.mMeasuredAt;
  for (const LoadChange& change : aLoad.mOwnChanges) {
    const double processed = MillisecondsBetween(from, change.mAt) * aPrefillTokensPerMs;
    estimate.mQueuedTokens = std::max(0.0, estimate.mQueuedTokens - processed);
    estimate.mRunning += static_cast<double>(change.mRunning);
    estimate.mQueuedTokens += static_cast<double>(change.mQueuedTokens);
    from = change.mAt;
  }
  const double processed = MillisecondsBetween(from, aNow) * aPrefillTokensPerMs;
  estimate.mQueuedTokens = std::max(0.0, estimate.mQueuedTokens - processed);
  estimate.mRunning = std::max(estimate.mRunning, static_cast<double>(aLoad.mOwnInFlight));
  return estimate;
}

} // namespace trefoil
