// The load of one backend server: late reports corrected by what this entry host did since.
//
//   ApplyReport(load, { .mRunning = 4, .mQueuedTokens = 900 }, measuredAt);
//   RecordOwnStart(load, aNow);
//   RecordOwnQueued(load, tokens, aNow);
//   LoadEstimate estimate = EstimateLoad(load, model, aNow);
//
// Plain data and pure functions.
#pragma once

#include "trefoil/base/instant.h"

#include <cstdint>
#include <deque>

namespace trefoil {

// What a server says of itself.
struct LoadReport
{
  std::int64_t mRunning = 0;
  // Prompt tokens that wait to be processed.
  std::int64_t mQueuedTokens = 0;
};

// A request of this entry host that started or ended.
struct OwnChange
{
  Instant mAt;
  std::int64_t mRunning = 0;
  std::int64_t mQueuedTokens = 0;
};

struct TrackedLoad
{
  // When the last report was measured, and until when it counts.
  Instant mMeasuredAt;
  Instant mReportExpiresAt;
  LoadReport mReport;
  // Requests of this entry host that the server runs now.
  std::int64_t mOwnInFlight = 0;
  // The newest changes, the oldest first; a bounded number.
  std::deque<OwnChange> mOwnChanges;
};

struct LoadEstimate
{
  double mRunning = 0;
  double mQueuedTokens = 0;
};

// Takes in a report, unless a newer one is known.
void
ApplyReport(TrackedLoad& aLoad, const LoadReport& aReport, Instant aMeasuredAt);

// Notes that a request was sent to the server.
void
RecordOwnStart(TrackedLoad& aLoad, Instant aNow);

// Notes that the server must process `aTokens` of a prompt of this entry host.
void
RecordOwnQueued(TrackedLoad& aLoad, std::int64_t aTokens, Instant aNow);

// Notes that a request sent to the server ended.
void
RecordOwnEnd(TrackedLoad& aLoad, Instant aNow);

// Estimates the load now. Queued tokens shrink by `aPrefillTokensPerMs` since they were measured.
LoadEstimate
EstimateLoad(const TrackedLoad& aLoad, double aPrefillTokensPerMs, Instant aNow);

} // namespace trefoil
