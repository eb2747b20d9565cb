// HTTP responses that report whether a request ran, in headers and, for failures, in JSON.
//
//   exchange.Respond(RenderFailure(id, { .mVerdict = Verdict::kNotRun, .mStatus = status }));
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/verdict.h"
#include "trefoil/http/message.h"

#include <string>
#include <string_view>

namespace trefoil {

inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";
inline constexpr std::string_view kVerdictHeader = "X-Trefoil-Verdict";
inline constexpr std::string_view kDeadlineHeader = "X-Trefoil-Deadline-Ms";

// Returns the HTTP status for a failure. If the request did not run, the code of
// `aFailure.mStatus` determines it; otherwise it is 504.
int
HttpStatusOf(const Failure& aFailure);

// Returns a failure as a JSON object with message, type, verdict and request id.
std::string
RenderFailureBody(const RequestId& aId, const Failure& aFailure);

// Returns the response for a failure, with the JSON body, the verdict headers and, for statuses
// 429 and 503, Retry-After in seconds (1 if `aFailure.mStatus` does not specify it).
HttpResponse
RenderFailure(const RequestId& aId, const Failure& aFailure);

// Sets the headers for the request id and the verdict in `aResponse`.
void
AddVerdictHeaders(HttpResponse& aResponse, const RequestId& aId, Verdict aVerdict);

} // namespace trefoil
