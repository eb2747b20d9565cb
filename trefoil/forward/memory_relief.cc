#include "trefoil/forward/memory_relief.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// The part of the sessions that is ended at a time when no further connection can be accepted.
constexpr std::size_t kEndedParts = 32;
// A client sends its request within this time after it has connected, or goes on with it.
constexpr Milliseconds kMinWait{ 1'000 };

MemoryClientId
IdOf(const ClientSession& aSession)
{
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): an id of a live session.
  return reinterpret_cast<MemoryClientId>(&aSession);
}

void
EndSession(TrafficState& aState, ClientSession& aSession)
{
  aState.mLoop.RunGuarded([&] {
    aState.mMetrics.IncrementLabelled(LabelledCounter::kMemoryRefusals,
                                      NameOf(kMemoryRefusalNames, aSession.GiveWay()));
  });
}

void
LogExhausted(TrafficState& aState, std::size_t aEnded)
{
  const MemoryBudget& memory = aState.mMemory;
  aState.mLog.Write(LogSeverity::kNotable,
                    LogEvent::kMemoryExhausted,
                    "ended={} limit={} incomplete_requests={} requests={} server_answers={} "
                    "unsent_answers={} carried={}",
                    aEnded,
                    memory.mLimits.mTotal,
                    HeldBytes(memory, MemoryKind::kIncompleteRequests),
                    HeldBytes(memory, MemoryKind::kRequests),
                    HeldBytes(memory, MemoryKind::kServerAnswers),
                    HeldBytes(memory, MemoryKind::kUnsentAnswers),
                    HeldBytes(memory, MemoryKind::kCarried));
}

} // namespace

void
OnSessionMemory(TrafficState& aState,
                MemoryRelief& aRelief,
                const std::shared_ptr<ClientSession>& aSession,
                const ClientMemory& aMemory,
                MemoryReport aReport)
{
  const MemoryClientId client = IdOf(*aSession);
  UpdateClient(aState.mMemory, client, aMemory);
  if (aMemory.mIncomplete + aMemory.mUnsent > 0) {
    aRelief.mSessions[client] = aSession;
  } else {
    aRelief.mSessions.erase(client);
  }
  if (!IsExhausted(aState.mMemory)) {
    return;
  }
  if (aReport == MemoryReport::kReceiving) {
    RelieveMemory(aState, aRelief, 0);
  } else if (!std::exchange(aRelief.mIsPosted, true)) {
    // The caller may be in the middle of an exchange, which must not end there.
    aState.mLoop.Post([&aState, &aRelief] {
      aRelief.mIsPosted = false;
      RelieveMemory(aState, aRelief, 0);
    });
  }
}

void
RelieveMemory(TrafficState& aState, MemoryRelief& aRelief, std::size_t aNeeded)
{
  const auto ended = ClientsToEnd(aState.mMemory, SuspendAwareNow(), aNeeded);
  if (ended.empty()) {
    return;
  }
  LogExhausted(aState, ended.size());
  for (const MemoryClientId client : ended) {
    const auto found = aRelief.mSessions.find(client);
    if (found == aRelief.mSessions.end()) {
      continue;
    }
    if (const auto session = found->second.lock()) {
      EndSession(aState, *session);
    }
  }
}

void
EndWaitingSessions(TrafficState& aState,
                   const std::unordered_set<std::shared_ptr<ClientSession>>& aSessions)
{
  const Instant waitingBefore = SuspendAwareNow() - kMinWait;
  std::vector<std::pair<Instant, std::shared_ptr<ClientSession>>> waiting;
  for (const auto& session : aSessions) {
    const auto since = session->WaitingSince();
    if (since.has_value() && *since < waitingBefore) {
      waiting.emplace_back(*since, session);
    }
  }
  std::ranges::sort(waiting);
  waiting.resize(std::min(waiting.size(), aSessions.size() / kEndedParts + 1));
  for (const auto& [since, session] : waiting) {
    EndSession(aState, *session);
  }
}

void
UpdateMemoryGauges(const TrafficState& aState)
{
  const MemoryBudget& memory = aState.mMemory;
  const auto set = [&](Gauge aGauge, std::size_t aBytes) {
    aState.mMetrics.Set(aGauge, static_cast<double>(aBytes));
  };
  set(Gauge::kMemoryLimit, memory.mLimits.mTotal);
  set(Gauge::kHeldIncompleteRequests, HeldBytes(memory, MemoryKind::kIncompleteRequests));
  set(Gauge::kHeldRequests, HeldBytes(memory, MemoryKind::kRequests));
  set(Gauge::kHeldServerAnswers, HeldBytes(memory, MemoryKind::kServerAnswers));
  set(Gauge::kHeldUnsentAnswers, HeldBytes(memory, MemoryKind::kUnsentAnswers));
  set(Gauge::kHeldCarried, HeldBytes(memory, MemoryKind::kCarried));
}

} // namespace trefoil
