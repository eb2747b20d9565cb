// Where the traffic threads wait until their requests are admitted.
//
//   AdmissionGate gate{ { .mHost = host } };
//   absl::StatusOr<AdmissionPass> pass = gate.Enter(*document, arrival, Now());
//   if (pass.ok()) { ... serve the request; the pass ends with its scope ... }
//
// One admission state for each service, all under one mutex that is never held across I/O. A thread
// that waits blocks on a condition until its request is answered or must have started; nothing
// spins. Thread-safe.
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

struct AdmissionGateOptions
{
  HostId mHost;
  std::uint64_t mIncarnation = 0;
  // How many hosts share the limits until the others have been heard of.
  std::size_t mHostsAtStart = 1;
};

class AdmissionGate;

// The right of one request to run. Ends with its scope.
class AdmissionPass
{
public:
  AdmissionPass(AdmissionGate& aGate, ServiceId aService, QueueTicket aTicket);
  AdmissionPass(AdmissionPass&& aOther) noexcept;
  AdmissionPass& operator=(AdmissionPass&&) = delete;
  ~AdmissionPass();

private:
  AdmissionGate* mGate;
  ServiceId mService;
  QueueTicket mTicket;
};

// How many requests of a service wait and run on this host.
struct AdmissionCounts
{
  std::size_t mWaiting = 0;
  std::size_t mRunning = 0;
};

class AdmissionGate
{
public:
  explicit AdmissionGate(AdmissionGateOptions aOptions);

  // Blocks until the request may run. Returns ResourceExhausted if the account is over its limit,
  // Unavailable if the request cannot be answered by its deadline or too many wait; both say when
  // to try again, and the request was not run. The ticket of `aArrival` is set here.
  absl::StatusOr<AdmissionPass> Enter(const ServiceDocument& aDocument, RequestArrived aArrival);

  // Takes one retry of the service from its allowance. Returns whether there was one.
  bool ConsumeRetry(const ServiceId& aService);

  // Takes in which hosts are heard of and answers what is due. Returns the demands to spread.
  AdmissionDemands Tick(const HostView& aView, Instant aNow);

  // Takes in what other hosts say.
  void Hear(const AdmissionDemands& aDemands, Instant aNow);

  AdmissionCounts Counts(const ServiceId& aService) const;

private:
  friend class AdmissionPass;

  // A thread that waits.
  struct Waiter
  {
    absl::CondVar mAnswered;
    std::optional<AdmissionEffect> mAnswer;
  };

  AdmissionState& StateOf(const ServiceDocument& aDocument) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  void Apply(AdmissionState& aState, const AdmissionEvent& aEvent, Instant aNow)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  AdmissionEffect WaitFor(AdmissionState& aState, QueueTicket aTicket, Waiter& aWaiter)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  void Leave(const ServiceId& aService, QueueTicket aTicket);

  const AdmissionGateOptions mOptions;
  mutable absl::Mutex mMutex;
  QueueTicket mLastTicket ABSL_GUARDED_BY(mMutex) = 0;
  std::uint64_t mSequence ABSL_GUARDED_BY(mMutex) = 0;
  std::map<ServiceId, AdmissionState> mStates ABSL_GUARDED_BY(mMutex);
  std::map<QueueTicket, Waiter*> mWaiters ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
