// Messages with which the entry hosts of a zone relay changes of the store to each other, so that
// only a few hosts per zone query the store itself.
//
//   StoreQuery query{ .mHost = self, .mEndpoint = here, .mNumber = 7, .mServerRevision = 1'200 };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/store/store_call.h"

#include <cstdint>
#include <vector>

namespace trefoil {

// Requests the changes that the sender does not have, and subscribes it to later changes.
struct StoreQuery
{
  HostId mHost;
  Endpoint mEndpoint;
  // The reply returns this number.
  std::uint64_t mNumber = 0;
  // The sender has all changes of the operators' keys and of the servers' keys up to these
  // revisions.
  std::int64_t mOperatorRevision = 0;
  std::int64_t mServerRevision = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mEndpoint, mNumber, mOperatorRevision, mServerRevision);
  }
};

// The state of the keys with a prefix, as one host has it.
struct RelayedPrefix
{
  // The sender has all changes up to this revision.
  std::int64_t mRevision = 0;
  // The revision of the newest of these changes.
  std::int64_t mLastChange = 0;
  // The age of the sender's state in milliseconds: the time since the store call, or the query to
  // another host, that last confirmed it was sent.
  std::int64_t mAgeMs = 0;
  // `mItems` contains all changes after this revision; -1 if the items are omitted.
  std::int64_t mItemsSince = -1;
  std::vector<StoreItem> mItems;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRevision, mLastChange, mAgeMs, mItemsSince, mItems);
  }
};

// The reply to StoreQuery. Also sent to subscribers without a query when keys have changed.
struct StoreReply
{
  HostId mHost;
  // The number of the query. 0 if there was no query; such a message does not confirm that the
  // receiver's state is up to date, because its age cannot be computed.
  std::uint64_t mNumber = 0;
  RelayedPrefix mOperators;
  RelayedPrefix mServers;
  // Milliseconds since the sender's connection to the store was restored; -1 if it was never lost.
  std::int64_t mRegainedAgeMs = -1;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mNumber, mOperators, mServers, mRegainedAgeMs);
  }
};

} // namespace trefoil
