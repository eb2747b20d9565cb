// A queue of waiting requests, ordered by priority and fairly among client accounts.
//
//   FairQueue queue;
//   Enqueue(queue, { .mPriority = Priority::kUrgent, .mAccount = account }, weight, request);
//   std::optional<DequeuedRequest> next = Dequeue(queue, DeferrablePolicy::kAdmit, aNow);
//
// Self-clocked fair queueing (Golestani, "A Self-Clocked Fair Queueing Scheme for Broadband
// Applications", 1994): as long as a flow has waiting requests, it receives its weight's share
// of the completed work, regardless of the demand of other flows. The priority multiplies the
// weight, so that urgent requests are preferred while deferrable ones still make progress.
// Within a flow, the request with the earliest latest start is first. Plain data and pure
// functions.
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

// Identifies a request at admission; unique on its entry host.
using QueueTicket = std::uint64_t;

// Identifies a flow: the requests of one account with the same priority.
struct FlowKey
{
  Priority mPriority = Priority::kNormal;
  ClientAccountId mAccount;

  friend auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

struct QueuedRequest
{
  QueueTicket mTicket = 0;
  // The latest time at which it can start and still meet its deadline.
  Instant mLatestStart;
  // Until then a deferrable request may be deferred.
  Instant mReleaseAt;
  // Expected work in tokens.
  double mWork = 1;
};

using QueueOrder = std::pair<Instant, QueueTicket>;

struct Flow
{
  double mWeight = 1;
  // Virtual time at which the next request of the flow starts: the end of the work that the
  // flow has received, or the time at which the flow began to wait, whichever is later.
  double mStart = 0;
  double mQueuedWork = 0;
  std::map<QueueOrder, QueuedRequest> mRequests;
};

struct FairQueue
{
  std::map<FlowKey, Flow> mFlows;
  double mVirtualTime = 0;
  // The flow and the latest start of each waiting request.
  absl::flat_hash_map<QueueTicket, std::pair<FlowKey, Instant>> mPlaces;
  // All waiting requests in order of their latest start.
  std::set<QueueOrder> mByLatestStart;
};

// Whether Dequeue returns deferrable requests that may still be deferred.
enum class DeferrablePolicy
{
  kAdmit,
  kDefer,
};

inline constexpr NameTable<DeferrablePolicy, 2> kDeferrablePolicyNames{ {
  { DeferrablePolicy::kAdmit, "take" },
  { DeferrablePolicy::kDefer, "hold" },
} };

// Returns the weight of an account's flow. `aAccountWeight` is the weight of the account.
double
FlowWeight(Priority aPriority, int aAccountWeight);

void
Enqueue(FairQueue& aQueue, const FlowKey& aKey, double aWeight, const QueuedRequest& aRequest);

// A request that was removed from the queue, and its flow.
struct DequeuedRequest
{
  FlowKey mFlow;
  QueuedRequest mRequest;
};

// Removes and returns the next request, or returns `std::nullopt` if there is none to run now.
std::optional<DequeuedRequest>
Dequeue(FairQueue& aQueue, DeferrablePolicy aPolicy, Instant aNow);

// Removes one request. Returns whether it was in the queue.
bool
RemoveRequest(FairQueue& aQueue, QueueTicket aTicket);

// Returns the flow with the most queued work relative to its weight, or null if the queue is
// empty.
const FlowKey*
LargestFlow(const FairQueue& aQueue);

// Returns the expected wait in milliseconds of `aRequest`, which is not queued yet, in the flow
// `aKey` of weight `aWeight`. Assumes that `aWorkPerMs` of work is completed per millisecond
// and that every waiting flow keeps using its share.
double
ExpectedWaitMs(const FairQueue& aQueue,
               const FlowKey& aKey,
               double aWeight,
               const QueuedRequest& aRequest,
               double aWorkPerMs);

} // namespace trefoil
