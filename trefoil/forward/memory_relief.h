// Ends the clients that have to give way when the memory budget of a traffic thread, or its number
// of connections, is exhausted (memory/memory_budget.h decides which).
//
//   callbacks.mOnMemory = [&](const auto& aSession, const ClientMemory& aMemory, MemoryReport
//   aReport) {
//     OnSessionMemory(state, relief, aSession, aMemory, aReport);
//   };
//
// All functions must be called on the traffic thread.
#pragma once

#include "trefoil/forward/client_session.h"
#include "trefoil/forward/traffic_state.h"

#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace trefoil {

struct MemoryRelief
{
  // The sessions that TrafficState::mMemory counts, by their ids there.
  std::unordered_map<MemoryClientId, std::weak_ptr<ClientSession>> mSessions;
  // Whether a call of RelieveMemory is posted to the event loop.
  bool mIsPosted = false;
};

// Counts what is held for a session. If the budget is exhausted then, ends clients: at once while a
// request is received, otherwise from the event loop.
void
OnSessionMemory(TrafficState& aState,
                MemoryRelief& aRelief,
                const std::shared_ptr<ClientSession>& aSession,
                const ClientMemory& aMemory,
                MemoryReport aReport);

// Ends clients until the limits hold with `aNeeded` bytes more.
void
RelieveMemory(TrafficState& aState, MemoryRelief& aRelief, std::size_t aNeeded);

// Ends some of the sessions that wait for a request for longest, those of new clients excepted, so
// that connections that wait can be accepted. Takes O(n log n) in the number of sessions.
void
EndWaitingSessions(TrafficState& aState,
                   const std::unordered_set<std::shared_ptr<ClientSession>>& aSessions);

// Sets the gauges of the budget.
void
UpdateMemoryGauges(const TrafficState& aState);

} // namespace trefoil
