// Decides which requests to one service run on this entry host, which wait and which are
// refused.
//
//   AdmissionState state = MakeAdmissionState({ .mSelf = host }, aNow);
//   AdmissionEffects effects = Step(state, RequestArrived{ .mTicket = 1, ... }, aNow);
//   Instant timerAt = NextTimer(state, aNow);
//   // At `timerAt`:
//   effects = Step(state, AdmissionTimerExpired{}, timerAt);
//
// Each request receives exactly one decision: it is admitted, or it is refused before it has
// run. A waiting request receives its decision no later than the time at which it must start to
// meet its deadline. Plain data and functions without I/O. The design rationale is in
// docs/design/admission.md.
#pragma once

#include "absl/container/flat_hash_map.h"
#include "trefoil/admission/fair_queue.h"
#include "trefoil/admission/host_retry_budget.h"
#include "trefoil/admission/host_share.h"
#include "trefoil/admission/peak_budget.h"
#include "trefoil/admission/token_bucket.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace trefoil {

struct AdmissionOptions
{
  HostId mSelf;
  std::size_t mHostsAtStart = 1;
  // Maximum number of requests that run concurrently, over all hosts together.
  std::int64_t mSlots = 1;
  // Maximum number of requests that wait on this host.
  std::size_t mMaxQueued = 4096;
  // Budget for the busiest minute over all hosts, in tokens of expected work; 0 for no budget.
  double mPeakWorkPerMinute = 0;
};

// A request has arrived from a caller.
struct RequestArrived
{
  QueueTicket mTicket = 0;
  ClientAccountId mAccount;
  int mAccountWeight = 1;
  // Limit of the account in requests per second, over all hosts; 0 for no limit.
  double mAccountLimit = 0;
  Priority mPriority = Priority::kNormal;
  Instant mDeadline;
  // Expected work in tokens.
  double mWork = 1;
};

// An admitted request has ended, or a waiting one was cancelled.
struct RequestEnded
{
  QueueTicket mTicket = 0;
};

// The service document has changed.
struct AdmissionOptionsChanged
{
  std::int64_t mSlots = 1;
  double mPeakWorkPerMinute = 0;
};

// The set of entry hosts that this host is in contact with was updated.
struct HostViewChanged
{
  HostView mView;
};

// Another host has reported its demand.
struct DemandReceived
{
  HostDemand mDemand;
};

struct AdmissionTimerExpired
{};

using AdmissionEvent = std::variant<RequestArrived,
                                    RequestEnded,
                                    AdmissionOptionsChanged,
                                    HostViewChanged,
                                    DemandReceived,
                                    AdmissionTimerExpired>;

enum class AdmissionRefusal
{
  // The account exceeds its limit.
  kAccountLimit,
  // The request could not be completed by its deadline.
  kDeadline,
  // Too many requests are waiting.
  kQueueFull,
};

inline constexpr NameTable<AdmissionRefusal, 3> kAdmissionRefusalNames{ {
  { AdmissionRefusal::kAccountLimit, "account_limit" },
  { AdmissionRefusal::kDeadline, "deadline" },
  { AdmissionRefusal::kQueueFull, "queue_full" },
} };

struct AdmitRequest
{
  QueueTicket mTicket = 0;
};

// The request is refused and has not run.
struct RefuseRequest
{
  QueueTicket mTicket = 0;
  AdmissionRefusal mReason = AdmissionRefusal::kDeadline;
  // When the caller should retry.
  Instant mRetryAt;
};

using AdmissionEffect = std::variant<AdmitRequest, RefuseRequest>;
using AdmissionEffects = std::vector<AdmissionEffect>;

// Duration of a flow's requests: mean and mean deviation in milliseconds.
struct DurationEstimate
{
  double mMeanMs = 0;
  double mDeviationMs = 0;
  std::int64_t mSamples = 0;
};

// A request that was admitted and has not ended.
struct RunningRequest
{
  FlowKey mFlow;
  Instant mStartedAt;
  double mWork = 0;
};

struct AdmissionState
{
  AdmissionOptions mOptions;
  HostShare mShare;
  FairQueue mQueue;
  std::map<ClientAccountId, TokenBucket> mAccountLimits;
  std::map<FlowKey, DurationEstimate> mDurations;
  absl::flat_hash_map<QueueTicket, RunningRequest> mRunning;
  // Estimated work that one slot completes per millisecond, in tokens.
  double mWorkPerSlotMs = 0.05;
  PeakBudget mPeak;
  HostRetryBudget mRetries;
};

AdmissionState
MakeAdmissionState(AdmissionOptions aOptions, Instant aNow);

// Applies an event and returns the decisions that it leads to.
AdmissionEffects
Step(AdmissionState& aState, const AdmissionEvent& aEvent, Instant aNow);

// Returns when the next AdmissionTimerExpired event is due.
Instant
NextTimer(const AdmissionState& aState, Instant aNow);

// Returns the maximum number of requests that this host runs concurrently, at least 1.
std::int64_t
OwnSlots(const AdmissionState& aState, Instant aNow);

} // namespace trefoil
