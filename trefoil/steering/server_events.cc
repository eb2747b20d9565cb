#include "trefoil/steering/server_events.h"

#include <cmath>

namespace trefoil {
namespace {

// A message covers some seconds. More than this can only come from a corrupted one.
constexpr double kMaxEvents = 1e7;
constexpr double kMaxSeconds = 1e6;

bool
IsSound(double aNumber, double aMax)
{
  return std::isfinite(aNumber) && aNumber >= 0 && aNumber <= aMax;
}

} // namespace

ServerEvents
TakeUnsentEvents(ServerEvents& aSent, const ServerEvents& aTotals)
{
  ServerEvents unsent;
  for (const auto& [server, totals] : aTotals) {
    const auto found = aSent.find(server);
    EventTotals added = totals;
    if (found != aSent.end() && found->second.mEvents <= totals.mEvents) {
      added.mEvents -= found->second.mEvents;
      added.mSeconds -= found->second.mSeconds;
    }
    if (added.mEvents > 0) {
      unsent[server] = added;
    }
  }
  aSent = aTotals;
  return unsent;
}

void
AddServerEvents(ServerEvents& aSum, const ServerEvents& aAdded)
{
  for (const auto& [server, added] : aAdded) {
    EventTotals& sum = aSum[server];
    sum.mEvents += added.mEvents;
    sum.mSeconds += added.mSeconds;
  }
}

ServerEventsMessage
ToServerEventsMessage(const HostId& aHost, RelayStage aStage, const ServerEvents& aEvents)
{
  ServerEventsMessage message{ .mHost = aHost, .mStage = aStage };
  for (const auto& [server, totals] : aEvents) {
    message.mEntries.push_back(
      { .mServer = server, .mEvents = totals.mEvents, .mSeconds = totals.mSeconds });
  }
  return message;
}

ServerEvents
FromServerEventsMessage(const ServerEventsMessage& aMessage)
{
  ServerEvents events;
  for (const ServerEventsEntry& entry : aMessage.mEntries) {
    if (IsSound(entry.mEvents, kMaxEvents) && IsSound(entry.mSeconds, kMaxSeconds)) {
      AddServerEvents(events, { { entry.mServer, { entry.mEvents, entry.mSeconds } } });
    }
  }
  return events;
}

} // namespace trefoil
