#include "trefoil/catalogue/server_registry.h"

#include "trefoil/base/store_revision.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace trefoil {
namespace {

// Returns whether an entry that the store has after a removal is the removed one: older than the
// removal, or from the copy that the store was restored from.
bool
IsRemovedEntry(const ServerRemoval& aRemoval, const RegisteredServer& aServer)
{
  if (EraOf(aServer.mRevision) <= EraOf(aRemoval.mRevision)) {
    return aServer.mRevision <= aRemoval.mRevision;
  }
  return aServer.mIncarnation < aRemoval.mIncarnation ||
         (aServer.mIncarnation == aRemoval.mIncarnation &&
          NumberOf(aServer.mRevision) <= NumberOf(aRemoval.mEntryRevision));
}

// Returns whether the known entry holds although the store has another one in a later era: the
// server has started again since, or is leaving.
bool
OutlivesRestore(const RegisteredServer& aKnown, const RegisteredServer& aRestored)
{
  return EraOf(aRestored.mRevision) > EraOf(aKnown.mRevision) &&
         (aRestored.mIncarnation < aKnown.mIncarnation ||
          (aRestored.mIncarnation == aKnown.mIncarnation &&
           aKnown.mPhase == ServerPhase::kDraining && aRestored.mPhase == ServerPhase::kReady));
}

// Returns whether a remaining time was stated before and is not longer now.
bool
HasRunDown(const std::optional<Milliseconds>& aBefore, const std::optional<Milliseconds>& aAfter)
{
  return aBefore.has_value() && aAfter.has_value() && *aAfter <= *aBefore;
}

} // namespace

bool
IsRefresh(const RegisteredServer& aBefore, const RegisteredServer& aAfter)
{
  RegisteredServer expected = aBefore;
  expected.mRevision = aAfter.mRevision;
  if (aAfter.mRemainingWarmUp > Milliseconds{ 0 }) {
    // The same time again is a change: it counts from the arrival of the entry that states it.
    if (aAfter.mRemainingWarmUp >= aBefore.mRemainingWarmUp) {
      return false;
    }
    expected.mRemainingWarmUp = aAfter.mRemainingWarmUp;
  }
  if (HasRunDown(aBefore.mRemainingLifetime, aAfter.mRemainingLifetime)) {
    expected.mRemainingLifetime = aAfter.mRemainingLifetime;
  }
  return expected == aAfter;
}

bool
DiffersForOperators(const RegisteredServer& aBefore, const RegisteredServer& aAfter)
{
  const auto facts = [](const RegisteredServer& aServer) {
    return std::tie(aServer.mPhase,
                    aServer.mVersion,
                    aServer.mZone,
                    aServer.mEndpoint,
                    aServer.mService,
                    aServer.mReclaimable);
  };
  return facts(aBefore) != facts(aAfter);
}

bool
RegisterServer(ServerRegistry& aRegistry, const RegisteredServer& aServer)
{
  const auto removal = aRegistry.mRemovals.find(aServer.mId);
  if (removal != aRegistry.mRemovals.end()) {
    if (IsRemovedEntry(removal->second, aServer)) {
      return false;
    }
    aRegistry.mRemovals.erase(removal);
  }
  const auto [entry, inserted] = aRegistry.mServers.try_emplace(aServer.mId, aServer);
  if (inserted) {
    return true;
  }
  if (entry->second.mRevision >= aServer.mRevision) {
    return false;
  }
  if (OutlivesRestore(entry->second, aServer)) {
    entry->second.mRevision = aServer.mRevision;
    return false;
  }
  const RegisteredServer before = std::exchange(entry->second, aServer);
  return !IsRefresh(before, aServer);
}

bool
DeregisterServer(ServerRegistry& aRegistry, const BackendServerId& aId, std::int64_t aRevision)
{
  const auto entry = aRegistry.mServers.find(aId);
  if (entry != aRegistry.mServers.end() && entry->second.mRevision > aRevision) {
    return false;
  }
  ServerRemoval& removal = aRegistry.mRemovals[aId];
  removal.mRevision = std::max(removal.mRevision, aRevision);
  if (entry == aRegistry.mServers.end()) {
    return false;
  }
  removal.mIncarnation = entry->second.mIncarnation;
  removal.mEntryRevision = entry->second.mRevision;
  aRegistry.mServers.erase(entry);
  return true;
}

} // namespace trefoil
