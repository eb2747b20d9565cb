#include "trefoil/dispatch/answer_times.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

constexpr std::chrono::seconds kPeriod{ 30 };
// The servers that are left are slower while they take over the work of those that stop too.
constexpr int kSpareFactor = 2;
// Routes come and go with configurations.
constexpr std::size_t kMaxRoutes = 10'000;

} // namespace

void
RecordAnswerTime(AnswerTimes& aTimes, const std::string& aRoute, Instant aArrivedAt, Instant aNow)
{
  if (aTimes.mByRoute.size() >= kMaxRoutes && !aTimes.mByRoute.contains(aRoute)) {
    aTimes.mByRoute.clear();
  }
  SlowestAnswers& slowest = aTimes.mByRoute[aRoute];
  if (HasPassed(slowest.mPeriodEndsAt, aNow)) {
    slowest.mPrevious = std::exchange(slowest.mCurrent, Instant::duration{ 0 });
    slowest.mPeriodEndsAt = aNow + kPeriod;
  }
  slowest.mCurrent = std::max(slowest.mCurrent, aNow - aArrivedAt);
}

bool
CanEndBefore(const AnswerTimes& aTimes, const PendingRequest& aRequest, Instant aEnd, Instant aNow)
{
  if (aRequest.mDeadline <= aEnd) {
    return true;
  }
  const auto slowest = aTimes.mByRoute.find(aRequest.mRoute);
  if (slowest == aTimes.mByRoute.end()) {
    return false;
  }
  const Instant::duration expected =
    std::max(slowest->second.mCurrent, slowest->second.mPrevious) * kSpareFactor;
  return aNow + expected <= aEnd;
}

} // namespace trefoil
