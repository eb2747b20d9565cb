// A stand-in for the part of the users' platform that trefoil-gateway calls: the store and the
// cloud API.
//
//   PlatformStore store;
//   store.Serve(exchange);
//
// Operators and servers write a key by `PUT /admin/key?Key=K[&LastsMs=N]` with the value as body. A
// key with LastsMs is removed after N milliseconds unless it is written again before. After `POST
// /admin/fault?Down=1` all calls other than /admin/ are aborted without an answer, until `Down=0`.
// `POST /admin/drop-history` forgets all changes: watches after an earlier revision get 410.
//
// `PUT /admin/links` gives hosts links of their own, as host_links.h describes. Thread-safe.
#pragma once

#include "standin/host_links.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/instant.h"
#include "trefoil/http_server/http_server.h"

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
    // The lease whose end removes the key; 0 for none.
    std::uint64_t mLease = 0;
    // When the key is removed unless it is written again; std::nullopt for no limit.
    std::optional<Instant> mExpiresAt;
  };
  // A write or a removal of a key.
  struct Change
  {
    std::string mKey;
    Item mItem;
    bool mRemoved = false;
  };
  struct Lease
  {
    // The time from a grant or renewal to the expiry.
    Milliseconds mTimeToLive{ 0 };
    Instant mExpiresAt;
  };

  // Each of these returns the answer to a call. Watch blocks, releasing the lock, until a change
  // arrives or the wait time of the request has elapsed. A malformed call throws std::exception.
  HttpResponse ServeCall(const HttpRequest& aRequest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  HttpResponse ServeAdmin(const HttpRequest& aRequest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  HttpResponse Range(const HttpRequest& aRequest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  HttpResponse Watch(const HttpRequest& aRequest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  HttpResponse Commit(const HttpRequest& aRequest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  HttpResponse Grant(const HttpRequest& aRequest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  HttpResponse Renew(const std::string& aLease) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  // Writes a key under a new revision and records the change. If the key already has the value and
  // the write sets an expiry, only extends the expiry.
  void Put(const std::string& aKey, Item aItem) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  void Remove(const std::string& aKey) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  // Removes expired leases, the keys written with them, and expired keys.
  void Expire() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  // Returns the changes of keys under a prefix whose revision is above `aRevision`, the oldest
  // first.
  std::vector<Change> ChangesAfter(const std::string& aPrefix, std::int64_t aRevision) const
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);

  absl::Mutex mMutex;
  std::map<std::string, Item> mItems ABSL_GUARDED_BY(mMutex);
  std::deque<Change> mChanges ABSL_GUARDED_BY(mMutex);
  // The changes after this revision are known.
  std::int64_t mHistorySince ABSL_GUARDED_BY(mMutex) = 0;
  std::map<std::uint64_t, Lease> mLeases ABSL_GUARDED_BY(mMutex);
  HostLinks mLinks ABSL_GUARDED_BY(mMutex);
  std::int64_t mRevision ABSL_GUARDED_BY(mMutex) = 1;
  std::uint64_t mLastLease ABSL_GUARDED_BY(mMutex) = 0;
  bool mDown ABSL_GUARDED_BY(mMutex) = false;
};

} // namespace trefoil::standin
