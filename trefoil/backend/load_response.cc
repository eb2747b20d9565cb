#include "trefoil/backend/load_response.h"

#include "trefoil/http/client.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpServerError = 500;
constexpr std::size_t kMaxLoadBytes = std::size_t{ 64 } << 10;

} // namespace

std::optional<LoadResponse>
ParseLoadResponse(const std::string& aBody)
{
  try {
    const auto object = Poco::JSON::Parser{}.parse(aBody).extract<Poco::JSON::Object::Ptr>();
    return LoadResponse{ .mIncarnation = object->getValue<std::uint64_t>("incarnation"),
                         .mSequence = object->getValue<std::uint64_t>("sequence"),
                         .mLeaving = object->getValue<bool>("leaving"),
                         .mRunning = object->optValue<std::uint32_t>("running", 0),
                         .mQueued = object->optValue<std::uint32_t>("queued", 0),
                         .mVersion = VersionId{ object->optValue<std::string>("version", "") } };
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

absl::StatusOr<std::optional<LoadResponse>>
QueryLoad(const Endpoint& aServer, Instant aDeadline)
{
  const HttpResult result = Call({ .mServer = aServer,
                                   .mRequest = { .mTarget = "/load" },
                                   .mDeadline = aDeadline,
                                   .mMaxBodyBytes = kMaxLoadBytes });
  if (const auto* failure = std::get_if<Failure>(&result)) {
    return failure->mStatus;
  }
  const auto& response = std::get<HttpResponse>(result);
  if (response.mStatus >= kHttpServerError) {
    return absl::UnavailableError(
      fmt::format("the server responded with status {}", response.mStatus));
  }
  if (response.mStatus != kHttpOk) {
    return std::optional<LoadResponse>{};
  }
  return ParseLoadResponse(response.mBody);
}

} // namespace trefoil
