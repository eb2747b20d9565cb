// A stand-in for the platform's key-value service: compare-and-swap, listings and watches, in
// memory.
//
//   Store store;
//   const auto serve = [&](HttpExchange& aExchange) { store.Serve(aExchange); };
//   auto server = HttpServer::Start({ .mListen = endpoint, .mHandler = serve });
//
// docs/PROTOCOLS.md specifies the interface; store_faults.h lists the faults that the store injects
// on demand, and host_links.h the links of hosts of their own. Thread-safe.
#pragma once

#include "standin/host_links.h"
#include "standin/leases.h"
#include "standin/store_faults.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/http_server/http_server.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil::standin {

// The value of a key. A deleted key keeps an entry, so that watches report the deletion.
struct StoredValue
{
  std::string mValue;
  std::uint64_t mRevision = 0;
  bool mDeleted = false;
  // The value and revision before the last write, for injected stale reads.
  std::string mPreviousValue;
  std::uint64_t mPreviousRevision = 0;
  // The lease whose end deletes the key; 0 for none.
  std::uint64_t mLease = 0;
};

class Store
{
public:
  void Serve(HttpExchange& aExchange);

private:
  void ServeAdmin(HttpExchange& aExchange);
  // Sends what was read, with the addresses of servers as the caller reaches them.
  void RespondToRead(HttpExchange& aExchange, const std::string& aBody);
  // Counts a call and executes it, subject to the faults in effect.
  void ServeCall(HttpExchange& aExchange, StoreCallKind aKind);
  void ServeKey(HttpExchange& aExchange, const StoreFault& aFault);
  void ServeRead(HttpExchange& aExchange, const std::string& aKey, bool aStale);
  void ServeWrite(HttpExchange& aExchange, const std::string& aKey, bool aDropAnswer);
  void ServeList(HttpExchange& aExchange);
  void ServeWatch(HttpExchange& aExchange);
  void ServeLeaseCall(HttpExchange& aExchange);
  // Deletes the keys of leases that have ended.
  void ExpireKeys() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  // Returns the current revision of the store and the entries under a prefix whose revision is
  // above `aAfter`, as JSON. Includes deleted keys if `aWithDeleted`.
  std::string RenderListing(std::string_view aPrefix, std::uint64_t aAfter, bool aWithDeleted)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  // Returns whether an entry under a prefix, deleted or not, has a revision above `aAfter`.
  bool HasChange(std::string_view aPrefix, std::uint64_t aAfter)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);

  StoreFaults mFaults;
  absl::Mutex mMutex;
  Leases mLeases ABSL_GUARDED_BY(mMutex);
  std::uint64_t mRevision ABSL_GUARDED_BY(mMutex) = 0;
  std::map<std::string, StoredValue> mValues ABSL_GUARDED_BY(mMutex);
  HostLinks mLinks ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil::standin
