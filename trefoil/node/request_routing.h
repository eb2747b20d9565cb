// Routes each HTTP request on the traffic threads to the handler of its path.
//
//   TrafficContext context{ .mSnapshots = &cell, .mRouting = &tables };
//   ServeRequest(context, exchange);
//
// Thread-safe. Each request is served by one thread.
#pragma once

#include "trefoil/http_server/http_server.h"
#include "trefoil/metrics/metrics.h"
#include "trefoil/node/admission_controller.h"
#include "trefoil/node/control_request_broker.h"
#include "trefoil/node/routing_tables.h"
#include "trefoil/node/snapshot.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace trefoil {

class OutcomeBuffer;
class ServerConnector;
struct SharedRequestState;

// The state of the entry host that serving a request needs. The objects that the pointers refer
// to outlive the traffic threads and are thread-safe.
struct TrafficContext
{
  HostId mHost;
  AvailabilityZoneId mZone;
  SnapshotCell* mSnapshots = nullptr;
  RoutingTables* mRouting = nullptr;
  AdmissionController* mAdmissionController = nullptr;
  // Number of requests being served, including streams that were accepted from other hosts.
  std::atomic<std::int64_t>* mActiveRequests = nullptr;
  Metrics* mMetrics = nullptr;
  SharedRequestState* mRequestState = nullptr;
  // Whether a stream that moves to another engine takes its KV cache along if the notice period
  // of the leaving engine is long enough.
  bool mTransfersCaches = true;
  ControlRequestBroker* mRequestBroker = nullptr;
  // The key that authenticates tickets. Empty if the host neither mints nor accepts tickets.
  std::string mClusterSecret;
  // Connects to backend servers.
  ServerConnector* mConnector = nullptr;
  // Receives the outcomes of attempts. Null if outcomes are not evaluated.
  OutcomeBuffer* mOutcomes = nullptr;
};

// Serves one request of a caller, an operator or the load balancer.
void
ServeRequest(const TrafficContext& aContext, HttpExchange& aExchange);

} // namespace trefoil
