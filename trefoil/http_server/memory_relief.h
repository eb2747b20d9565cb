// Ends the clients that have to give way when a memory budget, or the number of connections, is
// exhausted (memory/memory_budget.h decides which).
//
//   MemoryRelief relief{ .mLoop = loop, .mMemory = budget };
//   callbacks.mOnMemory = [&](const auto& aSession, const ClientMemory& aMemory, MemoryReport
//   aReport) {
//     OnSessionMemory(relief, aSession, aMemory, aReport);
//   };
//
// All functions must be called on the thread of the event loop.
#pragma once

#include "trefoil/http_server/client_session.h"
#include "trefoil/memory/memory_budget.h"
#include "trefoil/metrics/metrics.h"
#include "trefoil/reactor/event_loop.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace trefoil {

struct MemoryRelief
{
  EventLoop& mLoop;
  MemoryBudget& mMemory;
  // Called for each client that is ended. May be empty.
  std::function<void(MemoryRefusal)> mOnEnded;
  // Called, once a second at most, with the number of clients that were ended or are about to be
  // ended for lack of memory since the last call. May be empty.
  std::function<void(std::size_t aClients)> mOnExhausted;
  // The sessions that mMemory counts, by their ids there.
  std::unordered_map<MemoryClientId, std::weak_ptr<ClientSession>> mSessions;
  // Whether a call of RelieveMemory is posted to the event loop.
  bool mIsPosted = false;
  // Clients that mOnExhausted has not been called for, and when it may be called again.
  std::size_t mUnreported = 0;
  Instant mNextReport;
};

// Counts what is held for a session. If the budget is exhausted then, ends clients: at once while a
// request is received, otherwise from the event loop.
void
OnSessionMemory(MemoryRelief& aRelief,
                const std::shared_ptr<ClientSession>& aSession,
                const ClientMemory& aMemory,
                MemoryReport aReport);

// Ends clients until the limits hold with `aNeeded` bytes more.
void
RelieveMemory(MemoryRelief& aRelief, std::size_t aNeeded);

// Returns whether there is room for a complete request of `aBytes`, which may already be counted
// (HasRoomForRequest). For a small one clients are ended if there is none otherwise.
bool
MakeRoomForRequest(MemoryRelief& aRelief, std::size_t aBytes);

// Ends some of the sessions that wait for a request for longest, those of new clients excepted, so
// that connections that wait can be accepted. Returns how many. Takes O(n log n) in the number of
// sessions.
std::size_t
EndWaitingSessions(MemoryRelief& aRelief,
                   const std::unordered_set<std::shared_ptr<ClientSession>>& aSessions);

// Sets the gauges of a budget.
void
UpdateMemoryGauges(Metrics& aMetrics, const MemoryBudget& aMemory);

// Returns what a log line tells of a budget.
std::string
DescribeMemory(const MemoryBudget& aMemory);

} // namespace trefoil
