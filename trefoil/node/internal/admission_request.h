// What admission needs to know of a caller's request.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/admission/admission.h"
#include "trefoil/frontend/completion.h"
#include "trefoil/http/message.h"
#include "trefoil/node/internal/caller.h"
#include "trefoil/node/snapshot.h"
#include "trefoil/node/traffic.h"

#include <string_view>

namespace trefoil {

inline constexpr std::string_view kPriorityHeader = "X-Trefoil-Priority";

// Returns the arrival of a request with the account's priority, weight and limit. The header
// X-Trefoil-Priority can lower the priority. Returns InvalidArgument if it names none.
absl::StatusOr<RequestArrived>
MakeArrival(const Caller& aCaller, const HttpRequest& aRequest, double aWork);

// Returns the expected work of a completion, in tokens.
double
ExpectedWork(const CompletionRequest& aRequest);

// Waits until the request may run. Returns why it was not run otherwise.
absl::StatusOr<AdmissionPass>
Admit(const TrafficContext& aContext,
      const Caller& aCaller,
      const HttpRequest& aRequest,
      double aWork);

// Returns which other hosts `aSnapshot` shows, from the zone `aZone`.
HostView
ViewOfHosts(const Snapshot& aSnapshot, const AvailabilityZoneId& aZone, Instant aNow);

} // namespace trefoil
