// Builds the inputs of admission control from a caller's request and a snapshot.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/admission/admission.h"
#include "trefoil/frontend/completion.h"
#include "trefoil/http/message.h"
#include "trefoil/node/internal/caller.h"
#include "trefoil/node/request_routing.h"
#include "trefoil/node/snapshot.h"

#include <string_view>

namespace trefoil {

inline constexpr std::string_view kPriorityHeader = "X-Trefoil-Priority";

// Returns the arrival event of a request with the priority, weight and limit of its client
// account. The header X-Trefoil-Priority can lower the priority. Returns InvalidArgument if the
// header's value is not a priority.
absl::StatusOr<RequestArrived>
MakeArrival(const Caller& aCaller, const HttpRequest& aRequest, double aWork);

// Returns the expected work of a completion, in units of the work of generating one token.
double
ExpectedWork(const CompletionRequest& aRequest);

// Blocks until the request may run and returns its admission. Returns InvalidArgument for a
// malformed priority and the errors of AdmissionController::WaitForAdmission; the request was then
// not run.
absl::StatusOr<ScopedAdmission>
Admit(const TrafficContext& aContext,
      const Caller& aCaller,
      const HttpRequest& aRequest,
      double aWork);

// Returns the hosts of `aSnapshot` as admission sees them from the zone `aZone`: the alive and
// the leaving hosts of that zone, and the number of live hosts of each other zone whose digest is
// not stale.
HostView
MakeHostView(const Snapshot& aSnapshot, const AvailabilityZoneId& aZone, Instant aNow);

} // namespace trefoil
