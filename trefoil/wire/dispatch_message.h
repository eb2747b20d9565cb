// What an entry host tells the others at once of requests that it has sent to servers.
//
//   DispatchUpdate news{ .mHost = self, .mDispatches = notes };
//
// Plain structs: only the codec knows their bytes.
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
