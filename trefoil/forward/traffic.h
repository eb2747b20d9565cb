// The traffic thread of an entry host: clients' connections, requests under way and the connections
// to backend servers.
//
//   auto traffic = Traffic::Start(options, log, metrics);
//   traffic->Publish(view);                  // from the control thread
//   traffic->Stop(graceDeadline);            // blocks until requests have finished
//
// All state belongs to the thread; other threads post to it.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/dispatch/quota.h"
#include "trefoil/dispatch/retry_budget.h"
#include "trefoil/eventlog/event_log.h"
#include "trefoil/forward/forward_codec.h"
#include "trefoil/forward/traffic_view.h"
#include "trefoil/metrics/metrics.h"

#include <functional>
#include <memory>
#include <optional>

namespace trefoil {

struct TrafficOptions
{
  HostId mHost;
  AvailabilityZoneId mZone;
  // Where clients connect, where the platform asks whether the host is ready, and where metrics are
  // read; the last may be left out.
  Endpoint mListen;
  Endpoint mReadiness;
  std::optional<Endpoint> mMetrics;
  ForwardCodec mCodec;
  ServiceRetryOptions mRetries;
  // What may be let through beyond a quota: a part of its rate, and tokens (or requests) of its
  // burst.
  double mQuotaOverage = 0;
  double mQuotaSlack = 0;
  Milliseconds mUsageWindow{ 0 };
  // A request with a key is refused once the configuration was not proven current for so long.
  Milliseconds mMaxConfigurationAge{ 0 };
  // Open connections of clients and to servers together.
  std::size_t mMaxConnections = 0;
};

class Traffic
{
public:
  // Binds the listeners and starts the thread. Returns Unavailable if an endpoint cannot be bound.
  static absl::StatusOr<std::unique_ptr<Traffic>> Start(const TrafficOptions& aOptions,
                                                        EventLog& aLog,
                                                        Metrics& aMetrics);
  ~Traffic();

  // Thread-safe.
  void Publish(std::shared_ptr<const TrafficView> aView);
  void Tell(PeerUpdate aUpdate);
  // Has each dispatch of a request with a long prompt handed to `aCallback`, on the traffic thread,
  // soon after it was made.
  void TellDispatches(std::function<void(std::vector<DispatchReport>)> aCallback);
  // Takes in what other hosts have dispatched.
  void TakeDispatches(std::vector<DispatchReport> aDispatches);
  // Has the report made on the traffic thread and handed to `aCallback` there.
  void Report(std::function<void(TrafficReport)> aCallback);

  // Says no to the platform's readiness questions, goes on serving until the requests under way
  // have ended or `aDeadline`, and ends the thread. Returns the number of requests that were cut
  // off.
  int Stop(Instant aDeadline);
  // What was not reported yet; called after Stop.
  TrafficReport LastReport();

private:
  struct Impl;
  explicit Traffic(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoil
