// Messages about the events that streams of backend servers have delivered, from which hosts learn
// how fast the servers are (dispatch/server_speed.h).
//
//   ServerEventsMessage message{ .mHost = self, .mEntries = entries };
//
// A lost message only delays what the hosts learn. Plain structs; trefoil/wire/codec.h encodes
// them.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/wire/server_limit_message.h"

#include <vector>

namespace trefoil {

struct ServerEventsEntry
{
  BackendServerId mServer;
  double mEvents = 0;
  // The time between these events and the ones before each of them.
  double mSeconds = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mEvents, mSeconds);
  }
};

struct ServerEventsMessage
{
  HostId mHost;
  RelayStage mStage = RelayStage::kHosts;
  std::vector<ServerEventsEntry> mEntries;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mStage, mEntries);
  }
};

} // namespace trefoil
