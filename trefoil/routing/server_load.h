// Estimates the load of one backend server. Its reports arrive late and are corrected by the
// requests that this entry host has sent since.
//
//   ApplyReport(load, { .mRunning = 4, .mQueuedTokens = 900 }, measuredAt);
//   RecordOwnStart(load, aNow);
//   RecordOwnQueued(load, tokens, aNow);
//   LoadEstimate estimate = EstimateLoad(load, prefillTokensPerMs, aNow);
//
// Plain data and pure functions.
#pragma once

#include "trefoil/base/instant.h"

#include <cstdint>
#include <deque>

namespace trefoil {

// The load that a server reports.
struct LoadReport
{
  std::int64_t mRunning = 0;
  // Prompt tokens that wait for prefill.
  std::int64_t mQueuedTokens = 0;
};

// A change of the load by a request of this entry host that started, was queued or ended.
struct LoadChange
{
  Instant mAt;
  std::int64_t mRunning = 0;
  std::int64_t mQueuedTokens = 0;
};

struct TrackedLoad
{
  // When the last report was measured, and when it expires.
  Instant mMeasuredAt;
  Instant mReportExpiresAt;
  LoadReport mReport;
  // Requests of this entry host that are in flight at the server.
  std::int64_t mOwnInFlight = 0;
  // The latest changes in order of time; the number is bounded.
  std::deque<LoadChange> mOwnChanges;
};

struct LoadEstimate
{
  double mRunning = 0;
  double mQueuedTokens = 0;
};

// Applies a report, unless one that was measured later was applied already.
void
ApplyReport(TrackedLoad& aLoad, const LoadReport& aReport, Instant aMeasuredAt);

// Records that a request of this entry host started at the server.
void
RecordOwnStart(TrackedLoad& aLoad, Instant aNow);

// Records that the server has to prefill `aTokens` prompt tokens of a request of this entry
// host.
void
RecordOwnQueued(TrackedLoad& aLoad, std::int64_t aTokens, Instant aNow);

// Records that a request of this entry host ended at the server.
void
RecordOwnEnd(TrackedLoad& aLoad, Instant aNow);

// Returns the estimated load at `aNow`. Queued tokens are assumed to decrease by
// `aPrefillTokensPerMs` since their measurement.
LoadEstimate
EstimateLoad(const TrackedLoad& aLoad, double aPrefillTokensPerMs, Instant aNow);

} // namespace trefoil
