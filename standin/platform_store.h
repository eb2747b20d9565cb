// A stand-in for the store of the users' platform and its cloud API, as far as trefoil-gateway uses
// them.
//
//   PlatformStore store;
//   store.Serve(exchange);
//
// What operators and servers write comes in by `PUT /admin/key?Key=K[&LastsMs=N]` with the value as
// body; a key with LastsMs goes unless it is written again in time. `POST /admin/fault?Down=1`
// makes all calls but these end without an answer until `Down=0`. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/instant.h"
#include "trefoil/http/server.h"

#include <Poco/JSON/Object.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace trefoil::standin {

class PlatformStore
{
public:
  void Serve(HttpExchange& aExchange);

private:
  struct Item
  {
    std::string mValue;
    std::int64_t mRevision = 0;
    std::uint64_t mLease = 0;
    std::optional<Instant> mGoesAt;
  };
  struct Change
  {
    std::string mKey;
    Item mItem;
    bool mRemoved = false;
  };
  struct Lease
  {
    Milliseconds mTime{ 0 };
    Instant mEndsAt;
  };

  HttpResponse Respond(const HttpRequest& aRequest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  HttpResponse Admin(const HttpRequest& aRequest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  HttpResponse Range(const HttpRequest& aRequest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  HttpResponse Watch(const HttpRequest& aRequest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  HttpResponse Commit(const HttpRequest& aRequest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  HttpResponse Grant(const HttpRequest& aRequest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  HttpResponse Renew(const std::string& aLease) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  void Put(const std::string& aKey, Item aItem) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  void Remove(const std::string& aKey) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  void Expire() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  std::vector<Change> ChangesAfter(const std::string& aPrefix, std::int64_t aRevision) const
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);

  absl::Mutex mMutex;
  std::map<std::string, Item> mItems ABSL_GUARDED_BY(mMutex);
  std::deque<Change> mChanges ABSL_GUARDED_BY(mMutex);
  std::map<std::uint64_t, Lease> mLeases ABSL_GUARDED_BY(mMutex);
  std::int64_t mRevision ABSL_GUARDED_BY(mMutex) = 1;
  std::uint64_t mLastLease ABSL_GUARDED_BY(mMutex) = 0;
  bool mDown ABSL_GUARDED_BY(mMutex) = false;
};

} // namespace trefoil::standin
