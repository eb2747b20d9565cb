// The control thread of an entry host. It watches the store, exchanges messages with the other
// entry hosts, and performs the duties while this host holds them.
//
//   auto control = ControlThread::Start(options, *BindPeerSocket(endpoint), *traffic, log);
//   ...
//   control->Stop();
//
// All control state belongs to this thread. It publishes views to the traffic thread and
// receives that thread's reports.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/eventlog/event_log.h"
#include "trefoil/forward/traffic_thread.h"
#include "trefoil/metrics/metrics.h"
#include "trefoil/steering/control_codec.h"

#include <Poco/Net/DatagramSocket.h>
#include <memory>
#include <optional>
#include <vector>

namespace trefoil {

struct ControlThreadOptions
{
  HostId mHost;
  AvailabilityZoneId mZone;
  // Where this host receives the messages of other entry hosts, over UDP; see BindPeerSocket.
  Endpoint mPeerEndpoint;
  // The zones of the deployment. Servers may be ordered in them, and they may be evacuated.
  std::vector<AvailabilityZoneId> mZones;
  Endpoint mStore;
  // The cloud API that duties call; `std::nullopt` if this host calls none.
  std::optional<Endpoint> mCloud;
  bool mReportsUsage = false;
  bool mOrdersServers = false;
  Milliseconds mUsageWindow{ 0 };
  Milliseconds mUsageLateAfter{ 0 };
  // How soon a server that leaves must get no more requests.
  Milliseconds mDrainWithin{ 2'000 };
  // How soon after an outage of the store or of the network this host must know that a server
  // leaves.
  Milliseconds mServerNewsWithin{ 5'000 };
  ControlCodec mCodec;
  // Where calls to the store are counted; null if they are not. Must outlive the thread.
  Metrics* mMetrics = nullptr;
};

// Binds the UDP socket for the messages of other entry hosts. It is separate from the start of the
// thread, so that a host takes no connections of clients before all its endpoints are bound.
// Returns BindError if the endpoint cannot be bound.
absl::StatusOr<Poco::Net::DatagramSocket>
BindPeerSocket(const Endpoint& aEndpoint);

class ControlThread
{
public:
  // Starts the thread, which takes over `aPeerSocket`. Returns Unavailable if descriptors or
  // threads are short.
  static absl::StatusOr<std::unique_ptr<ControlThread>> Start(
    const ControlThreadOptions& aOptions,
    const Poco::Net::DatagramSocket& aPeerSocket,
    TrafficThread& aTraffic,
    EventLog& aLog);
  ~ControlThread();

  // Ends the host's lease, which gives up its duties, and announces to the other entry hosts
  // that this one stops. Returns immediately; the thread keeps running.
  void Leave();
  // Sends the last report of the traffic thread to the other entry hosts, then ends the thread.
  // Blocks until the thread has ended. Must be called before Stop, and at most once.
  void SendLastReport(TrafficReport aReport);
  // Ends the thread and blocks until it has ended. Does nothing if it has ended already.
  void Stop();

private:
  struct Impl;
  explicit ControlThread(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoil
