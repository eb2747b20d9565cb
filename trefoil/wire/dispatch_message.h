// Reports to the other entry hosts that a host has sent requests to backend servers. Sent without
// waiting for the next TrafficUpdate.
//
//   DispatchUpdate update{ .mHost = self, .mDispatches = reports };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/dispatch/backlog.h"

#include <vector>

namespace trefoil {

struct DispatchUpdate
{
  HostId mHost;
  std::vector<DispatchReport> mDispatches;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mDispatches);
  }
};

} // namespace trefoil
