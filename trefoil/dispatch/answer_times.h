// The slowest answers of each route, by which a host that stops decides whether it can still finish
// a request.
//
//   AnswerTimes times;
//   RecordAnswerTime(times, route, aArrivedAt, aNow);
//   if (!CanEndBefore(times, { .mRoute = route, .mDeadline = deadline }, aStopsAt, aNow)) { ... }
//
// Plain data and pure functions.
#pragma once

#include "trefoil/base/instant.h"

#include <map>
#include <string>

namespace trefoil {

// The slowest answers of a route in the current period and in the one before.
struct SlowestAnswers
{
  Instant mPeriodEndsAt;
  Instant::duration mCurrent{ 0 };
  Instant::duration mPrevious{ 0 };
};

struct AnswerTimes
{
  std::map<std::string, SlowestAnswers> mByRoute;
};

// Records that a request of the route that arrived at `aArrivedAt` ended at `aNow`.
void
RecordAnswerTime(AnswerTimes& aTimes, const std::string& aRoute, Instant aArrivedAt, Instant aNow);

struct PendingRequest
{
  std::string mRoute;
  // When the request ends at the latest.
  Instant mDeadline;
};

// Returns whether a request that arrives at `aNow` ends before `aEnd`: at its deadline, or with
// time to spare if it takes as long as the slowest recent answer of its route. Without such an
// answer, only the deadline counts.
bool
CanEndBefore(const AnswerTimes& aTimes, const PendingRequest& aRequest, Instant aEnd, Instant aNow);

} // namespace trefoil
