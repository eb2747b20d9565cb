// Messages about requests that brittle servers have rejected.
//
//   ServerRejectionMessage message{ .mHost = self, .mEntries = entries };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/wire/server_limit_message.h"

#include <cstdint>
#include <vector>

namespace trefoil {

struct ServerRejectionEntry
{
  BackendServerId mServer;
  // The start of the server in Unix milliseconds.
  std::int64_t mIncarnation = 0;
  std::int64_t mAgeMilliseconds = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mIncarnation, mAgeMilliseconds);
  }
};

struct ServerRejectionMessage
{
  HostId mHost;
  RelayStage mStage = RelayStage::kHosts;
  std::vector<ServerRejectionEntry> mEntries;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mStage, mEntries);
  }
};

} // namespace trefoil
