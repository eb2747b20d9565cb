// Answers that say whether a request ran, as headers and as JSON.
//
//   exchange.Answer(RenderFailure(id, { .mVerdict = Verdict::kNotRun, .mStatus = status }));
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

// Returns the HTTP status for a failure: by its status code if the request did not run, else 504.
int
HttpStatusOf(const Failure& aFailure);

// Returns the JSON that tells a caller of a failure.
std::string
FailureBody(const RequestId& aId, const Failure& aFailure);

HttpResponse
RenderFailure(const RequestId& aId, const Failure& aFailure);

// Adds the request's id and verdict to an answer.
void
AddVerdict(HttpResponse& aAnswer, const RequestId& aId, Verdict aVerdict);

} // namespace trefoil
