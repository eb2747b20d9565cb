// Blocks the traffic threads until their requests are admitted or refused.
//
//   AdmissionController controller{ { .mHost = host } };
//   absl::StatusOr<ScopedAdmission> admission =
//     controller.WaitForAdmission(*document, arrival);
//   if (admission.ok()) { ... serve the request; it ends when `admission` is destroyed ... }
//
// Holds one admission state per service, all under one mutex that is never held across I/O. A
// waiting thread blocks on a condition variable until its request is decided or the latest time
// at which the request can start; no thread spins. The requests that wait for one service may be as
// many as the host has room for beside all that it has taken. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/admission/admission.h"
#include "trefoil/service/service_document.h"
#include "trefoil/wire/admission_message.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace trefoil {

struct AdmissionControllerOptions
{
  HostId mHost;
  std::uint64_t mIncarnation = 0;
  // Number of hosts assumed to share the limits until the other hosts have been observed.
  std::size_t mHostsAtStart = 1;
  // Number of requests to all services that this host has room for, running and waiting.
  std::size_t mMaxRequests = 8192;
};

class AdmissionController;

// An admitted request. The destructor reports its end to the admission state.
class ScopedAdmission
{
public:
  ScopedAdmission(AdmissionController& aController, ServiceId aService, QueueTicket aTicket);
  ScopedAdmission(ScopedAdmission&& aOther) noexcept;
  ScopedAdmission& operator=(ScopedAdmission&&) = delete;
  ~ScopedAdmission();

private:
  AdmissionController* mController;
  ServiceId mService;
  QueueTicket mTicket;
};

// Numbers of requests of one service that wait and run on this host.
struct AdmissionCounts
{
  std::size_t mWaiting = 0;
  std::size_t mRunning = 0;
};

class AdmissionController
{
public:
  explicit AdmissionController(AdmissionControllerOptions aOptions);

  // Blocks until the request may run. Returns ResourceExhausted if the client account is over its
  // limit, and Unavailable if the request cannot be answered by its deadline or the queue is full.
  // Both carry a delay after which the caller can retry (see retry_after.h); the request was not
  // run. Ignores mTicket of `aArrival` and assigns a new one.
  absl::StatusOr<ScopedAdmission> WaitForAdmission(const ServiceDocument& aDocument,
                                                   RequestArrived aArrival);

  // Consumes one retry from the retry budget of the service. Returns false if the budget is empty
  // or the service is unknown.
  bool ConsumeRetry(const ServiceId& aService);

  // Applies the current view of the entry hosts to every service, which also decides the waiting
  // requests that are due. Returns the demands to send to the other hosts for the services with a
  // peak budget: the demand of this host and those received most recently.
  AdmissionDemands UpdateHostView(const HostView& aView, Instant aNow);

  // Applies demands received from another host. Ignores services that have no state here.
  void ApplyPeerDemands(const AdmissionDemands& aDemands, Instant aNow);

  AdmissionCounts Counts(const ServiceId& aService) const;

private:
  friend class ScopedAdmission;

  // A thread that waits for the decision on its request.
  struct Waiter
  {
    absl::CondVar mDecided;
    std::optional<AdmissionEffect> mDecision;
  };

  AdmissionState& StateFor(const ServiceDocument& aDocument) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  std::size_t MaxQueued() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  void Apply(AdmissionState& aState, const AdmissionEvent& aEvent, Instant aNow)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  AdmissionEffect WaitForDecision(AdmissionState& aState, QueueTicket aTicket, Waiter& aWaiter)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  void EndRequest(const ServiceId& aService, QueueTicket aTicket);

  const AdmissionControllerOptions mOptions;
  mutable absl::Mutex mMutex;
  QueueTicket mLastTicket ABSL_GUARDED_BY(mMutex) = 0;
  std::uint64_t mSequence ABSL_GUARDED_BY(mMutex) = 0;
  std::map<ServiceId, AdmissionState> mStates ABSL_GUARDED_BY(mMutex);
  std::map<QueueTicket, Waiter*> mWaiters ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
