#include "trefoil/steering/internal/store_updates.h"

#include "trefoil/base/store_revision.h"
#include "trefoil/steering/host_entry.h"
#include "trefoil/steering/internal/duties.h"
#include "trefoil/steering/internal/evacuation_updates.h"
#include "trefoil/steering/internal/move_calls.h"
#include "trefoil/steering/internal/server_updates.h"
#include "trefoil/steering/internal/store_relay_messages.h"
#include "trefoil/steering/quota_record.h"
#include "trefoil/steering/refusal_record.h"
#include "trefoil/steering/store_call_kind.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <utility>

namespace trefoil {
namespace {

// How long the store holds a watch open while there are no changes. The end of a watch on the
// operators' keys also proves that the configuration is current, so its wait is well below the
// age at which requests with keys are refused.
constexpr Milliseconds kOperatorWait{ 1'000 };
constexpr Milliseconds kServerWait{ 5'000 };
// A host that watches the store for others uses a shorter wait. A record is confirmed as of the
// time at which its watch was sent, so it is up to two waits old when it is relayed, and one query
// interval older after each of two relays. The hosts that receive it must not find it too old.
constexpr Milliseconds kRelayingWait{ 500 };
constexpr Milliseconds kOperatorBatchDelay{ 100 };
constexpr Milliseconds kStoreCallTimeout{ 1'500 };

void
ApplyCatalogue(SteeringState& aState, const StoreItem& aItem)
{
  if (aItem.mRemoved || aItem.mRevision == aState.mCatalogueRevision) {
    return;
  }
  if (aItem.mRevision < aState.mCatalogueRevision) {
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kInputRejected,
                      "input=configuration revision={} reason=\"revision is below {}\"",
                      RevisionText(aItem.mRevision),
                      RevisionText(aState.mCatalogueRevision));
    return;
  }
  auto catalogue = aState.mOptions.mCodec.mDecodeCatalogue(aItem.mValue);
  if (!catalogue.ok()) {
    LogRejectedInput(aState,
                     fmt::format("input=configuration revision={}", RevisionText(aItem.mRevision)),
                     catalogue.status());
    return;
  }
  const std::int64_t before =
    aState.mView.mCatalogue ? aState.mView.mCatalogue->mCatalogue.mVersion : 0;
  if (catalogue->mVersion < before) {
    aState.mCatalogueRevision = aItem.mRevision;
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kInputRejected,
                      "input=configuration revision={} reason=\"version {} is below {}\"",
                      RevisionText(aItem.mRevision),
                      catalogue->mVersion,
                      before);
    return;
  }
  CatalogueIndex index = MakeCatalogueIndex(*catalogue);
  auto published = std::make_shared<const PublishedCatalogue>(
    PublishedCatalogue{ .mCatalogue = std::move(*catalogue), .mIndex = std::move(index) });
  // Only now: a revision that is known is not applied again.
  aState.mView.mCatalogue = std::move(published);
  aState.mCatalogueRevision = aItem.mRevision;
  const Catalogue& applied = aState.mView.mCatalogue->mCatalogue;
  aState.mLog.Write(LogSeverity::kNotable,
                    LogEvent::kConfigurationApplied,
                    "version={} before={} revision={} routes={} accounts={}",
                    applied.mVersion,
                    before,
                    RevisionText(aItem.mRevision),
                    applied.mRoutes.size(),
                    applied.mAccounts.has_value() ? std::to_string(applied.mAccounts->size())
                                                  : "unlisted");
}

void
ApplyVersionOrder(SteeringState& aState, const StoreItem& aItem, OrderSource aSource)
{
  if (aItem.mRemoved) {
    return;
  }
  const auto order = aState.mOptions.mCodec.mDecodeVersionOrder(aItem.mValue);
  if (!order.ok()) {
    LogRejectedInput(aState, fmt::format("input=version_order key={}", aItem.mKey), order.status());
    return;
  }
  if (OnVersionOrder(aState.mMoves,
                     *order,
                     aItem.mRevision,
                     aSource,
                     SumOutcomes(aState, order->mService),
                     SuspendAwareNow())) {
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kVersionMove,
                      "service={} target={} state=running revision={}",
                      order->mService.Value(),
                      order->mTarget.Value(),
                      RevisionText(aItem.mRevision));
  }
}

void
OnOperatorItems(SteeringState& aState, const std::vector<StoreItem>& aItems, OrderSource aSource)
{
  const ControlCodec& codec = aState.mOptions.mCodec;
  // Only the newest of several configurations is decoded.
  const StoreItem* newest = nullptr;
  for (const StoreItem& item : aItems) {
    if (item.mKey == codec.mConfigurationKey &&
        (newest == nullptr || item.mRevision > newest->mRevision)) {
      newest = &item;
    }
    if (item.mKey.starts_with(codec.mVersionOrderPrefix)) {
      ApplyVersionOrder(aState, item, aSource);
    }
  }
  if (newest != nullptr) {
    ApplyCatalogue(aState, *newest);
  }
}

// Handles the return of the store from a copy: what was written lately is gone, leases too, and
// calls in progress are answered by the store's former life, if at all.
void
OnStoreReplaced(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  RecordStoreRegained(aState, now);
  aState.mHostEntryLease = 0;
  OnStoreRestored(aState);
  // Not within the answer that stated the era, as its watch repeats its call by itself.
  aState.mLoop.Post([&aState, now] {
    aState.mOperatorWatch->RenewCallSentBefore(now);
    aState.mServerWatch->RenewCallSentBefore(now);
  });
}

// Records the era that an answer of the store states. Returns whether the answer is used: not if it
// comes from an earlier life of the store.
bool
OnStoreEra(SteeringState& aState, std::int64_t aEra)
{
  if (aEra <= aState.mStoreEra) {
    return aEra == aState.mStoreEra;
  }
  const std::int64_t before = std::exchange(aState.mStoreEra, aEra);
  if (before != 0) {
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kStoreReplaced,
                      "era={} before={} operators_revision={} servers_revision={}",
                      aEra,
                      before,
                      RevisionText(aState.mOperatorWatch->Record().mRevision),
                      RevisionText(aState.mServerWatch->Record().mRevision));
    OnStoreReplaced(aState);
  }
  return true;
}

// Counts a call to the store by its kind.
void
CountStoreCall(SteeringState& aState, const StoreCall& aCall)
{
  if (aState.mOptions.mMetrics != nullptr) {
    aState.mOptions.mMetrics->IncrementLabelled(
      LabelledCounter::kStoreCalls,
      NameOf(kStoreCallKindNames, KindOf(aCall, aState.mOptions.mCodec)));
  }
}

// Logs and counts what happened to the record of a watch.
void
OnRecordEvent(SteeringState& aState, const char* aName, const RecordReport& aReport)
{
  const std::string_view event = NameOf(kRecordEventNames, aReport.mEvent);
  const Instant now = SuspendAwareNow();
  std::string details;
  switch (aReport.mEvent) {
    case RecordEvent::kBehind:
      details = fmt::format(" last_change={} items_since={}",
                            RevisionText(aReport.mNewRevision),
                            aReport.mItemsSince.has_value() ? RevisionText(*aReport.mItemsSince)
                                                            : "omitted");
      break;
    case RecordEvent::kHistoryGone:
      details =
        fmt::format(" list_in_ms={}",
                    std::chrono::duration_cast<Milliseconds>(aReport.mListDueAt - now).count());
      break;
    case RecordEvent::kListed:
      details = fmt::format(" listed_revision={}", RevisionText(aReport.mNewRevision));
      break;
    case RecordEvent::kCaughtUp:
      details =
        fmt::format(" behind_ms={}",
                    std::chrono::duration_cast<Milliseconds>(now - aReport.mBehindSince).count());
      break;
  }
  aState.mLog.Write(LogSeverity::kNotable,
                    LogEvent::kStoreRecord,
                    "watch={} state={} role={} revision={}{}",
                    aName,
                    event,
                    NameOf(kRelayRoleNames, aState.mRelay.mRole),
                    RevisionText(aReport.mRevision),
                    details);
  if (aState.mOptions.mMetrics != nullptr) {
    aState.mOptions.mMetrics->IncrementLabelled(LabelledCounter::kStoreRecordEvents, event);
  }
}

PrefixWatchCallbacks
LoggingCallbacks(SteeringState& aState, const char* aName)
{
  return { .mOnStoreLost =
             [&aState, aName](StoreOutcome aOutcome, Milliseconds aPending) {
               aState.mLog.Write(LogSeverity::kNotable,
                                 LogEvent::kDependencyLost,
                                 "dependency=store watch={} outcome={} pending_ms={}",
                                 aName,
                                 NameOf(kStoreOutcomeNames, aOutcome),
                                 aPending.count());
             },
           .mOnStoreRegained =
             [&aState, aName](Instant /*aSentAt*/, Milliseconds aLostFor) {
               aState.mLog.Write(LogSeverity::kNotable,
                                 LogEvent::kDependencyRegained,
                                 "dependency=store watch={} lost_ms={}",
                                 aName,
                                 aLostFor.count());
             },
           .mOnRecordEvent =
             [&aState, aName](const RecordReport& aReport) {
               OnRecordEvent(aState, aName, aReport);
             },
           .mOnEra = [&aState](std::int64_t aEra) { return OnStoreEra(aState, aEra); },
           .mOnCall = [&aState](const StoreCall& aCall) { CountStoreCall(aState, aCall); } };
}

PrefixWatchOptions
ServerWatchOptions(const SteeringState& aState)
{
  PrefixWatchOptions options{ .mPrefix = aState.mOptions.mCodec.mServerPrefix,
                              .mWait = kServerWait,
                              .mBatchDelay = GatherTime(aState.mOptions.mDrainWithin),
                              .mKeepsChanges = true };
  options.mWait = BoundedWait(options, aState.mOptions.mServerNewsWithin);
  return options;
}

// Updates the hosts of the view from the list of hosts in the store.
void
UpdateHostList(SteeringState& aState)
{
  std::vector<HostId> hosts{ aState.mOptions.mHost };
  for (const auto& [host, listed] : aState.mPeers.mListedHosts) {
    if (host != aState.mOptions.mHost) {
      hosts.push_back(host);
    }
  }
  if (!aState.mView.mHostList || *aState.mView.mHostList != hosts) {
    aState.mView.mHostList = std::make_shared<const std::vector<HostId>>(std::move(hosts));
  }
}

void
OnHostList(SteeringState& aState, const StoreAnswer& aAnswer)
{
  if (aAnswer.mOutcome != StoreOutcome::kDone) {
    // Without the list a host has no carriers, and nobody to ask for what the store does not tell.
    aState.mLoop.Cancel(std::exchange(aState.mHostsRetryTimer, 0));
    const Milliseconds delay = HostListRetryDelay(++aState.mHostsReadFailures, aState.mRandom());
    aState.mHostsRetryTimer = aState.mLoop.CallAt(SuspendAwareNow() + delay, [&aState] {
      aState.mHostsRetryTimer = 0;
      RefreshHosts(aState);
    });
    return;
  }
  aState.mHostsReadFailures = 0;
  std::map<HostId, ListedHost> listed;
  for (const StoreItem& item : aAnswer.mItems) {
    const auto endpoint = ParseEndpoint(item.mValue);
    if (endpoint.ok()) {
      const HostEntryName name = ParseHostKey(item.mKey);
      listed[name.mHost] = { .mEndpoint = *endpoint, .mZone = name.mZone };
    } else {
      LogRejectedInput(aState, fmt::format("input=host key={}", item.mKey), endpoint.status());
    }
  }
  listed =
    ListedHostsAfter(aState.mPeers, aState.mAggregation, std::move(listed), SuspendAwareNow());
  if (listed != aState.mPeers.mListedHosts) {
    aState.mLog.Write(LogSeverity::kNotable, LogEvent::kPeersChanged, "listed={}", listed.size());
  }
  aState.mPeers.mListedHosts = std::move(listed);
  UpdateHostList(aState);
}

// Sends the snapshots of the quota record to the traffic thread.
void
RestoreQuotas(SteeringState& aState, const StoreAnswer& aAnswer)
{
  if (aAnswer.mOutcome == StoreOutcome::kDone && !aAnswer.mItems.empty()) {
    aState.mSharedRecordRevisions[kQuotaRecordKey] = aAnswer.mItems.front().mRevision;
    const auto record = ParseQuotaRecord(aAnswer.mItems.front().mValue);
    if (record.ok()) {
      PeerUpdate update{ .mQuotaSnapshots = *record };
      aState.mTraffic.PublishPeerUpdate(std::move(update));
    } else {
      LogRejectedInput(aState, "input=quota_record", record.status());
    }
  }
}

void
OnRefusalRecord(SteeringState& aState, const StoreAnswer& aAnswer)
{
  if (aAnswer.mOutcome != StoreOutcome::kDone || aAnswer.mItems.empty()) {
    return;
  }
  aState.mSharedRecordRevisions[kRefusalRecordKey] = aAnswer.mItems.front().mRevision;
  const auto record = ParseRefusalRecord(aAnswer.mItems.front().mValue, ReadClocks(aState));
  if (!record.ok()) {
    LogRejectedInput(aState, "input=prompt_refusal_record", record.status());
    return;
  }
  aState.mHasRefusals = !record->empty();
  aState.mTraffic.ApplyCrashEvidence({ .mRefusals = *record });
}

// Adds the levels of the quotas and the demand on them to `aCommit`.
void
AddQuotas(const SteeringState& aState, Commit& aCommit)
{
  QuotaRecord record;
  for (const auto& [account, use] : aState.mReport.mQuotaUsed) {
    record[account] = use.mSnapshot;
  }
  if (!record.empty()) {
    aCommit.mWrites.push_back({ .mKey = kQuotaRecordKey, .mValue = RenderQuotaRecord(record) });
  }
}

// Keeps the revisions of the shared records for the next write. A failed write needs no retry: the
// next record follows.
void
OnSharedRecordsWritten(SteeringState& aState,
                       const std::vector<std::string>& aKeys,
                       const StoreAnswer& aAnswer)
{
  if (aAnswer.mOutcome != StoreOutcome::kDone && aAnswer.mOutcome != StoreOutcome::kConflict) {
    return;
  }
  const bool isWritten = aAnswer.mOutcome == StoreOutcome::kDone;
  for (const std::string& key : aKeys) {
    aState.mSharedRecordRevisions[key] = isWritten ? aAnswer.mRevision : 0;
  }
  for (const StoreItem& item : aAnswer.mItems) {
    aState.mSharedRecordRevisions[item.mKey] = item.mRevision;
  }
}

} // namespace

ClockReading
ReadClocks(const SteeringState& aState)
{
  return { .mNow = SuspendAwareNow(), .mWallNow = WallNow() + aState.mView.mClockCorrection };
}

void
LogRejectedInput(SteeringState& aState, std::string_view aInput, const absl::Status& aReason)
{
  aState.mLog.Write(LogSeverity::kNotable,
                    LogEvent::kInputRejected,
                    "{} reason=\"{}\"",
                    aInput,
                    std::string{ aReason.message() });
}

void
WriteSharedRecords(SteeringState& aState)
{
  const ClockReading clock = ReadClocks(aState);
  const Instant now = clock.mNow;
  const RefusalRecord refusals = RefusalsInForce(aState.mReport.mCrashes.mRefusals, now);
  const bool hadRefusals = std::exchange(aState.mHasRefusals, !refusals.empty());
  if (!IsSharedRecordWriter(aState.mPeers, aState.mAggregation, now)) {
    return;
  }
  Commit commit;
  AddQuotas(aState, commit);
  // Once no part is refused, an empty record replaces the last one.
  if (hadRefusals || !refusals.empty()) {
    commit.mWrites.push_back(
      { .mKey = kRefusalRecordKey, .mValue = RenderRefusalRecord(refusals, clock) });
  }
  if (commit.mWrites.empty()) {
    return;
  }
  // A write that is executed late must not replace a later record.
  std::vector<std::string> keys;
  for (const KeyWrite& write : commit.mWrites) {
    commit.mExpected.push_back(
      { .mKey = write.mKey, .mRevision = aState.mSharedRecordRevisions[write.mKey] });
    keys.push_back(write.mKey);
  }
  aState.mStore.Call(
    std::move(commit), now + kStoreCallTimeout, [&aState, keys](const StoreAnswer& aAnswer) {
      OnSharedRecordsWritten(aState, keys, aAnswer);
    });
}

void
WatchStore(SteeringState& aState)
{
  const ControlCodec& codec = aState.mOptions.mCodec;
  aState.mStore.SetEraCallback([&aState](std::int64_t aEra) { return OnStoreEra(aState, aEra); });
  aState.mStore.SetCallObserver(
    [&aState](const StoreCall& aCall) { CountStoreCall(aState, aCall); });
  PrefixWatchCallbacks operators = LoggingCallbacks(aState, "operators");
  operators.mOnList = [&aState](const std::vector<StoreItem>& aItems, std::int64_t aRevision) {
    // First, so that no view has the configuration without the closed zones.
    OnEvacuationList(aState, aItems, aRevision);
    OnOperatorItems(aState, aItems, OrderSource::kList);
    PushStoreChanges(aState);
  };
  operators.mOnChanges = [&aState](const std::vector<StoreItem>& aItems) {
    OnEvacuationItems(aState, aItems);
    OnOperatorItems(aState, aItems, OrderSource::kChange);
    PushStoreChanges(aState);
  };
  operators.mOnConfirmed = [&aState](Instant aWhen) {
    aState.mView.mConfirmedCurrentAt = std::max(aState.mView.mConfirmedCurrentAt, aWhen);
    PublishView(aState);
  };
  operators.mOnStoreRegained = [&aState, log = operators.mOnStoreRegained](Instant aSentAt,
                                                                           Milliseconds aLostFor) {
    // Recorded first: the renewed watch may return removals that happened during the outage.
    RecordStoreRegained(aState, SuspendAwareNow());
    aState.mServerWatch->RenewCallSentBefore(aSentAt);
    log(aSentAt, aLostFor);
  };
  aState.mOperatorWatch.emplace(aState.mLoop,
                                aState.mOptions.mStore,
                                codec.mStore,
                                PrefixWatchOptions{ .mPrefix = codec.mOperatorPrefix,
                                                    .mWait = kOperatorWait,
                                                    .mBatchDelay = kOperatorBatchDelay,
                                                    .mKeepsChanges = true },
                                std::move(operators));
  aState.mStore.Call(ReadKey{ .mKey = kRefusalRecordKey },
                     SuspendAwareNow() + kStoreCallTimeout,
                     [&aState](const StoreAnswer& aAnswer) { OnRefusalRecord(aState, aAnswer); });
  aState.mStore.Call(ReadKey{ .mKey = kQuotaRecordKey },
                     SuspendAwareNow() + kStoreCallTimeout,
                     [&aState](const StoreAnswer& aAnswer) {
                       // The watch provides the configuration, so no request is served before the
                       // quotas are restored.
                       aState.mLoop.RunGuarded([&] { RestoreQuotas(aState, aAnswer); });
                       aState.mOperatorWatch->Start();
                     });

  PrefixWatchCallbacks servers = LoggingCallbacks(aState, "servers");
  servers.mOnList = [&aState](const std::vector<StoreItem>& aItems, std::int64_t aRevision) {
    OnServerList(aState, aItems, aRevision);
    PushStoreChanges(aState);
  };
  servers.mChangesToRelay = [&aState](const std::vector<StoreItem>& aItems) {
    return ServerChangesToRelay(aState, aItems);
  };
  servers.mOnChanges = [&aState](const std::vector<StoreItem>& aItems) {
    OnServerItems(aState, aItems);
    PushStoreChanges(aState);
  };
  // Reaches the traffic thread with the next view, which is published regularly.
  servers.mOnConfirmed = [&aState](Instant aWhen) {
    aState.mView.mServersConfirmedAt = std::max(aState.mView.mServersConfirmedAt, aWhen);
  };
  servers.mOnStoreRegained = [&aState, log = servers.mOnStoreRegained](Instant aSentAt,
                                                                       Milliseconds aLostFor) {
    RecordStoreRegained(aState, SuspendAwareNow());
    aState.mOperatorWatch->RenewCallSentBefore(aSentAt);
    log(aSentAt, aLostFor);
  };
  aState.mServerWatch.emplace(aState.mLoop,
                              aState.mOptions.mStore,
                              codec.mStore,
                              ServerWatchOptions(aState),
                              std::move(servers));
  aState.mServerWatch->Start();
}

void
SetWatchMode(SteeringState& aState, bool aIsSubscriber, bool aIsWatcher)
{
  aState.mOperatorWatch->SetWait(aIsWatcher ? kRelayingWait : kOperatorWait);
  aState.mServerWatch->SetWait(aIsWatcher ? kRelayingWait : ServerWatchOptions(aState).mWait);
  aState.mOperatorWatch->SetRelayed(aIsSubscriber);
  aState.mServerWatch->SetRelayed(aIsSubscriber);
}

void
RegisterHost(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  const std::uint64_t lease = aState.mDuties.mLease.mLease;
  if (lease == 0 || lease == aState.mHostEntryLease ||
      !HasPassed(aState.mNextRegistrationAt, now)) {
    return;
  }
  aState.mNextRegistrationAt = now + kStoreCallTimeout;
  aState.mStore.Call(
    Commit{ .mWrites = { { .mKey = HostKey(aState.mOptions.mZone, aState.mOptions.mHost),
                           .mValue = ToText(aState.mOptions.mPeerEndpoint),
                           .mLease = lease } } },
    now + kStoreCallTimeout,
    [&aState, lease](const StoreAnswer& aAnswer) {
      if (aAnswer.mOutcome == StoreOutcome::kDone) {
        aState.mHostEntryLease = lease;
      }
    });
}

void
RefreshHosts(SteeringState& aState)
{
  aState.mLoop.Cancel(std::exchange(aState.mHostsRetryTimer, 0));
  aState.mStore.Call(ListKeys{ .mPrefix = std::string{ kHostPrefix }, .mMayBeStale = true },
                     SuspendAwareNow() + kStoreCallTimeout,
                     [&aState](const StoreAnswer& aAnswer) { OnHostList(aState, aAnswer); });
}

void
PublishView(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  const FleetStatus status = StatusOfFleet(aState.mPeers, aState.mAggregation, now);
  aState.mView.mHosts = status.mHosts;
  aState.mView.mReachableHosts = status.mReachableHosts;
  aState.mView.mPropagationTime = PropagationTime(aState.mPeers, now);
  aState.mView.mClockCorrection = status.mClockCorrection;
  aState.mView.mQuotaShare =
    std::min(1.0, static_cast<double>(status.mReachableHosts) / status.mHosts);
  ObserveVersions(aState.mMoves, aState.mServers, now);
  aState.mView.mSteering = SteeringOf(aState.mMoves, now);
  Carriers carriers = CarriersOf(aState.mPeers, now);
  if (!aState.mView.mCarriers || *aState.mView.mCarriers != carriers) {
    aState.mView.mCarriers = std::make_shared<const Carriers>(std::move(carriers));
  }
  aState.mTraffic.Publish(std::make_shared<const TrafficView>(aState.mView));
}

} // namespace trefoil
