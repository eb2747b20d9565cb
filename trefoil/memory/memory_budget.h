// Decides how much of a machine's memory a process holds for clients, servers and other hosts, and
// which clients give way when that is exhausted.
//
//   MemoryBudget budget{ .mLimits = LimitsOfMachine(machineBytes) };
//   UpdateClient(budget, client, { .mIncomplete = bytes, .mSince = now });
//   for (const MemoryClientId ended : ClientsToEnd(budget, now)) { ... }
//
// Bytes are those of the allocated capacity, not of the contents. Clients give way in this order:
// those that hold more than an ordinary request, by bytes times the time since they began; then the
// others, by time. A small answer that the client has left for less than 5 s is not ended. Pure
// functions over plain structs, not thread-safe.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace trefoil {

// For what bytes are held.
enum class MemoryKind
{
  // Requests that clients have not sent completely.
  kIncompleteRequests,
  // Complete requests, and their copies that are being sent to servers.
  kRequests,
  // Answers of servers that cannot be relayed yet.
  kServerAnswers,
  // Answers that clients have not taken yet, those in the kernel included.
  kUnsentAnswers,
  // Connections that are carried for other hosts.
  kCarried,
  // Connections of clients, beside what they receive and send.
  kConnections,
};

inline constexpr NameTable<MemoryKind, 6> kMemoryKindNames{ {
  { MemoryKind::kIncompleteRequests, "incomplete_requests" },
  { MemoryKind::kRequests, "requests" },
  { MemoryKind::kServerAnswers, "server_answers" },
  { MemoryKind::kUnsentAnswers, "unsent_answers" },
  { MemoryKind::kCarried, "carried" },
  { MemoryKind::kConnections, "connections" },
} };

// Why a client was refused or ended for lack of memory or connections.
enum class MemoryRefusal
{
  // An incomplete request gave way to others.
  kGaveWay,
  // A request found no room.
  kNoRoom,
  // The client had left answers unread.
  kUnreadAnswers,
  // The connection waited for longest while no further one could be accepted.
  kConnectionLimit,
};

inline constexpr NameTable<MemoryRefusal, 4> kMemoryRefusalNames{ {
  { MemoryRefusal::kGaveWay, "gave_way" },
  { MemoryRefusal::kNoRoom, "no_room" },
  { MemoryRefusal::kUnreadAnswers, "unread_answers" },
  { MemoryRefusal::kConnectionLimit, "connection_limit" },
} };

struct MemoryLimits
{
  // Everything that is held.
  std::size_t mTotal = 0;
  // Requests that clients have not sent completely.
  std::size_t mIncomplete = 0;
  // Further large requests are refused above this, so that small ones find room.
  std::size_t mLarge = 0;
  // What the kernel may hold of requests that the process has not read, beside mTotal.
  std::size_t mKernel = 0;
};

// A request that holds no more than this is small. The requests of ordinary clients have up to
// 100 kB, and while they grow to a stated length up to one and a half times the capacity of that.
inline constexpr std::size_t kSmallRequestBytes = std::size_t{ 160 } * 1024;

// What a connection of a client takes beside what it receives and sends: its objects, its timer and
// the buffers that it keeps.
inline constexpr std::size_t kConnectionBytes = std::size_t{ 4 } * 1024;

// Returns the limits for a process that may use `aMachineBytes`. They suffice for one request of 4
// MB also on a small machine.
MemoryLimits
LimitsOfMachine(std::size_t aMachineBytes);

using MemoryClientId = std::uint64_t;

// What is held for one client.
struct ClientMemory
{
  std::size_t mIncomplete = 0;
  std::size_t mUnsent = 0;
  // Since when the client holds the request, or leaves the answer unread.
  Instant mSince;
};

struct MemoryBudget
{
  MemoryLimits mLimits;
  std::array<std::size_t, kMemoryKindNames.size()> mHeld{};
  // The clients that hold anything.
  std::unordered_map<MemoryClientId, ClientMemory> mClients;
};

// Replaces a part of what is held, `aBefore` bytes, by `aAfter` bytes.
void
ChangeHeld(MemoryBudget& aBudget, MemoryKind aKind, std::size_t aBefore, std::size_t aAfter);

std::size_t
HeldBytes(const MemoryBudget& aBudget, MemoryKind aKind);

std::size_t
TotalHeldBytes(const MemoryBudget& aBudget);

// Sets what is held for a client, whose former part is replaced. The start of a part that was held
// before is kept.
void
UpdateClient(MemoryBudget& aBudget, MemoryClientId aClient, const ClientMemory& aMemory);

// Returns whether the limits are exceeded, so that ClientsToEnd names clients.
bool
IsExhausted(const MemoryBudget& aBudget);

// Returns the clients that have to give way for the limits to hold with `aNeeded` bytes more, and
// somewhat more, so that the next bytes do not end the next client. Takes O(n log n) in the number
// of clients.
std::vector<MemoryClientId>
ClientsToEnd(const MemoryBudget& aBudget, Instant aNow, std::size_t aNeeded = 0);

// Returns whether a complete request of `aBytes` may be held and sent to a server: `aBytes` more
// for the copy that is sent. Large requests find no room above MemoryLimits::mLarge, small ones
// above MemoryLimits::mTotal.
bool
HasRoomForRequest(const MemoryBudget& aBudget, std::size_t aBytes);

} // namespace trefoil
