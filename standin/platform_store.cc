#include "standin/platform_store.h"

#include "trefoil/base/base64.h"
#include "trefoil/http/status_code.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <sstream>
#include <utility>

namespace trefoil::standin {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

// How often a waiting watch removes expired keys and leases and checks for changes.
constexpr Milliseconds kExpiryCheckInterval{ 50 };

HttpResponse
JsonAnswer(const Object& aObject, int aStatus = 200)
{
  std::ostringstream text;
  aObject.stringify(text);
  return { .mStatus = aStatus,
           .mHeaders = { { "Content-Type", "application/json" } },
           .mBody = text.str() };
}

std::int64_t
NumberInQuery(const HttpRequest& aRequest, std::string_view aKey)
{
  const std::string text = QueryValue(aRequest.mTarget, aKey);
  return text.empty() ? 0 : std::stoll(text);
}

Object
ParseBody(const HttpRequest& aRequest)
{
  return *Poco::JSON::Parser{}.parse(aRequest.mBody).extract<Object::Ptr>();
}

} // namespace

void
PlatformStore::Serve(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  const bool admin = PathOf(request.mTarget).starts_with("/admin/");
  HttpResponse answer;
  bool down = false;
  {
    const absl::MutexLock lock{ &mMutex };
    down = mDown && !admin;
    try {
      Expire();
      answer = down ? HttpResponse{} : (admin ? ServeAdmin(request) : ServeCall(request));
    } catch (const std::exception& error) {
      answer = { .mStatus = kBadRequest, .mBody = error.what() };
    }
  }
  if (down) {
    aExchange.Abort();
    return;
  }
  aExchange.Respond(answer);
}

HttpResponse
PlatformStore::ServeAdmin(const HttpRequest& aRequest)
{
  if (PathOf(aRequest.mTarget) == "/admin/fault") {
    mDown = NumberInQuery(aRequest, "Down") != 0;
    return {};
  }
  if (PathOf(aRequest.mTarget) == "/admin/drop-history") {
    mChanges.clear();
    mHistorySince = mRevision;
    return {};
  }
  if (PathOf(aRequest.mTarget) == kLinksPath) {
    SetHostLinks(mLinks, aRequest);
    return {};
  }
  Item item{ .mValue = aRequest.mBody };
  const std::int64_t timeToLiveMilliseconds = NumberInQuery(aRequest, "LastsMs");
  if (timeToLiveMilliseconds > 0) {
    item.mExpiresAt = Now() + Milliseconds{ timeToLiveMilliseconds };
  }
  Put(QueryValue(aRequest.mTarget, "Key"), std::move(item));
  return {};
}

HttpResponse
PlatformStore::ServeCall(const HttpRequest& aRequest)
{
  const std::string path{ PathOf(aRequest.mTarget) };
  constexpr std::string_view kRenewPath = "/trefoillb/kv-keep/";
  constexpr std::string_view kRevokePath = "/trefoillb/kv-lease-end/";
  if (path == "/trefoillb/kv-range" || path == "/trefoillb/kv-key") {
    return Range(aRequest);
  }
  if (path == "/trefoillb/kv-watch") {
    return Watch(aRequest);
  }
  if (path == "/trefoillb/kv-txn") {
    return Commit(aRequest);
  }
  if (path == "/trefoillb/kv-lease") {
    return Grant(aRequest);
  }
  if (path.starts_with(kRenewPath)) {
    return Renew(path.substr(kRenewPath.size()));
  }
  if (path.starts_with(kRevokePath)) {
    const auto lease = mLeases.find(std::stoull(path.substr(kRevokePath.size())));
    if (lease != mLeases.end()) {
      lease->second.mExpiresAt = Now();
      Expire();
    }
    return {};
  }
  if (path == "/usage" || path == "/scale") {
    return {};
  }
  return { .mStatus = kNotFound };
}

HttpResponse
PlatformStore::Range(const HttpRequest& aRequest)
{
  const std::string key = QueryValue(aRequest.mTarget, "Key");
  const auto render = [this, &aRequest](const std::string& aKey, const Item& aItem) {
    mMutex.AssertHeld();
    Object::Ptr object = new Object;
    object->set("Key", aKey);
    object->set("Value", ToBase64(ForCaller(mLinks, aRequest, aItem.mValue)));
    object->set("Revision", aItem.mRevision);
    return object;
  };
  if (!key.empty()) {
    const auto found = mItems.find(key);
    return found == mItems.end() ? HttpResponse{ .mStatus = kNotFound }
                                 : JsonAnswer(*render(key, found->second));
  }
  const std::string prefix = QueryValue(aRequest.mTarget, "PathPrefix");
  Array items;
  for (const auto& [name, item] : mItems) {
    if (name.starts_with(prefix)) {
      items.add(render(name, item));
    }
  }
  Object object;
  object.set("Items", items);
  object.set("HasMore", false);
  object.set("At", mRevision);
  return JsonAnswer(object);
}

std::vector<PlatformStore::Change>
PlatformStore::ChangesAfter(const std::string& aPrefix, std::int64_t aRevision) const
{
  std::vector<Change> changes;
  for (const Change& change : mChanges) {
    if (change.mItem.mRevision > aRevision && change.mKey.starts_with(aPrefix)) {
      changes.push_back(change);
    }
  }
  return changes;
}

HttpResponse
PlatformStore::Watch(const HttpRequest& aRequest)
{
  const std::string prefix = QueryValue(aRequest.mTarget, "PathPrefix");
  const std::int64_t after = NumberInQuery(aRequest, "After");
  const Instant deadline = Now() + Milliseconds{ NumberInQuery(aRequest, "WaitMs") };
  std::vector<Change> changes = ChangesAfter(prefix, after);
  while (changes.empty() && after >= mHistorySince && !mDown && !HasPassed(deadline, Now())) {
    mMutex.AwaitWithTimeout(absl::Condition(
                              +[](bool* aDown) { return *aDown; }, &mDown),
                            absl::FromChrono(kExpiryCheckInterval));
    Expire();
    changes = ChangesAfter(prefix, after);
  }
  if (after < mHistorySince) {
    return { .mStatus = kGone };
  }
  Array events;
  for (const Change& change : changes) {
    Object event;
    event.set("Key", change.mKey);
    event.set("Revision", change.mItem.mRevision);
    if (change.mRemoved) {
      event.set("WasRemoved", true);
    } else {
      event.set("Value", ToBase64(ForCaller(mLinks, aRequest, change.mItem.mValue)));
    }
    events.add(event);
  }
  Object object;
  object.set("events", events);
  object.set("At", mRevision);
  return JsonAnswer(object);
}

HttpResponse
PlatformStore::Commit(const HttpRequest& aRequest)
{
  const Object body = ParseBody(aRequest);
  Array currentItems;
  bool allMatch = true;
  const auto expected = body.getArray("ExpectedRevision");
  for (unsigned i = 0; !expected.isNull() && i < expected->size(); ++i) {
    const auto row = expected->getObject(i);
    const auto key = row->getValue<std::string>("Key");
    const auto found = mItems.find(key);
    const std::int64_t revision = found == mItems.end() ? 0 : found->second.mRevision;
    allMatch = allMatch && revision == row->getValue<std::int64_t>("Revision");
    if (found != mItems.end()) {
      Object object;
      object.set("Key", key);
      object.set("Value", ToBase64(found->second.mValue));
      object.set("Revision", revision);
      currentItems.add(object);
    }
  }
  Object answer;
  if (!allMatch) {
    answer.set("Items", currentItems);
    return JsonAnswer(answer, kPreconditionFailed);
  }
  const auto writes = body.getArray("Writes");
  for (unsigned i = 0; !writes.isNull() && i < writes->size(); ++i) {
    const auto row = writes->getObject(i);
    const auto lease = row->optValue<std::uint64_t>("Lease", 0);
    if (lease != 0 && !mLeases.contains(lease)) {
      return { .mStatus = kNotFound };
    }
    Put(row->getValue<std::string>("Key"),
        { .mValue = FromBase64(row->getValue<std::string>("Value")), .mLease = lease });
  }
  answer.set("Revision", mRevision);
  return JsonAnswer(answer);
}

HttpResponse
PlatformStore::Grant(const HttpRequest& aRequest)
{
  const Milliseconds timeToLive{ ParseBody(aRequest).getValue<std::int64_t>("TtlMs") };
  mLeases[++mLastLease] = { .mTimeToLive = timeToLive, .mExpiresAt = Now() + timeToLive };
  Object object;
  object.set("Lease", mLastLease);
  object.set("TtlMs", timeToLive.count());
  return JsonAnswer(object);
}

HttpResponse
PlatformStore::Renew(const std::string& aLease)
{
  const auto lease = mLeases.find(std::stoull(aLease));
  if (lease == mLeases.end()) {
    return { .mStatus = kNotFound };
  }
  lease->second.mExpiresAt = Now() + lease->second.mTimeToLive;
  Object object;
  object.set("TtlMs", lease->second.mTimeToLive.count());
  return JsonAnswer(object);
}

void
PlatformStore::Put(const std::string& aKey, Item aItem)
{
  const auto found = mItems.find(aKey);
  if (found != mItems.end() && found->second.mValue == aItem.mValue &&
      aItem.mExpiresAt.has_value()) {
    // A heartbeat that changes no value is not a change for watches.
    found->second.mExpiresAt = aItem.mExpiresAt;
    return;
  }
  aItem.mRevision = ++mRevision;
  mItems[aKey] = aItem;
  mChanges.push_back({ .mKey = aKey, .mItem = std::move(aItem) });
}

void
PlatformStore::Remove(const std::string& aKey)
{
  mItems.erase(aKey);
  mChanges.push_back({ .mKey = aKey, .mItem = { .mRevision = ++mRevision }, .mRemoved = true });
}

void
PlatformStore::Expire()
{
  const Instant now = Now();
  std::erase_if(mLeases,
                [now](const auto& aItem) { return HasPassed(aItem.second.mExpiresAt, now); });
  std::vector<std::string> expiredKeys;
  for (const auto& [key, item] : mItems) {
    const bool isExpired = item.mExpiresAt.has_value() && HasPassed(*item.mExpiresAt, now);
    if (isExpired || (item.mLease != 0 && !mLeases.contains(item.mLease))) {
      expiredKeys.push_back(key);
    }
  }
  for (const std::string& key : expiredKeys) {
    Remove(key);
  }
}

} // namespace trefoil::standin
