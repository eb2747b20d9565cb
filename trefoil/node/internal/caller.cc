#include "trefoil/node/internal/caller.h"

#include "absl/strings/numbers.h"
#include "trefoil/base/digest.h"
#include "trefoil/frontend/verdict_response.h"
#include "trefoil/node/internal/admission_request.h"
#include "trefoil/node/internal/keyed_request_handler.h"

#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::int64_t kMaxDeadlineMilliseconds = 24LL * 3'600'000;

absl::StatusOr<Instant>
DeadlineOf(const ServiceDocument& aDocument, const HttpRequest& aRequest, Instant aNow)
{
  const std::string_view text = HeaderValue(aRequest.mHeaders, kDeadlineHeader);
  if (text.empty()) {
    return aNow + Milliseconds{ aDocument.mDefaultDeadlineMilliseconds };
  }
  std::int64_t milliseconds = 0;
  const bool isNumber =
    absl::SimpleAtoi(absl::string_view{ text.data(), text.size() }, &milliseconds);
  if (!isNumber || milliseconds < 1 || milliseconds > kMaxDeadlineMilliseconds) {
    return absl::InvalidArgumentError(
      fmt::format("{} must be from 1 to {}", kDeadlineHeader, kMaxDeadlineMilliseconds));
  }
  return aNow + Milliseconds{ milliseconds };
}

// Returns an error if a header that has one value is repeated. A backend server, or another entry
// host, could take another value than this host does.
absl::Status
CheckSingleHeaders(const HttpRequest& aRequest)
{
  for (const std::string_view name : { std::string_view{ "Host" },
                                       std::string_view{ "Authorization" },
                                       std::string_view{ "Last-Event-ID" },
                                       kDeadlineHeader,
                                       kPriorityHeader,
                                       kIdempotencyKeyHeader,
                                       kAttemptHeader }) {
    if (IsRepeated(aRequest.mHeaders, name)) {
      return absl::InvalidArgumentError(fmt::format("send {} once", name));
    }
  }
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<Caller>
AuthenticateCaller(const Snapshot& aSnapshot,
                   const ServiceId& aService,
                   const HttpRequest& aRequest,
                   Instant aNow)
{
  if (const absl::Status headers = CheckSingleHeaders(aRequest); !headers.ok()) {
    return headers;
  }
  const ServiceView* view = FindService(aSnapshot, aService);
  if (view == nullptr) {
    return absl::NotFoundError(fmt::format("there is no service '{}'", aService.Value()));
  }
  const std::string_view authorization = HeaderValue(aRequest.mHeaders, "Authorization");
  if (!authorization.starts_with(kBearer)) {
    return absl::UnauthenticatedError(
      "send the account's credential as 'Authorization: Bearer ...'");
  }
  const AccountSpec* account =
    FindAccount(*view->mDocument, Sha256Hex(authorization.substr(kBearer.size())));
  if (account == nullptr) {
    return absl::UnauthenticatedError(
      "the credential belongs to no client account of this service");
  }
  const auto deadline = DeadlineOf(*view->mDocument, aRequest, aNow);
  if (!deadline.ok()) {
    return deadline.status();
  }
  return Caller{ .mDocument = view->mDocument,
                 .mAccount = account->mAccount,
                 .mDeadline = *deadline };
}

RequestId
NewRequestId()
{
  return RequestId{ RandomHex() };
}

} // namespace trefoil
