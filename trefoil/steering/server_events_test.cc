#include "trefoil/steering/server_events.h"

#include <catch2/catch.hpp>
#include <limits>

namespace trefoil {
namespace {

const BackendServerId kFirst{ "engine-1" };
const BackendServerId kSecond{ "engine-2" };

// Guards against events that are told twice, or not at all after a server has been forgotten.
SCENARIO("a host tells the others of the events of servers")
{
  ServerEvents sent;
  const ServerEvents first =
    TakeUnsentEvents(sent, { { kFirst, { .mEvents = 40, .mSeconds = 2 } } });
  CHECK(first == ServerEvents{ { kFirst, { .mEvents = 40, .mSeconds = 2 } } });
  WHEN("nothing has been added")
  {
    THEN("nothing is told")
    {
      CHECK(TakeUnsentEvents(sent, sent).empty());
    }
  }
  WHEN("events have been added, and another server is used")
  {
    const ServerEvents added = TakeUnsentEvents(sent,
                                                { { kFirst, { .mEvents = 60, .mSeconds = 3 } },
                                                  { kSecond, { .mEvents = 5, .mSeconds = 1 } } });
    THEN("only what is new is told")
    {
      CHECK(added == ServerEvents{ { kFirst, { .mEvents = 20, .mSeconds = 1 } },
                                   { kSecond, { .mEvents = 5, .mSeconds = 1 } } });
    }
  }
  WHEN("the server was forgotten and is used again")
  {
    const ServerEvents added =
      TakeUnsentEvents(sent, { { kFirst, { .mEvents = 7, .mSeconds = 1 } } });
    THEN("all its events are told")
    {
      CHECK(added == ServerEvents{ { kFirst, { .mEvents = 7, .mSeconds = 1 } } });
    }
  }
  WHEN("a message arrives")
  {
    ServerEventsMessage message =
      ToServerEventsMessage(HostId{ "host-1" }, RelayStage::kHosts, first);
    CHECK(FromServerEventsMessage(message) == first);
    AND_WHEN("an entry of it cannot be sound")
    {
      message.mEntries.push_back(
        { .mServer = kSecond, .mEvents = std::numeric_limits<double>::quiet_NaN() });
      message.mEntries.push_back({ .mServer = kSecond, .mEvents = 1, .mSeconds = -1 });
      THEN("the others are used")
      {
        CHECK(FromServerEventsMessage(message) == first);
      }
    }
  }
}

} // namespace
} // namespace trefoil
