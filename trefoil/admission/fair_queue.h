// Requests that wait, by priority and client account.
//
//   FairQueue queue;
//   Push(queue, { .mPriority = Priority::kUrgent, .mAccount = account }, weight, request);
//   std::optional<PoppedRequest> next = Pop(queue, Deferrables::kTake, aNow);
//
// Self-clocked fair queueing (Golestani, "A Self-Clocked Fair Queueing Scheme for Broadband
// Applications", 1994): while a flow waits, it receives its weight's share of the work that is
// done, whatever the other flows ask for. A priority multiplies the weight, so that urgent work
// goes first and deferrable work still moves. Inside a flow the request that must start first goes
// first. Plain data and pure functions.
#pragma once

#include "absl/container/flat_hash_map.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/service/service_document.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace trefoil {

// One request in front of admission, unique on its entry host.
using QueueTicket = std::uint64_t;

// The requests that share one queue.
struct FlowKey
{
  Priority mPriority = Priority::kNormal;
  ClientAccountId mAccount;

  friend auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

struct QueuedRequest
{
  QueueTicket mTicket = 0;
  // When it must start to meet its deadline.
  Instant mLatestStart;
  // Until when a deferrable request may be held back.
  Instant mReleaseAt;
  // Expected work, in tokens.
  double mWork = 1;
};

using QueueOrder = std::pair<Instant, QueueTicket>;

struct Flow
{
  double mWeight = 1;
  // Virtual time at which its next request starts: when the work that it received ends, or when it
  // began to wait.
  double mStart = 0;
  double mQueuedWork = 0;
  std::map<QueueOrder, QueuedRequest> mRequests;
};

struct FairQueue
{
  std::map<FlowKey, Flow> mFlows;
  double mVirtualTime = 0;
  // Where each request waits.
  absl::flat_hash_map<QueueTicket, std::pair<FlowKey, Instant>> mPlaces;
  // All requests, by when they must start.
  std::set<QueueOrder> mByLatestStart;
};

// Whether deferrable requests that may still be held back are taken.
enum class Deferrables
{
  kTake,
  kHold,
};

inline constexpr NameTable<Deferrables, 2> kDeferrablesNames{ {
  { Deferrables::kTake, "take" },
  { Deferrables::kHold, "hold" },
} };

// Returns the weight of a flow of an account with the weight `aAccountWeight`.
double
FlowWeight(Priority aPriority, int aAccountWeight);

void
Push(FairQueue& aQueue, const FlowKey& aKey, double aWeight, const QueuedRequest& aRequest);

// A request that was taken out, and the flow it waited in.
struct PoppedRequest
{
  FlowKey mFlow;
  QueuedRequest mRequest;
};

// Takes out the next request, nothing if none may go.
std::optional<PoppedRequest>
Pop(FairQueue& aQueue, Deferrables aDeferrables, Instant aNow);

// Takes out one request. Returns whether it waited.
bool
Remove(FairQueue& aQueue, QueueTicket aTicket);

// Returns the flow that has the most queued work for its weight, null if nothing waits.
const FlowKey*
LargestFlow(const FairQueue& aQueue);

// Returns the time that a further request of `aWork` would wait if `aWorkPerMs` were done in a
// millisecond and every waiting flow went on to ask for its share.
double
ExpectedWaitMs(const FairQueue& aQueue,
               const FlowKey& aKey,
               double aWeight,
               const QueuedRequest& aRequest,
               double aWorkPerMs);

} // namespace trefoil
