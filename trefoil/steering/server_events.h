// What a host tells the others of the events that it received from backend servers.
//
//   ServerEvents added = TakeUnsentEvents(sent, report.mServerEvents);
//   ServerEventsMessage message = ToServerEventsMessage(self, stage, added);
//   ServerEvents received = FromServerEventsMessage(message);
//
// Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/dispatch/server_speed.h"
#include "trefoil/wire/server_events_message.h"

#include <map>

namespace trefoil {

using ServerEvents = std::map<BackendServerId, EventTotals>;

// Returns what `aTotals` has more than `aSent`, and sets `aSent` to it. A server whose totals are
// lower has been forgotten and used again; all of them count.
ServerEvents
TakeUnsentEvents(ServerEvents& aSent, const ServerEvents& aTotals);

void
AddServerEvents(ServerEvents& aSum, const ServerEvents& aAdded);

ServerEventsMessage
ToServerEventsMessage(const HostId& aHost, RelayStage aStage, const ServerEvents& aEvents);

// Entries that cannot be sound are left out.
ServerEvents
FromServerEventsMessage(const ServerEventsMessage& aMessage);

} // namespace trefoil
