#include "trefoil/http_server/memory_relief.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace trefoil {
namespace {

// The part of the sessions that is ended at a time when no further connection can be accepted.
constexpr std::size_t kEndedParts = 32;
// A client sends its request within this time after it has connected, or goes on with it.
constexpr Milliseconds kMinWait{ 1'000 };
constexpr Milliseconds kReportInterval{ 1'000 };

MemoryClientId
IdOf(const ClientSession& aSession)
{
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): an id of a live session.
  return reinterpret_cast<MemoryClientId>(&aSession);
}

void
EndSession(MemoryRelief& aRelief, ClientSession& aSession)
{
  aRelief.mLoop.RunGuarded([&] {
    const MemoryRefusal reason = aSession.GiveWay();
    if (aRelief.mOnEnded) {
      aRelief.mOnEnded(reason);
    }
  });
}

void
ReportExhausted(MemoryRelief& aRelief, std::size_t aClients)
{
  const Instant now = SuspendAwareNow();
  aRelief.mUnreported += aClients;
  if (aRelief.mOnExhausted && HasPassed(aRelief.mNextReport, now)) {
    aRelief.mNextReport = now + kReportInterval;
    aRelief.mOnExhausted(std::exchange(aRelief.mUnreported, 0));
  }
}

} // namespace

void
OnSessionMemory(MemoryRelief& aRelief,
                const std::shared_ptr<ClientSession>& aSession,
                const ClientMemory& aMemory,
                MemoryReport aReport)
{
  const MemoryClientId client = IdOf(*aSession);
  UpdateClient(aRelief.mMemory, client, aMemory);
  if (aMemory.mIncomplete + aMemory.mUnsent > 0) {
    aRelief.mSessions[client] = aSession;
  } else {
    aRelief.mSessions.erase(client);
  }
  if (!IsExhausted(aRelief.mMemory)) {
    return;
  }
  if (aReport == MemoryReport::kReceiving) {
    RelieveMemory(aRelief, 0);
  } else if (!std::exchange(aRelief.mIsPosted, true)) {
    // The caller may be in the middle of an exchange, which must not end there.
    aRelief.mLoop.Post([&aRelief] {
      aRelief.mIsPosted = false;
      RelieveMemory(aRelief, 0);
    });
  }
}

void
RelieveMemory(MemoryRelief& aRelief, std::size_t aNeeded)
{
  const auto ended = ClientsToEnd(aRelief.mMemory, SuspendAwareNow(), aNeeded);
  if (ended.empty()) {
    return;
  }
  ReportExhausted(aRelief, ended.size());
  for (const MemoryClientId client : ended) {
    const auto found = aRelief.mSessions.find(client);
    if (found == aRelief.mSessions.end()) {
      continue;
    }
    if (const auto session = found->second.lock()) {
      EndSession(aRelief, *session);
    }
  }
}

bool
MakeRoomForRequest(MemoryRelief& aRelief, std::size_t aBytes)
{
  if (HasRoomForRequest(aRelief.mMemory, aBytes)) {
    return true;
  }
  if (aBytes > kSmallRequestBytes) {
    return false;
  }
  RelieveMemory(aRelief, aBytes);
  return HasRoomForRequest(aRelief.mMemory, aBytes);
}

std::size_t
EndWaitingSessions(MemoryRelief& aRelief,
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
    EndSession(aRelief, *session);
  }
  return waiting.size();
}

void
UpdateMemoryGauges(Metrics& aMetrics, const MemoryBudget& aMemory)
{
  const auto set = [&](Gauge aGauge, std::size_t aBytes) {
    aMetrics.Set(aGauge, static_cast<double>(aBytes));
  };
  set(Gauge::kMemoryLimit, aMemory.mLimits.mTotal);
  set(Gauge::kHeldIncompleteRequests, HeldBytes(aMemory, MemoryKind::kIncompleteRequests));
  set(Gauge::kHeldRequests, HeldBytes(aMemory, MemoryKind::kRequests));
  set(Gauge::kHeldServerAnswers, HeldBytes(aMemory, MemoryKind::kServerAnswers));
  set(Gauge::kHeldUnsentAnswers, HeldBytes(aMemory, MemoryKind::kUnsentAnswers));
  set(Gauge::kHeldCarried, HeldBytes(aMemory, MemoryKind::kCarried));
  set(Gauge::kHeldConnections, HeldBytes(aMemory, MemoryKind::kConnections));
}

std::string
DescribeMemory(const MemoryBudget& aMemory)
{
  std::string text = fmt::format("limit={}", aMemory.mLimits.mTotal);
  for (const auto& [kind, name] : kMemoryKindNames) {
    fmt::format_to(std::back_inserter(text), " {}={}", name, HeldBytes(aMemory, kind));
  }
  return text;
}

} // namespace trefoil
