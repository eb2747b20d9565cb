#include "trefoil/catalogue/server_registry.h"

#include <algorithm>

namespace trefoil {

bool
RegisterServer(ServerRegistry& aRegistry, const RegisteredServer& aServer)
{
  const auto removed = aRegistry.mRemovedAtRevision.find(aServer.mId);
  if (removed != aRegistry.mRemovedAtRevision.end()) {
    if (removed->second >= aServer.mRevision) {
      return false;
    }
    aRegistry.mRemovedAtRevision.erase(removed);
  }
  const auto [entry, inserted] = aRegistry.mServers.try_emplace(aServer.mId, aServer);
  if (inserted) {
    return true;
  }
  if (entry->second.mRevision >= aServer.mRevision) {
    return false;
  }
  RegisteredServer before = entry->second;
  entry->second = aServer;
  before.mRevision = aServer.mRevision;
  return before != aServer;
}

bool
DeregisterServer(ServerRegistry& aRegistry, const BackendServerId& aId, std::int64_t aRevision)
{
  const auto entry = aRegistry.mServers.find(aId);
  if (entry != aRegistry.mServers.end() && entry->second.mRevision > aRevision) {
    return false;
  }
  std::int64_t& removed = aRegistry.mRemovedAtRevision[aId];
  removed = std::max(removed, aRevision);
  if (entry == aRegistry.mServers.end()) {
    return false;
  }
  aRegistry.mServers.erase(entry);
  return true;
}

} // namespace trefoil
