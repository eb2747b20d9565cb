// Decides which requests of one service run now on this entry host, which wait and which are
// refused.
//
//   AdmissionState state = MakeAdmissionState({ .mSelf = host }, aNow);
//   AdmissionEffects effects = Step(state, RequestArrived{ .mTicket = 1, ... }, aNow);
//   Instant wakeAt = NextTimer(state, aNow);            // then Step(state, AdmissionTimer{}, aNow)
//
// Every request that arrives is answered once: admitted, or refused before it ran. One that waits
// is answered by the time at which it must start to meet its deadline. Plain data and functions
// without I/O; docs/design/admission.md gives the reasons.
#pragma once

#include "absl/container/flat_hash_map.h"
#include "trefoil/admission/fair_queue.h"
#include "trefoil/admission/host_share.h"
#include "trefoil/admission/peak_budget.h"
#include "trefoil/admission/retry_allowance.h"
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
  // Requests that run at once over all hosts.
  std::int64_t mSlots = 1;
  // Requests that wait on this host.
  std::size_t mMaxQueued = 4096;
  // Budget for the busiest minute over all hosts, in expected tokens; 0 for none.
  double mPeakWorkPerMinute = 0;
};

// A request of a caller.
struct RequestArrived
{
  QueueTicket mTicket = 0;
  ClientAccountId mAccount;
  int mAccountWeight = 1;
  // Requests a second of the account over all hosts; 0 for no limit.
  double mAccountLimit = 0;
  Priority mPriority = Priority::kNormal;
  Instant mDeadline;
  // Expected work, in tokens.
  double mWork = 1;
};

// A request that was admitted has ended, or one that waits is no longer wanted.
struct RequestEnded
{
  QueueTicket mTicket = 0;
};

// The operators' document changed.
struct AdmissionOptionsChanged
{
  std::int64_t mSlots = 1;
  double mPeakWorkPerMinute = 0;
};

// Which other entry hosts are heard of now.
struct HostsSeen
{
  HostView mView;
};

// What another host does, by gossip.
struct DemandHeard
{
  HostDemand mDemand;
};

struct AdmissionTimer
{};

using AdmissionEvent = std::variant<RequestArrived,
                                    RequestEnded,
                                    AdmissionOptionsChanged,
                                    HostsSeen,
                                    DemandHeard,
                                    AdmissionTimer>;

enum class RefusalReason
{
  // The account is over its limit.
  kAccountLimit,
  // The request would not be answered by its deadline.
  kDeadline,
  // Too many requests wait.
  kQueueFull,
};

inline constexpr NameTable<RefusalReason, 3> kRefusalReasonNames{ {
  { RefusalReason::kAccountLimit, "account_limit" },
  { RefusalReason::kDeadline, "deadline" },
  { RefusalReason::kQueueFull, "queue_full" },
} };

struct AdmitRequest
{
  QueueTicket mTicket = 0;
};

// The request was not run.
struct RefuseRequest
{
  QueueTicket mTicket = 0;
  RefusalReason mReason = RefusalReason::kDeadline;
  // When the caller should try again.
  Instant mRetryAt;
};

using AdmissionEffect = std::variant<AdmitRequest, RefuseRequest>;
using AdmissionEffects = std::vector<AdmissionEffect>;

// How long the requests of a flow take: mean and mean deviation in milliseconds.
struct DurationEstimate
{
  double mMeanMs = 0;
  double mDeviationMs = 0;
  std::int64_t mSamples = 0;
};

// A request that was admitted.
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
  std::map<ClientAccountId, TokenBucket> mLimits;
  std::map<FlowKey, DurationEstimate> mDurations;
  absl::flat_hash_map<QueueTicket, RunningRequest> mRunning;
  // Work that one slot does in a millisecond.
  double mWorkPerSlotMs = 0.05;
  PeakBudget mPeak;
  RetryAllowance mRetries;
};

AdmissionState
MakeAdmissionState(AdmissionOptions aOptions, Instant aNow);

// Applies an event and returns which requests are answered.
AdmissionEffects
Step(AdmissionState& aState, const AdmissionEvent& aEvent, Instant aNow);

// Returns when AdmissionTimer is due.
Instant
NextTimer(const AdmissionState& aState, Instant aNow);

// Returns how many requests this host runs at once.
std::int64_t
OwnSlots(const AdmissionState& aState, Instant aNow);

} // namespace trefoil
