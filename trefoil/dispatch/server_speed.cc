#include "trefoil/dispatch/server_speed.h"

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

// After this time an observation counts half: noise of a server lasts for some hundred
// milliseconds, its speed for its lifetime.
constexpr double kHalfLifeSeconds = 8;
// A server is taken to be as fast as the others with the weight of this many events, about one
// stream.
constexpr double kPriorEvents = 30;
constexpr double kMaxSlowness = 4;

} // namespace

EventTotals
Decayed(const ServerSpeed& aSpeed, Instant aNow)
{
  const double seconds = std::chrono::duration<double>(aNow - aSpeed.mDecayedAt).count();
  const double retained =
    aSpeed.mTotals.mEvents > 0 ? std::exp2(-std::max(0.0, seconds) / kHalfLifeSeconds) : 0;
  return { .mEvents = aSpeed.mTotals.mEvents * retained,
           .mSeconds = aSpeed.mTotals.mSeconds * retained };
}

void
RecordEvents(ServerSpeed& aSpeed, const EventTotals& aAdded, Instant aNow)
{
  const EventTotals before = Decayed(aSpeed, aNow);
  aSpeed = { .mTotals = { .mEvents = before.mEvents + aAdded.mEvents,
                          .mSeconds = before.mSeconds + aAdded.mSeconds },
             .mDecayedAt = aNow };
}

double
Slowness(const ServerSpeed& aSpeed, const EventTotals& aService, Instant aNow)
{
  if (aService.mEvents <= 0 || aService.mSeconds <= 0) {
    return 1;
  }
  const double mean = aService.mSeconds / aService.mEvents;
  const EventTotals own = Decayed(aSpeed, aNow);
  const double time = (own.mSeconds + kPriorEvents * mean) / (own.mEvents + kPriorEvents);
  return std::clamp(time / mean, 1 / kMaxSlowness, kMaxSlowness);
}

} // namespace trefoil
