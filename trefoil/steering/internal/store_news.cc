#include "trefoil/steering/internal/store_news.h"

#include "trefoil/steering/internal/relaying.h"
#include "trefoil/steering/quota_record.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace trefoil {
namespace {

// How long the store holds a watch without changes. That of the operators' keys also proves that
// the configuration is the newest, so it is well below the age at which keys are refused.
constexpr Milliseconds kOperatorWait{ 1'000 };
constexpr Milliseconds kServerWait{ 5'000 };
// A host that follows the store for others shows them so often that it still does.
constexpr Milliseconds kServerWaitForOthers{ 1'000 };
// Servers that start or leave together are read by one call. Well below the time in which a leaving
// server must get no more requests.
constexpr Milliseconds kServerGather{ 500 };
constexpr Milliseconds kOperatorGather{ 100 };
// Servers that the store dropped during its outage register again within two seconds of its return.
constexpr Milliseconds kServersReturn{ 2'200 };
constexpr Milliseconds kHostsLimit{ 1'500 };
constexpr const char* kHostPrefix = "hosts/";

void
TakeCatalogue(ControlState& aState, const StoreItem& aItem)
{
  if (aItem.mRemoved || aItem.mRevision <= aState.mCatalogueRevision) {
    return;
  }
  auto catalogue = aState.mOptions.mCodec.mReadCatalogue(aItem.mValue);
  if (!catalogue.ok()) {
    RejectInput(
      aState, fmt::format("input=configuration revision={}", aItem.mRevision), catalogue.status());
    return;
  }
  aState.mCatalogueRevision = aItem.mRevision;
  const std::int64_t before =
    aState.mView.mCatalogue ? aState.mView.mCatalogue->mCatalogue.mVersion : 0;
  if (catalogue->mVersion < before) {
    aState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kInputRejected,
                      "input=configuration revision={} reason=\"version {} is below {}\"",
                      aItem.mRevision,
                      catalogue->mVersion,
                      before);
    return;
  }
  RouteIndex index = IndexRoutes(*catalogue);
  aState.mLog.Write(LogWeight::kNotable,
                    LogEvent::kConfigurationInForce,
                    "version={} before={} revision={} routes={} accounts={}",
                    catalogue->mVersion,
                    before,
                    aItem.mRevision,
                    catalogue->mRoutes.size(),
                    catalogue->mAccounts.size());
  aState.mView.mCatalogue = std::make_shared<const PublishedCatalogue>(
    PublishedCatalogue{ .mCatalogue = std::move(*catalogue), .mIndex = std::move(index) });
}

void
TakeVersionOrder(ControlState& aState, const StoreItem& aItem)
{
  if (aItem.mRemoved) {
    return;
  }
  const auto order = aState.mOptions.mCodec.mReadVersionOrder(aItem.mValue);
  if (!order.ok()) {
    RejectInput(aState, fmt::format("input=version_order key={}", aItem.mKey), order.status());
    return;
  }
  if (OnOrder(aState.mMoves,
              *order,
              aItem.mRevision,
              aState.mReport.mOutcomes[order->mService],
              SuspendAwareNow())) {
    aState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kVersionMove,
                      "service={} target={} state=running revision={}",
                      order->mService.Value(),
                      order->mTarget.Value(),
                      aItem.mRevision);
  }
}

void
OnOperatorItems(ControlState& aState, const std::vector<StoreItem>& aItems)
{
  const PlatformCodec& codec = aState.mOptions.mCodec;
  // Only the newest of several configurations is decoded.
  const StoreItem* newest = nullptr;
  for (const StoreItem& item : aItems) {
    if (item.mKey == codec.mConfigurationKey &&
        (newest == nullptr || item.mRevision > newest->mRevision)) {
      newest = &item;
    }
    if (item.mKey.starts_with(codec.mVersionOrderPrefix)) {
      TakeVersionOrder(aState, item);
    }
  }
  if (newest != nullptr) {
    TakeCatalogue(aState, *newest);
  }
}

void
PublishServers(ControlState& aState)
{
  ServerRegistry servers = aState.mServers;
  for (const auto& [id, revision] : aState.mDoubtfulRemovals) {
    const auto server = servers.mServers.find(id);
    if (server != servers.mServers.end()) {
      server->second.mDoubtful = true;
    }
  }
  aState.mView.mServers = std::make_shared<const ServerRegistry>(std::move(servers));
  PublishView(aState);
}

void
LogServer(ControlState& aState, const RegisteredServer& aServer)
{
  aState.mLog.Write(LogWeight::kNotable,
                    LogEvent::kServersChanged,
                    "server={} service={} zone={} version={} phase={} reclaimable={} revision={}",
                    aServer.mId.Value(),
                    aServer.mService.Value(),
                    aServer.mZone.Value(),
                    aServer.mVersion.Value(),
                    NameOf(kServerPhaseNames, aServer.mPhase),
                    aServer.mReclaimable,
                    aServer.mRevision);
}

// Returns whether the registry changed.
bool
RemoveServer(ControlState& aState, const BackendServerId& aId, std::int64_t aRevision)
{
  const Instant now = SuspendAwareNow();
  const bool doubtful =
    aState.mServersRegainedAt.has_value() && now - *aState.mServersRegainedAt < kServersReturn;
  if (doubtful && aState.mServers.mServers.contains(aId)) {
    return aState.mDoubtfulRemovals.insert_or_assign(aId, aRevision).second;
  }
  const bool removed = Forget(aState.mServers, aId, aRevision);
  if (removed) {
    aState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kServersChanged,
                      "server={} phase=gone revision={}",
                      aId.Value(),
                      aRevision);
  }
  return removed;
}

void
SettleDoubtfulRemovals(ControlState& aState)
{
  bool changed = false;
  for (const auto& [id, revision] : std::exchange(aState.mDoubtfulRemovals, {})) {
    changed = RemoveServer(aState, id, revision) || changed;
  }
  if (changed) {
    PublishServers(aState);
  }
}

bool
TakeServer(ControlState& aState, const StoreItem& aItem)
{
  const BackendServerId id = aState.mOptions.mCodec.mServerOfKey(aItem.mKey);
  if (aItem.mRemoved) {
    return RemoveServer(aState, id, aItem.mRevision);
  }
  const bool returned = aState.mDoubtfulRemovals.erase(id) > 0;
  const auto server = aState.mOptions.mCodec.mReadServer(aItem);
  if (!server.ok()) {
    RejectInput(aState,
                fmt::format("input=server key={} revision={}", aItem.mKey, aItem.mRevision),
                server.status());
    return Forget(aState.mServers, id, aItem.mRevision);
  }
  const bool changed = Learn(aState.mServers, *server);
  if (changed) {
    LogServer(aState, *server);
  }
  return changed || returned;
}

void
OnServerItems(ControlState& aState, const std::vector<StoreItem>& aItems)
{
  bool changed = false;
  for (const StoreItem& item : aItems) {
    changed = TakeServer(aState, item) || changed;
  }
  if (changed) {
    PublishServers(aState);
  }
}

void
OnServerList(ControlState& aState, const std::vector<StoreItem>& aItems, std::int64_t aRevision)
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
  bool changed = false;
  for (const BackendServerId& id : missing) {
    changed = RemoveServer(aState, id, aRevision) || changed;
  }
  for (const StoreItem& item : aItems) {
    changed = TakeServer(aState, item) || changed;
  }
  if (changed || !aState.mView.mServers) {
    PublishServers(aState);
  }
}

PrefixWatchCallbacks
HealthCallbacks(ControlState& aState, const char* aName)
{
  return { .mOnLost =
             [&aState, aName](StoreOutcome aOutcome) {
               aState.mLog.Write(LogWeight::kNotable,
                                 LogEvent::kDependencyLost,
                                 "dependency=store watch={} outcome={}",
                                 aName,
                                 NameOf(kStoreOutcomeNames, aOutcome));
             },
           .mOnRegained =
             [&aState, aName] {
               aState.mLog.Write(LogWeight::kNotable,
                                 LogEvent::kDependencyRegained,
                                 "dependency=store watch={}",
                                 aName);
             } };
}

void
OnHosts(ControlState& aState, const StoreAnswer& aAnswer)
{
  if (aAnswer.mOutcome != StoreOutcome::kDone) {
    return;
  }
  std::map<HostId, Endpoint> listed;
  for (const StoreItem& item : aAnswer.mItems) {
    const auto endpoint = ParseEndpoint(item.mValue);
    if (endpoint.ok()) {
      listed[HostId{ item.mKey.substr(std::string_view{ kHostPrefix }.size()) }] = *endpoint;
    } else {
      RejectInput(aState, fmt::format("input=host key={}", item.mKey), endpoint.status());
    }
  }
  if (listed != aState.mPeers.mListed) {
    aState.mLog.Write(LogWeight::kNotable, LogEvent::kPeersChanged, "listed={}", listed.size());
  }
  aState.mPeers.mListed = std::move(listed);
}

void
WriteOwnEntry(ControlState& aState)
{
  const std::uint64_t lease = aState.mDuties.mLease.mLease;
  if (lease == 0 || lease == aState.mListedUnderLease) {
    return;
  }
  aState.mStore.Call(Commit{ .mWrites = { { .mKey = kHostPrefix + aState.mOptions.mHost.Value(),
                                            .mValue = ToText(aState.mOptions.mPeerEndpoint),
                                            .mLease = lease } } },
                     SuspendAwareNow() + kHostsLimit,
                     [&aState, lease](const StoreAnswer& aAnswer) {
                       if (aAnswer.mOutcome == StoreOutcome::kDone) {
                         aState.mListedUnderLease = lease;
                       }
                     });
}

// Takes in what the quotas were used for before this host started, then begins to serve.
void
OnQuotaRecord(ControlState& aState, const StoreAnswer& aAnswer)
{
  if (aAnswer.mOutcome == StoreOutcome::kDone && !aAnswer.mItems.empty()) {
    const auto record = ParseQuotaRecord(aAnswer.mItems.front().mValue);
    if (record.ok()) {
      PeerUpdate news{ .mQuotaLevels = *record };
      aState.mTraffic.Tell(std::move(news));
    } else {
      RejectInput(aState, "input=quota_record", record.status());
    }
  }
  aState.mOperatorWatch->Start();
}

} // namespace

void
RejectInput(ControlState& aState, std::string_view aWhat, const absl::Status& aReason)
{
  aState.mLog.Write(LogWeight::kNotable,
                    LogEvent::kInputRejected,
                    "{} reason=\"{}\"",
                    aWhat,
                    std::string{ aReason.message() });
}

void
NoteServersRegained(ControlState& aState, Instant aWhen)
{
  // Hosts learn of one return at slightly different times.
  const bool known =
    aState.mServersRegainedAt.has_value() && aWhen - *aState.mServersRegainedAt < kServersReturn;
  if (known || SuspendAwareNow() - aWhen >= kServersReturn) {
    return;
  }
  aState.mServersRegainedAt = aWhen;
  aState.mLoop.CallAt(aWhen + kServersReturn, [&aState] { SettleDoubtfulRemovals(aState); });
}

void
WriteQuotaRecord(ControlState& aState)
{
  const Instant now = SuspendAwareNow();
  const std::vector<HostId> live = LivePeers(aState.mPeers, now);
  const bool first = std::ranges::all_of(
    live, [&aState](const HostId& aHost) { return aState.mOptions.mHost < aHost; });
  if (!first || aState.mReport.mQuotaUsed.empty()) {
    return;
  }
  QuotaRecord record;
  for (const auto& [account, use] : aState.mReport.mQuotaUsed) {
    record[account] = use.mLevel;
  }
  aState.mStore.Call(
    Commit{ .mWrites = { { .mKey = kQuotaKey, .mValue = RenderQuotaRecord(record) } } },
    now + kHostsLimit,
    // A record that is not written is followed by the next one.
    [](const StoreAnswer& /*aAnswer*/) {});
}

void
FollowStore(ControlState& aState)
{
  const PlatformCodec& codec = aState.mOptions.mCodec;
  PrefixWatchCallbacks operators = HealthCallbacks(aState, "operators");
  operators.mOnList = [&aState](const std::vector<StoreItem>& aItems, std::int64_t /*aRevision*/) {
    OnOperatorItems(aState, aItems);
    PushStoreChanges(aState);
  };
  operators.mOnChanges = [&aState](const std::vector<StoreItem>& aItems) {
    OnOperatorItems(aState, aItems);
    PushStoreChanges(aState);
  };
  operators.mOnCurrent = [&aState](Instant aWhen) {
    aState.mView.mProvenAt = std::max(aState.mView.mProvenAt, aWhen);
    PublishView(aState);
  };
  aState.mOperatorWatch.emplace(aState.mLoop,
                                aState.mOptions.mStore,
                                codec.mStore,
                                PrefixWatchOptions{ .mPrefix = codec.mOperatorPrefix,
                                                    .mWait = kOperatorWait,
                                                    .mGather = kOperatorGather,
                                                    .mKeepsChanges = true },
                                std::move(operators));
  aState.mStore.Call(ReadKey{ .mKey = kQuotaKey },
                     SuspendAwareNow() + kHostsLimit,
                     [&aState](const StoreAnswer& aAnswer) { OnQuotaRecord(aState, aAnswer); });

  PrefixWatchCallbacks servers = HealthCallbacks(aState, "servers");
  servers.mOnList = [&aState](const std::vector<StoreItem>& aItems, std::int64_t aRevision) {
    OnServerList(aState, aItems, aRevision);
    PushStoreChanges(aState);
  };
  servers.mOnChanges = [&aState](const std::vector<StoreItem>& aItems) {
    OnServerItems(aState, aItems);
    PushStoreChanges(aState);
  };
  servers.mOnCurrent = [](Instant /*aWhen*/) {};
  servers.mOnRegained = [&aState, log = servers.mOnRegained] {
    log();
    NoteServersRegained(aState, SuspendAwareNow());
  };
  aState.mServerWatch.emplace(aState.mLoop,
                              aState.mOptions.mStore,
                              codec.mStore,
                              PrefixWatchOptions{ .mPrefix = codec.mServerPrefix,
                                                  .mWait = kServerWait,
                                                  .mGather = kServerGather,
                                                  .mKeepsChanges = true },
                              std::move(servers));
  aState.mServerWatch->Start();
}

void
SetRelaying(ControlState& aState, bool aAsksOthers, bool aIsAsked)
{
  aState.mServerWatch->SetWait(aIsAsked ? kServerWaitForOthers : kServerWait);
  aState.mOperatorWatch->SetRelayed(aAsksOthers);
  aState.mServerWatch->SetRelayed(aAsksOthers);
}

void
RefreshHosts(ControlState& aState)
{
  WriteOwnEntry(aState);
  aState.mStore.Call(ListKeys{ .mPrefix = kHostPrefix, .mMayBeStale = true },
                     SuspendAwareNow() + kHostsLimit,
                     [&aState](const StoreAnswer& aAnswer) { OnHosts(aState, aAnswer); });
}

void
PublishView(ControlState& aState)
{
  const Instant now = SuspendAwareNow();
  aState.mView.mHosts = HostCount(aState.mPeers, now);
  aState.mView.mHostsInTouch = static_cast<int>(LivePeers(aState.mPeers, now).size()) + 1;
  aState.mView.mClockCorrection = ClockCorrection(aState.mPeers, now);
  aState.mView.mQuotaShare = QuotaShare(aState.mPeers, now);
  aState.mView.mSteering = SteeringOf(aState.mMoves);
  aState.mTraffic.Publish(std::make_shared<const TrafficView>(aState.mView));
}

} // namespace trefoil
