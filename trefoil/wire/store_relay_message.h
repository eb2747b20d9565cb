// What the entry hosts of a zone tell each other of the store, so that few of them ask it.
//
//   StoreQuery query{ .mHost = self, .mEndpoint = here, .mNumber = 7, .mServerRevision = 1'200 };
//
// Plain structs: only the codec knows their bytes.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/store/store_call.h"

#include <cstdint>
#include <vector>

namespace trefoil {

struct StoreQuery
{
  HostId mHost;
  Endpoint mEndpoint;
  // Comes back with the reply.
  std::uint64_t mNumber = 0;
  // Changes of the operators' and the servers' keys up to these revisions are known to the sender.
  std::int64_t mOperatorRevision = 0;
  std::int64_t mServerRevision = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mEndpoint, mNumber, mOperatorRevision, mServerRevision);
  }
};

// What a host knows of the keys of a prefix.
struct RelayedPrefix
{
  // All changes up to this revision are known.
  std::int64_t mRevision = 0;
  // The newest of these changes.
  std::int64_t mLastChange = 0;
  // How long ago, in milliseconds, the sender asked for what made this known.
  std::int64_t mAgeMs = 0;
  // The items are all changes after this revision; -1 if they are left out.
  std::int64_t mItemsSince = -1;
  std::vector<StoreItem> mItems;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRevision, mLastChange, mAgeMs, mItemsSince, mItems);
  }
};

struct StoreReply
{
  HostId mHost;
  // Of the query; 0 for changes that were not asked for, which prove no time.
  std::uint64_t mNumber = 0;
  RelayedPrefix mOperators;
  RelayedPrefix mServers;
  // How long ago the sender regained the store, in milliseconds; -1 if it never lost it.
  std::int64_t mRegainedMs = -1;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mNumber, mOperators, mServers, mRegainedMs);
  }
};

} // namespace trefoil
