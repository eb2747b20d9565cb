#include "trefoil/store_client/store_client.h"

#include "trefoil/http/client.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
// The time for the network and the service in addition to the waiting time of a watch.
constexpr Milliseconds kWatchAnswerMargin{ 2000 };

Poco::JSON::Object::Ptr
ParseObject(const std::string& aText)
{
  return Poco::JSON::Parser{}.parse(aText).extract<Poco::JSON::Object::Ptr>();
}

StoreEntry
ParseEntry(const Poco::JSON::Object& aObject)
{
  return { .mKey = aObject.getValue<std::string>("key"),
           .mValue = aObject.optValue<std::string>("value", ""),
           .mRevision = aObject.getValue<std::uint64_t>("revision"),
           .mDeleted = aObject.optValue<bool>("deleted", false) };
}

absl::StatusOr<StoreListing>
ParseListing(const std::string& aText)
{
  try {
    const auto object = ParseObject(aText);
    StoreListing listing{ .mRevision = object->getValue<std::uint64_t>("revision") };
    for (const auto& item : *object->getArray("entries")) {
      listing.mEntries.push_back(ParseEntry(*item.extract<Poco::JSON::Object::Ptr>()));
    }
    return listing;
  } catch (const Poco::Exception& error) {
    return absl::DataLossError(error.displayText());
  }
}

HttpResult
SendRequest(const StoreClient& aStore, HttpRequest aRequest, Instant aDeadline)
{
  return Call(
    { .mServer = aStore.mEndpoint, .mRequest = std::move(aRequest), .mDeadline = aDeadline });
}

absl::StatusOr<StoreListing>
FetchListing(const StoreClient& aStore, const std::string& aTarget, Instant aDeadline)
{
  const HttpResult result = SendRequest(aStore, { .mTarget = aTarget }, aDeadline);
  if (const auto* failure = std::get_if<Failure>(&result)) {
    return failure->mStatus;
  }
  const auto& answer = std::get<HttpResponse>(result);
  if (answer.mStatus != kHttpOk) {
    return absl::UnavailableError(fmt::format("the store answered {}", answer.mStatus));
  }
  return ParseListing(answer.mBody);
}

StoreWriteResult
ParseWriteResult(const HttpResponse& aAnswer, const StoreWriteRequest& aWrite)
{
  try {
    const auto object = ParseObject(aAnswer.mBody);
    if (aAnswer.mStatus == kHttpConflict) {
      return { .mState = StoreWriteState::kConflict, .mCurrent = ParseEntry(*object) };
    }
    const auto revision = object->getValue<std::uint64_t>("revision");
    return { .mState = StoreWriteState::kWritten,
             .mCurrent = { .mKey = aWrite.mKey, .mValue = aWrite.mValue, .mRevision = revision } };
  } catch (const Poco::Exception& error) {
    return { .mState = StoreWriteState::kUnknown, .mReason = error.displayText() };
  }
}

} // namespace

absl::StatusOr<StoreEntry>
Read(const StoreClient& aStore, std::string_view aKey, Instant aDeadline)
{
  const HttpResult result =
    SendRequest(aStore, { .mTarget = fmt::format("/v1/kv/{}", aKey) }, aDeadline);
  if (const auto* failure = std::get_if<Failure>(&result)) {
    return failure->mStatus;
  }
  const auto& answer = std::get<HttpResponse>(result);
  if (answer.mStatus == kHttpNotFound) {
    return StoreEntry{ .mKey = std::string{ aKey } };
  }
  if (answer.mStatus != kHttpOk) {
    return absl::UnavailableError(fmt::format("the store answered {}", answer.mStatus));
  }
  try {
    return ParseEntry(*ParseObject(answer.mBody));
  } catch (const Poco::Exception& error) {
    return absl::DataLossError(error.displayText());
  }
}

absl::StatusOr<StoreListing>
List(const StoreClient& aStore, std::string_view aPrefix, Instant aDeadline)
{
  return FetchListing(aStore, fmt::format("/v1/list?prefix={}", UrlEncode(aPrefix)), aDeadline);
}

absl::StatusOr<StoreListing>
Watch(const StoreClient& aStore,
      std::string_view aPrefix,
      std::uint64_t aAfterRevision,
      Instant aWaitUntil)
{
  const auto wait = Remaining(aWaitUntil, Now());
  const std::string target = fmt::format(
    "/v1/watch?prefix={}&after={}&wait_ms={}", UrlEncode(aPrefix), aAfterRevision, wait.count());
  return FetchListing(aStore, target, aWaitUntil + kWatchAnswerMargin);
}

StoreWriteResult
CompareAndSwap(const StoreClient& aStore, const StoreWriteRequest& aWrite, Instant aDeadline)
{
  const std::string target =
    fmt::format("/v1/kv/{}?expect={}&lease={}", aWrite.mKey, aWrite.mExpected, aWrite.mLease);
  const HttpResult result =
    SendRequest(aStore, { .mMethod = "PUT", .mTarget = target, .mBody = aWrite.mValue }, aDeadline);
  if (const auto* failure = std::get_if<Failure>(&result)) {
    const bool notRun = failure->mVerdict == Verdict::kNotRun;
    return { .mState = notRun ? StoreWriteState::kNotWritten : StoreWriteState::kUnknown,
             .mReason = std::string{ failure->mStatus.message() } };
  }
  const auto& answer = std::get<HttpResponse>(result);
  if (answer.mStatus != kHttpOk && answer.mStatus != kHttpConflict) {
    return { .mState = StoreWriteState::kUnknown,
             .mReason = fmt::format("the store answered {}", answer.mStatus) };
  }
  return ParseWriteResult(answer, aWrite);
}

} // namespace trefoil
