#include "trefoil/memory/memory_budget.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace trefoil {
namespace {

// What a process uses without clients, with its libraries and threads: 11 MB measured for
// trefoil-gateway and 18 MB for trefoild, and room for the tables of a large fleet.
constexpr std::size_t kOwnBytes = std::size_t{ 24 } * 1000 * 1000;
// The rest of the machine is divided between the budget and what is not counted byte by byte: what
// the kernel holds for connections, and the copies that exist while a buffer grows.
constexpr std::size_t kUncountedParts = 2;
// One request of 4 MB, half as much again for the growth of its buffer, the copy that is sent to
// the server, and an answer.
constexpr std::size_t kMinTotal = std::size_t{ 16 } * 1000 * 1000;
// A small answer is unread after this time.
constexpr Milliseconds kMinUnreadTime{ 5'000 };
// The part of the machine for requests in the kernel.
constexpr std::size_t kKernelParts = 8;
constexpr std::size_t kMinKernel = std::size_t{ 4 } * 1000 * 1000;
// Freed beyond what is needed, as a part of the limit.
constexpr std::size_t kSlackParts = 16;

std::size_t
BytesOf(const ClientMemory& aMemory)
{
  return aMemory.mIncomplete + aMemory.mUnsent;
}

std::size_t
Excess(std::size_t aHeld, std::size_t aLimit)
{
  return aHeld > aLimit ? aHeld - aLimit : 0;
}

// A client that may give way.
struct Rank
{
  MemoryClientId mClient = 0;
  std::size_t mBytes = 0;
  bool mIsLarge = false;
  double mWeight = 0;
};

Rank
RankOf(MemoryClientId aClient, const ClientMemory& aMemory, std::size_t aBytes, Instant aNow)
{
  constexpr double kMinAgeMs = 1;
  const double age =
    std::max(kMinAgeMs, std::chrono::duration<double, std::milli>(aNow - aMemory.mSince).count());
  const bool isLarge = aBytes > kSmallRequestBytes;
  return { .mClient = aClient,
           .mBytes = aBytes,
           .mIsLarge = isLarge,
           .mWeight = isLarge ? age * static_cast<double>(aBytes) : age };
}

// Returns whether the client may give way. One that takes a small answer at its own pace does not:
// its answer would be cut off for little memory.
bool
MayGiveWay(const ClientMemory& aMemory, Instant aNow)
{
  return aMemory.mIncomplete > 0 || aMemory.mUnsent > kSmallRequestBytes ||
         aNow - aMemory.mSince >= kMinUnreadTime;
}

// Adds clients to `aEnded` until they hold `aNeeded` bytes, counted by `aBytesOf`.
template<typename BytesFunction>
void
AddClients(const MemoryBudget& aBudget,
           Instant aNow,
           std::size_t aNeeded,
           const BytesFunction& aBytesOf,
           std::vector<MemoryClientId>& aEnded)
{
  std::vector<Rank> ranks;
  for (const auto& [client, memory] : aBudget.mClients) {
    if (aBytesOf(memory) > 0 && MayGiveWay(memory, aNow)) {
      ranks.push_back(RankOf(client, memory, aBytesOf(memory), aNow));
    }
  }
  std::ranges::sort(ranks, [](const Rank& aLeft, const Rank& aRight) {
    return std::tuple{ aLeft.mIsLarge, aLeft.mWeight } >
           std::tuple{ aRight.mIsLarge, aRight.mWeight };
  });
  std::size_t freed = 0;
  for (const Rank& rank : ranks) {
    if (freed >= aNeeded) {
      return;
    }
    freed += rank.mBytes;
    if (std::ranges::find(aEnded, rank.mClient) == aEnded.end()) {
      aEnded.push_back(rank.mClient);
    }
  }
}

} // namespace

MemoryLimits
LimitsOfMachine(std::size_t aMachineBytes)
{
  const std::size_t total = std::max(kMinTotal, Excess(aMachineBytes, kOwnBytes) / kUncountedParts);
  return { .mTotal = total,
           .mIncomplete = total / 2,
           .mLarge = total - total / 4,
           .mKernel = std::max(kMinKernel, aMachineBytes / kKernelParts) };
}

void
ChangeHeld(MemoryBudget& aBudget, MemoryKind aKind, std::size_t aBefore, std::size_t aAfter)
{
  std::size_t& held = aBudget.mHeld.at(static_cast<std::size_t>(aKind));
  held = held + aAfter - aBefore;
}

std::size_t
HeldBytes(const MemoryBudget& aBudget, MemoryKind aKind)
{
  return aBudget.mHeld.at(static_cast<std::size_t>(aKind));
}

std::size_t
TotalHeldBytes(const MemoryBudget& aBudget)
{
  return std::accumulate(aBudget.mHeld.begin(), aBudget.mHeld.end(), std::size_t{ 0 });
}

void
UpdateClient(MemoryBudget& aBudget, MemoryClientId aClient, const ClientMemory& aMemory)
{
  const auto found = aBudget.mClients.find(aClient);
  const ClientMemory before = found == aBudget.mClients.end() ? ClientMemory{} : found->second;
  ChangeHeld(aBudget, MemoryKind::kIncompleteRequests, before.mIncomplete, aMemory.mIncomplete);
  ChangeHeld(aBudget, MemoryKind::kUnsentAnswers, before.mUnsent, aMemory.mUnsent);
  if (BytesOf(aMemory) == 0) {
    if (found != aBudget.mClients.end()) {
      aBudget.mClients.erase(found);
    }
    return;
  }
  const bool goesOn = (before.mIncomplete > 0 && aMemory.mIncomplete > 0) ||
                      (before.mUnsent > 0 && aMemory.mUnsent > 0);
  aBudget.mClients[aClient] = { .mIncomplete = aMemory.mIncomplete,
                                .mUnsent = aMemory.mUnsent,
                                .mSince = goesOn ? before.mSince : aMemory.mSince };
}

bool
IsExhausted(const MemoryBudget& aBudget)
{
  return HeldBytes(aBudget, MemoryKind::kIncompleteRequests) > aBudget.mLimits.mIncomplete ||
         TotalHeldBytes(aBudget) > aBudget.mLimits.mTotal;
}

std::vector<MemoryClientId>
ClientsToEnd(const MemoryBudget& aBudget, Instant aNow, std::size_t aNeeded)
{
  const MemoryLimits& limits = aBudget.mLimits;
  std::vector<MemoryClientId> ended;
  const std::size_t total = Excess(TotalHeldBytes(aBudget) + aNeeded, limits.mTotal);
  if (total > 0) {
    AddClients(aBudget, aNow, total + limits.mTotal / kSlackParts, BytesOf, ended);
  }
  std::size_t incomplete = HeldBytes(aBudget, MemoryKind::kIncompleteRequests);
  for (const MemoryClientId client : ended) {
    incomplete -= aBudget.mClients.at(client).mIncomplete;
  }
  if (incomplete > limits.mIncomplete) {
    AddClients(
      aBudget,
      aNow,
      HeldBytes(aBudget, MemoryKind::kIncompleteRequests) - limits.mIncomplete +
        limits.mIncomplete / kSlackParts,
      [](const ClientMemory& aMemory) { return aMemory.mIncomplete; },
      ended);
  }
  return ended;
}

bool
HasRoomForRequest(const MemoryBudget& aBudget, std::size_t aBytes)
{
  const std::size_t limit =
    aBytes > kSmallRequestBytes ? aBudget.mLimits.mLarge : aBudget.mLimits.mTotal;
  return TotalHeldBytes(aBudget) + aBytes <= limit;
}

} // namespace trefoil
