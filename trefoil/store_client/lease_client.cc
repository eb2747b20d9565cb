#include "trefoil/store_client/lease_client.h"

#include "trefoil/http/client.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;

HttpResult
SendRequest(const StoreClient& aStore, std::string aMethod, std::string aTarget, Instant aDeadline)
{
  return Call({ .mServer = aStore.mEndpoint,
                .mRequest = { .mMethod = std::move(aMethod), .mTarget = std::move(aTarget) },
                .mDeadline = aDeadline });
}

} // namespace

absl::StatusOr<std::uint64_t>
CallGrantLease(const StoreClient& aStore, Milliseconds aTimeToLive, Instant aDeadline)
{
  const HttpResult result =
    SendRequest(aStore, "POST", fmt::format("/v1/lease?ttl_ms={}", aTimeToLive.count()), aDeadline);
  if (const auto* failure = std::get_if<Failure>(&result)) {
    return failure->mStatus;
  }
  const auto& answer = std::get<HttpResponse>(result);
  if (answer.mStatus != kHttpOk) {
    return absl::UnavailableError(fmt::format("the store answered {}", answer.mStatus));
  }
  try {
    const auto object = Poco::JSON::Parser{}.parse(answer.mBody).extract<Poco::JSON::Object::Ptr>();
    return object->getValue<std::uint64_t>("lease");
  } catch (const Poco::Exception& error) {
    return absl::DataLossError(error.displayText());
  }
}

LeaseRenewalResult
CallRenewLease(const StoreClient& aStore, std::uint64_t aLease, Instant aDeadline)
{
  const HttpResult result =
    SendRequest(aStore, "POST", fmt::format("/v1/lease/{}/renew", aLease), aDeadline);
  const auto* answer = std::get_if<HttpResponse>(&result);
  if (answer == nullptr) {
    return LeaseRenewalResult::kUnknown;
  }
  if (answer->mStatus == kHttpNotFound) {
    return LeaseRenewalResult::kLost;
  }
  return answer->mStatus == kHttpOk ? LeaseRenewalResult::kLive : LeaseRenewalResult::kUnknown;
}

void
CallRevokeLease(const StoreClient& aStore, std::uint64_t aLease, Instant aDeadline)
{
  SendRequest(aStore, "DELETE", fmt::format("/v1/lease/{}", aLease), aDeadline);
}

} // namespace trefoil
