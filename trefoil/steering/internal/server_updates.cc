#include "trefoil/steering/internal/server_updates.h"

#include "trefoil/base/store_revision.h"
#include "trefoil/steering/internal/store_updates.h"

#include <fmt/format.h>
#include <functional>
#include <set>
#include <utility>

namespace trefoil {
namespace {

// Servers whose entries were lost in an outage of the store register again within two seconds
// of its return.
constexpr Milliseconds kReregistrationTime{ 2'200 };
constexpr Milliseconds kRemovalRetryDelay{ 100 };

void
PublishServers(SteeringState& aState)
{
  ServerRegistry servers = aState.mServers;
  for (const auto& [id, revision] : aState.mUnconfirmedRemovals) {
    const auto server = servers.mServers.find(id);
    if (server != servers.mServers.end()) {
      server->second.mRemovalUnconfirmed = true;
    }
  }
  aState.mView.mServers = std::make_shared<const ServerRegistry>(std::move(servers));
  PublishView(aState);
}

// Runs changes of the servers, which return whether the servers to publish changed, and publishes
// them. Changes that were left unpublished by an exception are published with the next ones.
void
ChangeServers(SteeringState& aState, const std::function<bool()>& aChanges)
{
  const bool wasUnpublished = std::exchange(aState.mServersUnpublished, true);
  if (aChanges() || wasUnpublished) {
    PublishServers(aState);
  }
  aState.mServersUnpublished = false;
}

void
LogServerChange(SteeringState& aState, const RegisteredServer& aServer)
{
  aState.mLog.Write(LogSeverity::kNotable,
                    LogEvent::kServersChanged,
                    "server={} service={} zone={} version={} phase={} reclaimable={} revision={}",
                    aServer.mId.Value(),
                    aServer.mService.Value(),
                    aServer.mZone.Value(),
                    aServer.mVersion.Value(),
                    NameOf(kServerPhaseNames, aServer.mPhase),
                    aServer.mReclaimable,
                    RevisionText(aServer.mRevision));
}

// Removes a server, or marks the removal as unconfirmed shortly after an outage of the store.
// Returns whether the servers to publish changed.
bool
RemoveServer(SteeringState& aState, const BackendServerId& aId, std::int64_t aRevision)
{
  const Instant now = SuspendAwareNow();
  const bool isUnconfirmed =
    aState.mStoreRegainedAt.has_value() && now - *aState.mStoreRegainedAt < kReregistrationTime;
  if (isUnconfirmed && aState.mServers.mServers.contains(aId)) {
    return aState.mUnconfirmedRemovals.insert_or_assign(aId, aRevision).second;
  }
  const bool removed = DeregisterServer(aState.mServers, aId, aRevision);
  aState.mUnconfirmedRemovals.erase(aId);
  if (removed) {
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kServersChanged,
                      "server={} phase=gone revision={}",
                      aId.Value(),
                      RevisionText(aRevision));
  }
  return removed;
}

void
ApplyUnconfirmedRemovals(SteeringState& aState)
{
  ChangeServers(aState, [&aState] {
    bool changed = false;
    const auto removals = aState.mUnconfirmedRemovals;
    for (const auto& [id, revision] : removals) {
      changed = RemoveServer(aState, id, revision) || changed;
    }
    return changed;
  });
}

// Applies the removals at `aWhen`, and once more after an exception, since they are not listed.
void
ScheduleUnconfirmedRemovals(SteeringState& aState, Instant aWhen)
{
  aState.mLoop.CallAt(aWhen, [&aState] {
    if (!aState.mLoop.RunGuarded([&aState] { ApplyUnconfirmedRemovals(aState); })) {
      ScheduleUnconfirmedRemovals(aState, SuspendAwareNow() + kRemovalRetryDelay);
    }
  });
}

// Applies the entry of a server. Returns whether the servers to publish changed.
bool
ApplyServer(SteeringState& aState, const StoreItem& aItem)
{
  const BackendServerId id = aState.mOptions.mCodec.mServerOfKey(aItem.mKey);
  if (aItem.mRemoved) {
    return RemoveServer(aState, id, aItem.mRevision);
  }
  const bool reregistered = aState.mUnconfirmedRemovals.erase(id) > 0;
  const auto server = aState.mOptions.mCodec.mDecodeServer(aItem);
  if (!server.ok()) {
    LogRejectedInput(
      aState,
      fmt::format("input=server key={} revision={}", aItem.mKey, RevisionText(aItem.mRevision)),
      server.status());
    return DeregisterServer(aState.mServers, id, aItem.mRevision);
  }
  const auto before = aState.mServers.mServers.find(id);
  const bool isLogged =
    before == aState.mServers.mServers.end() || DiffersForOperators(before->second, *server);
  const bool changed = RegisterServer(aState.mServers, *server);
  if (changed && isLogged) {
    LogServerChange(aState, *server);
  }
  return changed || reregistered;
}

// Returns whether an entry only repeats what this host knows of the server.
bool
IsRefreshItem(const SteeringState& aState, const StoreItem& aItem)
{
  const auto known = aState.mServers.mServers.find(aState.mOptions.mCodec.mServerOfKey(aItem.mKey));
  if (aItem.mRemoved || known == aState.mServers.mServers.end() ||
      aState.mUnconfirmedRemovals.contains(known->first)) {
    return false;
  }
  const auto server = aState.mOptions.mCodec.mDecodeServer(aItem);
  return server.ok() && IsRefresh(known->second, *server);
}

} // namespace

std::vector<StoreItem>
ServerChangesToRelay(SteeringState& aState, const std::vector<StoreItem>& aItems)
{
  return ChangesToRelay(
    aState.mServersRelayedAt,
    aItems,
    [&aState](const StoreItem& aItem) { return IsRefreshItem(aState, aItem); },
    SuspendAwareNow());
}

void
OnServerItems(SteeringState& aState, const std::vector<StoreItem>& aItems)
{
  ChangeServers(aState, [&aState, &aItems] {
    bool changed = false;
    for (const StoreItem& item : aItems) {
      changed = ApplyServer(aState, item) || changed;
    }
    return changed;
  });
}

void
OnServerList(SteeringState& aState, const std::vector<StoreItem>& aItems, std::int64_t aRevision)
{
  std::set<BackendServerId> listed;
  for (const StoreItem& item : aItems) {
    listed.insert(aState.mOptions.mCodec.mServerOfKey(item.mKey));
  }
  std::vector<BackendServerId> missing;
  for (const auto& [id, server] : aState.mServers.mServers) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  ChangeServers(aState, [&] {
    bool changed = false;
    for (const BackendServerId& id : missing) {
      changed = RemoveServer(aState, id, aRevision) || changed;
    }
    for (const StoreItem& item : aItems) {
      changed = ApplyServer(aState, item) || changed;
    }
    return changed || !aState.mView.mServers;
  });
}

void
RecordStoreRegained(SteeringState& aState, Instant aWhen)
{
  // Other hosts report the same return of the store at slightly different times.
  const bool isKnownRegain =
    aState.mStoreRegainedAt.has_value() && aWhen - *aState.mStoreRegainedAt < kReregistrationTime;
  if (isKnownRegain || SuspendAwareNow() - aWhen >= kReregistrationTime) {
    return;
  }
  aState.mStoreRegainedAt = aWhen;
  ScheduleUnconfirmedRemovals(aState, aWhen + kReregistrationTime);
}

} // namespace trefoil
