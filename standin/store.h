// A stand-in for the platform's key-value service: compare-and-swap, listings and watches, in
// memory.
//
//   Store store;
//   HttpServer::Start({ .mListen = endpoint, .mHandler = [&](HttpExchange& aExchange) {
//   store.Serve(aExchange); } });
//
// docs/PROTOCOLS.md gives the interface, store_faults.h the faults that it shows on demand.
// Thread-safe.
#pragma once

#include "standin/leases.h"
#include "standin/store_faults.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/http/server.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil::standin {

struct StoredValue
{
  std::string mValue;
  std::uint64_t mRevision = 0;
  bool mDeleted = false;
  // What stood there before, for reads that show an old value.
  std::string mValueBefore;
  std::uint64_t mRevisionBefore = 0;
  // The lease that the key ends with; 0 for none.
  std::uint64_t mLease = 0;
};

class Store
{
public:
  void Serve(HttpExchange& aExchange);

private:
  void ServeAdmin(HttpExchange& aExchange);
  // Carries out a call, unless a fault that stands prevents it.
  void ServeCall(HttpExchange& aExchange, StoreCallKind aKind);
  void ServeKey(HttpExchange& aExchange, const StoreFault& aFault);
  void ServeRead(HttpExchange& aExchange, const std::string& aKey, bool aStale);
  void ServeWrite(HttpExchange& aExchange, const std::string& aKey, bool aLosesAnswer);
  void ServeList(HttpExchange& aExchange);
  void ServeWatch(HttpExchange& aExchange);
  void ServeLeaseCall(HttpExchange& aExchange);
  // Deletes the keys of leases that have ended.
  void ExpireKeys() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  // Returns the entries under a prefix whose revision is over `aAfter`, as JSON.
  std::string Listing(std::string_view aPrefix, std::uint64_t aAfter, bool aWithDeleted)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);
  bool HasChange(std::string_view aPrefix, std::uint64_t aAfter)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex);

  StoreFaults mFaults;
  absl::Mutex mMutex;
  Leases mLeases ABSL_GUARDED_BY(mMutex);
  std::uint64_t mRevision ABSL_GUARDED_BY(mMutex) = 0;
  std::map<std::string, StoredValue> mValues ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil::standin
