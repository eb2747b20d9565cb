// The requests that this entry host has in flight, by backend server.
//
//   InFlightTable table;
//   InFlightGuard guard{ table, server };
//
// Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/ids.h"

#include <cstdint>
#include <map>

namespace trefoil {

class InFlightTable
{
public:
  void Add(const BackendServerId& aServer, std::int64_t aChange);
  std::int64_t Count(const BackendServerId& aServer) const;

private:
  mutable absl::Mutex mMutex;
  std::map<BackendServerId, std::int64_t> mCounts ABSL_GUARDED_BY(mMutex);
};

// Counts one request while it lives.
class InFlightGuard
{
public:
  InFlightGuard(InFlightTable& aTable, BackendServerId aServer);
  ~InFlightGuard();
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

private:
  InFlightTable& mTable;
  BackendServerId mServer;
};

} // namespace trefoil
