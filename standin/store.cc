#include "standin/store.h"

#include "absl/strings/numbers.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <Poco/JSON/Object.h>
#include <algorithm>
#include <optional>
#include <sstream>
#include <utility>

namespace trefoil::standin {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::string_view kKeyPrefix = "/v1/kv/";
constexpr std::string_view kListPath = "/v1/list";
constexpr std::string_view kWatchPath = "/v1/watch";
constexpr std::string_view kLeasePath = "/v1/lease";
constexpr std::uint64_t kMaxWaitMilliseconds = 60'000;
constexpr int kHttpGone = 410;
constexpr std::size_t kMaxValueBytes = std::size_t{ 1 } << 20;

std::uint64_t
NumberInQuery(const HttpRequest& aRequest, std::string_view aKey)
{
  std::uint64_t number = 0;
  return absl::SimpleAtoi(QueryValue(aRequest.mTarget, aKey), &number) ? number : 0;
}

Object::Ptr
RenderEntry(const std::string& aKey, const StoredValue& aValue)
{
  Object::Ptr object = new Object;
  object->set("key", aKey);
  object->set("value", aValue.mValue);
  object->set("revision", aValue.mRevision);
  object->set("deleted", aValue.mDeleted);
  return object;
}

std::string
RenderJson(const Object& aObject)
{
  std::ostringstream text;
  aObject.stringify(text);
  return text.str();
}

// Returns the kind of a call, or std::nullopt if the path is unknown.
std::optional<StoreCallKind>
CallKindOf(const HttpRequest& aRequest)
{
  const std::string_view path = PathOf(aRequest.mTarget);
  if (path == kWatchPath) {
    return StoreCallKind::kWatch;
  }
  if (path.starts_with(kLeasePath)) {
    return StoreCallKind::kLease;
  }
  if (path == kListPath || (path.starts_with(kKeyPrefix) && aRequest.mMethod == "GET")) {
    return StoreCallKind::kRead;
  }
  return path.starts_with(kKeyPrefix) ? std::optional{ StoreCallKind::kWrite } : std::nullopt;
}

} // namespace

void
Store::Serve(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  const std::string_view path = PathOf(request.mTarget);
  if (path.starts_with("/admin/")) {
    ServeAdmin(aExchange);
  } else if (const auto kind = CallKindOf(request)) {
    ServeCall(aExchange, *kind);
  } else {
    aExchange.Respond({ .mStatus = 404, .mBody = "not found\n" });
  }
}

void
Store::ServeAdmin(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  if (PathOf(request.mTarget) == "/admin/fault" && request.mMethod == "POST") {
    mFaults.SetFaults(request.mTarget);
  } else if (PathOf(request.mTarget) == kLinksPath) {
    const absl::MutexLock lock{ &mMutex };
    SetHostLinks(mLinks, request);
  }
  aExchange.Respond({ .mBody = mFaults.Counts() + "\n" });
}

void
Store::RespondToRead(HttpExchange& aExchange, const std::string& aBody)
{
  HttpResponse answer;
  {
    const absl::MutexLock lock{ &mMutex };
    answer.mBody = ForCaller(mLinks, aExchange.Request(), aBody);
  }
  aExchange.Respond(answer);
}

void
Store::ServeCall(HttpExchange& aExchange, StoreCallKind aKind)
{
  const StoreFault fault = mFaults.CountCall(aKind);
  if (fault.mDown) {
    aExchange.Abort();
    return;
  }
  const std::string_view path = PathOf(aExchange.Request().mTarget);
  if (aKind == StoreCallKind::kWatch) {
    ServeWatch(aExchange);
    return;
  }
  absl::SleepFor(absl::Milliseconds(fault.mSlowMilliseconds));
  if (aKind == StoreCallKind::kLease) {
    ServeLeaseCall(aExchange);
  } else if (path == kListPath) {
    ServeList(aExchange);
  } else {
    ServeKey(aExchange, fault);
  }
}

void
Store::ServeKey(HttpExchange& aExchange, const StoreFault& aFault)
{
  const std::string& method = aExchange.Request().mMethod;
  const std::string key{ PathOf(aExchange.Request().mTarget).substr(kKeyPrefix.size()) };
  if (method == "GET") {
    ServeRead(aExchange, key, mFaults.DrawFault(aFault.mStaleReadsPercent));
  } else if (method == "PUT" || method == "DELETE") {
    ServeWrite(aExchange, key, mFaults.DrawFault(aFault.mLostAnswersPercent));
  } else {
    aExchange.Respond({ .mStatus = 405, .mBody = "use GET, PUT or DELETE\n" });
  }
}

void
Store::ServeRead(HttpExchange& aExchange, const std::string& aKey, bool aStale)
{
  StoredValue value;
  {
    const absl::MutexLock lock{ &mMutex };
    ExpireKeys();
    const auto found = mValues.find(aKey);
    if (found != mValues.end()) {
      value = found->second;
    }
  }
  if (aStale) {
    value = { .mValue = value.mPreviousValue, .mRevision = value.mPreviousRevision };
  }
  if (value.mRevision == 0 || value.mDeleted) {
    aExchange.Respond({ .mStatus = 404, .mBody = "no such key\n" });
    return;
  }
  RespondToRead(aExchange, RenderJson(*RenderEntry(aKey, value)));
}

void
Store::ServeWrite(HttpExchange& aExchange, const std::string& aKey, bool aDropAnswer)
{
  const HttpRequest& request = aExchange.Request();
  if (request.mBody.size() > kMaxValueBytes) {
    aExchange.Respond({ .mStatus = 413, .mBody = "a value must be at most 1 MiB\n" });
    return;
  }
  const std::uint64_t expected = NumberInQuery(request, "expect");
  HttpResponse answer;
  {
    const absl::MutexLock lock{ &mMutex };
    ExpireKeys();
    StoredValue& value = mValues[aKey];
    const std::uint64_t current = value.mDeleted ? 0 : value.mRevision;
    const std::uint64_t lease = NumberInQuery(request, "lease");
    if (lease != 0 && !mLeases.mLiveLeases.contains(lease)) {
      answer = { .mStatus = kHttpGone, .mBody = "no such lease\n" };
    } else if (current != expected) {
      StoredValue shown = value;
      shown.mRevision = current;
      answer = { .mStatus = 409, .mBody = RenderJson(*RenderEntry(aKey, shown)) };
    } else {
      value = { .mValue = request.mBody,
                .mRevision = ++mRevision,
                .mDeleted = request.mMethod == "DELETE",
                .mPreviousValue = std::move(value.mValue),
                .mPreviousRevision = current,
                .mLease = lease };
      Object written;
      written.set("revision", mRevision);
      answer.mBody = RenderJson(written);
    }
  }
  if (aDropAnswer) {
    aExchange.Abort();
    return;
  }
  aExchange.Respond(answer);
}

void
Store::ServeLeaseCall(HttpExchange& aExchange)
{
  HttpResponse answer;
  {
    const absl::MutexLock lock{ &mMutex };
    answer = ServeLease(mLeases, aExchange.Request(), Now());
    ExpireKeys();
  }
  aExchange.Respond(answer);
}

void
Store::ExpireKeys()
{
  for (const std::uint64_t lease : RemoveExpiredLeases(mLeases, Now())) {
    for (auto& [key, value] : mValues) {
      if (value.mLease == lease && !value.mDeleted) {
        value = { .mRevision = ++mRevision, .mDeleted = true };
      }
    }
  }
}

std::string
Store::RenderListing(std::string_view aPrefix, std::uint64_t aAfter, bool aWithDeleted)
{
  Array::Ptr entries = new Array;
  for (const auto& [key, value] : mValues) {
    const bool shown = value.mRevision > aAfter && (aWithDeleted || !value.mDeleted);
    if (key.starts_with(aPrefix) && shown) {
      entries->add(RenderEntry(key, value));
    }
  }
  Object listing;
  listing.set("revision", mRevision);
  listing.set("entries", entries);
  return RenderJson(listing);
}

bool
Store::HasChange(std::string_view aPrefix, std::uint64_t aAfter)
{
  return std::ranges::any_of(mValues, [&](const auto& aEntry) {
    return aEntry.first.starts_with(aPrefix) && aEntry.second.mRevision > aAfter;
  });
}

void
Store::ServeList(HttpExchange& aExchange)
{
  std::string listing;
  {
    const absl::MutexLock lock{ &mMutex };
    ExpireKeys();
    listing = RenderListing(QueryValue(aExchange.Request().mTarget, "prefix"), 0, false);
  }
  RespondToRead(aExchange, listing);
}

void
Store::ServeWatch(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  const std::string prefix = QueryValue(request.mTarget, "prefix");
  const std::uint64_t after = NumberInQuery(request, "after");
  const std::uint64_t wait = std::min(NumberInQuery(request, "wait_ms"), kMaxWaitMilliseconds);
  std::string listing;
  {
    const absl::MutexLock lock{ &mMutex };
    ExpireKeys();
    const auto changed = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
      return HasChange(prefix, after);
    };
    mMutex.AwaitWithTimeout(absl::Condition(&changed),
                            absl::Milliseconds(static_cast<std::int64_t>(wait)));
    ExpireKeys();
    listing = RenderListing(prefix, after, true);
  }
  RespondToRead(aExchange, listing);
}

} // namespace trefoil::standin
