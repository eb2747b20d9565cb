#include "trefoil/http_server/connection_use.h"

#include <algorithm>

namespace trefoil {

std::size_t
NeededConnections(const ConnectionLimits& aLimits, const ConnectionUse& aUse)
{
  return aUse.mClients + aUse.mOthers +
         std::max(aUse.mServers, aLimits.mPerRequest * (aUse.mRequests + aUse.mNewClients));
}

bool
MayAccept(const ConnectionLimits& aLimits, const ConnectionUse& aUse)
{
  ConnectionUse next = aUse;
  ++next.mClients;
  ++next.mNewClients;
  const bool isFirst = aUse.mClients + aUse.mOthers == 0;
  return isFirst || NeededConnections(aLimits, next) <= aLimits.mMax;
}

bool
MayBeginRequest(const ConnectionLimits& aLimits, const ConnectionUse& aUse)
{
  ConnectionUse next = aUse;
  ++next.mRequests;
  return aUse.mClients <= 1 || NeededConnections(aLimits, next) <= aLimits.mMax;
}

} // namespace trefoil
