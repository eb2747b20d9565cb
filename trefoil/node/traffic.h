// Serves callers' requests on the traffic threads.
//
//   TrafficContext context{ .mSnapshots = &cell, .mRouting = &tables };
//   Serve(context, exchange);
//
// Runs on many threads at once; each request belongs to one.
#pragma once

#include "trefoil/http/server.h"
#include "trefoil/metrics/metrics.h"
#include "trefoil/node/admission_gate.h"
#include "trefoil/node/control_desk.h"
#include "trefoil/node/routing_tables.h"
#include "trefoil/node/snapshot.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace trefoil {

class OutcomeBuffer;

struct TrafficContext
{
  HostId mHost;
  AvailabilityZoneId mZone;
  SnapshotCell* mSnapshots = nullptr;
  RoutingTables* mRouting = nullptr;
  AdmissionGate* mAdmission = nullptr;
  // Requests that are being served now.
  std::atomic<std::int64_t>* mActive = nullptr;
  Metrics* mMetrics = nullptr;
  ControlDesk* mDesk = nullptr;
  // Authenticates tickets. Empty if the host mints and takes none.
  std::string mClusterSecret;
  // Receives the outcomes of attempts; null if nobody counts them.
  OutcomeBuffer* mOutcomes = nullptr;
};

// Answers one request of a caller, an operator or the balancer.
void
Serve(const TrafficContext& aContext, HttpExchange& aExchange);

} // namespace trefoil
