// The traffic thread of an entry host: the connections of clients, the requests being processed and
// the connections to backend servers.
//
//   auto traffic = TrafficThread::Start(options, log, metrics);
//   traffic->Publish(view);                  // from the control thread
//   traffic->Stop(graceDeadline);            // blocks until requests have finished
//
// All state belongs to the traffic thread; other threads post tasks to it. Unless stated otherwise,
// the member functions are thread-safe.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/dispatch/allowed_regions.h"
#include "trefoil/dispatch/quota.h"
#include "trefoil/dispatch/retry_budget.h"
#include "trefoil/eventlog/event_log.h"
#include "trefoil/forward/forward_codec.h"
#include "trefoil/forward/traffic_view.h"
#include "trefoil/memory/memory_budget.h"
#include "trefoil/metrics/metrics.h"

#include <functional>
#include <memory>
#include <optional>

namespace trefoil {

struct TrafficOptions
{
  HostId mHost;
  AvailabilityZoneId mZone;
  // Where the zones are, for requests that are restricted to regions.
  RegionMap mRegions;
  // Endpoints for clients, for the readiness checks of the platform and for reading metrics.
  Endpoint mListen;
  Endpoint mReadiness;
  std::optional<Endpoint> mMetrics;
  // Endpoint for other hosts whose connections this one carries. Without it, it carries none.
  std::optional<Endpoint> mRelay;
  ForwardCodec mCodec;
  ServiceRetryOptions mRetries;
  // By how much sooner an answer from another zone must begin to be worth its price; std::nullopt
  // if servers are chosen without regard to that.
  std::optional<Milliseconds> mZoneCrossingCost;
  // What the platform permits beyond a quota: mQuotaOverage is a fraction of the rate, mQuotaSlack
  // is added to the burst, in tokens or requests.
  double mQuotaOverage = 0;
  double mQuotaSlack = 0;
  Milliseconds mUsageWindow{ 0 };
  // Requests that need a credential are refused if the configuration has not been confirmed to be
  // current for longer than this.
  Milliseconds mMaxConfigurationAge{ 0 };
  // Limit on the client connections and the idle server connections together.
  std::size_t mMaxConnections = 0;
  // Limits on what is held for clients, servers and other hosts.
  MemoryLimits mMemoryLimits = LimitsOfMachine(std::size_t{ 128 } * 1024 * 1024);
};

class TrafficThread
{
public:
  // Binds the listeners and starts the thread. Returns BindError if an endpoint cannot be bound.
  static absl::StatusOr<std::unique_ptr<TrafficThread>> Start(const TrafficOptions& aOptions,
                                                              EventLog& aLog,
                                                              Metrics& aMetrics);
  ~TrafficThread();

  // Sets the view that the traffic thread uses from then on.
  void Publish(std::shared_ptr<const TrafficView> aView);
  // Posts an update from other hosts to the traffic thread.
  void PublishPeerUpdate(PeerUpdate aUpdate);
  // Sets the callback that receives the dispatches of requests with long prompts, in batches,
  // within 10 ms of each dispatch. It is called on the traffic thread.
  void SetDispatchCallback(std::function<void(std::vector<DispatchReport>)> aCallback);
  // Applies dispatches that other hosts have reported.
  void ApplyDispatches(std::vector<DispatchReport> aDispatches);
  // Sets the callback that receives evidence about prompts that crash servers, within 10 ms of a
  // change. It is called on the traffic thread; `aIsOwn` tells whether this host observed some of
  // what is new.
  void SetCrashEvidenceCallback(
    std::function<void(CrashEvidence aEvidence, bool aIsOwn)> aCallback);
  // Applies evidence that another host has sent.
  void ApplyCrashEvidence(CrashEvidence aEvidence);
  // Sets the callback that receives changes of the limits that servers state to this host, within
  // 50 ms of each. It is called on the traffic thread.
  void SetLimitCallback(std::function<void(std::vector<LimitReport>)> aCallback);
  // Applies limits that other hosts have reported.
  void ApplyLimits(std::vector<LimitReport> aLimits);
  // Sets the callback that receives rejections of brittle servers at once. It is called on the
  // traffic thread.
  void SetRejectionCallback(std::function<void(const RejectionReport&)> aCallback);
  // Applies rejections that other hosts have received.
  void ApplyRejections(std::vector<RejectionReport> aReports);
  // Applies the events that other hosts have received from servers.
  void ApplyServerEvents(std::map<BackendServerId, EventTotals> aEvents);
  // Creates a report on the traffic thread and passes it to `aCallback` there.
  void Report(std::function<void(TrafficReport)> aCallback);

  // Fails the readiness checks of the platform, continues to serve until all requests have ended
  // or until `aDeadline`, and stops the thread. Blocks meanwhile. Returns the number of requests
  // that were aborted.
  int Stop(Instant aDeadline);
  // Returns the report that covers the time since the previous one. Must be called after Stop.
  TrafficReport FinalReport();

private:
  struct Impl;
  explicit TrafficThread(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoil
