#include "trefoil/frontend/verdict_response.h"

#include "trefoil/base/retry_after.h"

#include <Poco/JSON/Object.h>
#include <sstream>

namespace trefoil {
namespace {

constexpr int kHttpBadRequest = 400;
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpForbidden = 403;
constexpr int kHttpNotFound = 404;
constexpr int kHttpUnprocessable = 422;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;
constexpr std::int64_t kDefaultRetryAfterSeconds = 1;

} // namespace

int
HttpStatusOf(const Failure& aFailure)
{
  if (aFailure.mVerdict != Verdict::kNotRun) {
    return kHttpGatewayTimeout;
  }
  switch (aFailure.mStatus.code()) {
    case absl::StatusCode::kInvalidArgument:
      return kHttpBadRequest;
    case absl::StatusCode::kUnauthenticated:
      return kHttpUnauthorized;
    case absl::StatusCode::kPermissionDenied:
      return kHttpForbidden;
    case absl::StatusCode::kNotFound:
      return kHttpNotFound;
    case absl::StatusCode::kFailedPrecondition:
      return kHttpUnprocessable;
    case absl::StatusCode::kResourceExhausted:
      return kHttpTooManyRequests;
    default:
      return kHttpUnavailable;
  }
}

std::string
RenderFailureBody(const RequestId& aId, const Failure& aFailure)
{
  Poco::JSON::Object::Ptr error = new Poco::JSON::Object;
  error->set("message", std::string{ aFailure.mStatus.message() });
  error->set("type", absl::StatusCodeToString(aFailure.mStatus.code()));
  error->set("verdict", std::string{ VerdictName(aFailure.mVerdict) });
  error->set("request_id", aId.Value());
  Poco::JSON::Object body;
  body.set("error", error);
  std::ostringstream text;
  body.stringify(text);
  return text.str();
}

HttpResponse
RenderFailure(const RequestId& aId, const Failure& aFailure)
{
  HttpResponse response{ .mStatus = HttpStatusOf(aFailure),
                         .mBody = RenderFailureBody(aId, aFailure) + "\n" };
  SetHeader(response.mHeaders, "Content-Type", "application/json");
  if (response.mStatus == kHttpTooManyRequests || response.mStatus == kHttpUnavailable) {
    SetHeader(
      response.mHeaders,
      "Retry-After",
      std::to_string(RetryAfterSeconds(aFailure.mStatus).value_or(kDefaultRetryAfterSeconds)));
  }
  AddVerdictHeaders(response, aId, aFailure.mVerdict);
  return response;
}

void
AddVerdictHeaders(HttpResponse& aResponse, const RequestId& aId, Verdict aVerdict)
{
  SetHeader(aResponse.mHeaders, kRequestIdHeader, aId.Value());
  SetHeader(aResponse.mHeaders, kVerdictHeader, VerdictName(aVerdict));
}

} // namespace trefoil
