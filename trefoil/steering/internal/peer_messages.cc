#include "trefoil/steering/internal/peer_messages.h"

#include "trefoil/steering/internal/aggregation_messages.h"
#include "trefoil/steering/internal/datagrams.h"
#include "trefoil/steering/internal/duties.h"
#include "trefoil/steering/internal/move_messages.h"
#include "trefoil/steering/internal/server_event_messages.h"
#include "trefoil/steering/internal/server_limit_messages.h"
#include "trefoil/steering/internal/server_rejection_messages.h"
#include "trefoil/steering/internal/store_relay_messages.h"
#include "trefoil/steering/route_counters.h"
#include "trefoil/wire/codec.h"
#include "trefoil/wire/crash_evidence_conversion.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <utility>

namespace trefoil {
namespace {

// Usage windows in an update: the current one and those whose counts may still change.
constexpr std::size_t kUsageWindowsSent = 3;
constexpr int kMaxDatagramBytes = 65'507;

TrafficUpdate
MakeTrafficUpdate(SteeringState& aState)
{
  TrafficUpdate update{ .mHost = aState.mOptions.mHost,
                        .mIncarnation = aState.mIncarnation,
                        .mSequence = ++aState.mSequence,
                        .mEndpoint = aState.mOptions.mPeerEndpoint,
                        .mZone = aState.mOptions.mZone,
                        .mWallMs = UnixMilliseconds(WallNow()),
                        .mHoldsDuties = aState.mHoldsDuties,
                        .mLeaving = aState.mLeaving,
                        .mBroken = aState.mReport.mBroken };
  for (const auto& [account, used] : aState.mReport.mQuotaUsed) {
    update.mQuotas.push_back(
      { .mAccount = account,
        .mUsed = static_cast<std::uint64_t>(std::max(0.0, used.mTotal.mUsed)) });
  }
  std::size_t windows = 0;
  for (auto window = aState.mReport.mUsage.rbegin();
       window != aState.mReport.mUsage.rend() && windows < kUsageWindowsSent;
       ++window, ++windows) {
    for (const auto& [account, requests] : window->second) {
      update.mUsage.push_back(
        { .mWindow = window->first, .mAccount = account, .mRequests = requests });
    }
  }
  for (const auto& [service, load] : aState.mReport.mLoads) {
    update.mServices.push_back(
      { .mService = service, .mPromptTokens = static_cast<std::uint64_t>(load.mPromptTokens) });
  }
  for (const auto& [service, versions] : aState.mReport.mOutcomes) {
    for (const auto& [version, outcomes] : versions) {
      update.mVersions.push_back({ .mService = service,
                                   .mVersion = version,
                                   .mServed = outcomes.mServed,
                                   .mFailed = outcomes.mFailed,
                                   .mLatencyMs = outcomes.mLatencyMs });
    }
  }
  return update;
}

HostReport
MakeHostReport(SteeringState& aState)
{
  HostReport report{ .mUpdate = MakeTrafficUpdate(aState) };
  for (const auto& [service, load] : aState.mReport.mLoads) {
    const auto add = [&report, name = service.Value()](CounterKind aKind, double aTotal) {
      report.mCounters.push_back(
        { .mKind = aKind, .mSubject = name, .mTotal = static_cast<std::uint64_t>(aTotal) });
    };
    add(CounterKind::kPrefillTokens, load.mPrefillTokens);
    add(CounterKind::kPrefillMs, load.mPrefillMs);
    add(CounterKind::kBusyMs, load.mBusyMs);
  }
  for (const auto& [service, versions] : aState.mReport.mOutcomes) {
    AddRouteCounters(report.mCounters, service, versions);
  }
  for (const auto& [account, used] : aState.mReport.mQuotaUsed) {
    report.mCounters.push_back({ .mKind = CounterKind::kQuotaAsked,
                                 .mSubject = account.Value(),
                                 .mTotal = static_cast<std::uint64_t>(used.mTotal.mAsked) });
  }
  return report;
}

void
OnHostReport(SteeringState& aState, const HostReport& aReport)
{
  const TrafficUpdate& update = aReport.mUpdate;
  const bool isNewIncarnation = IsNewIncarnation(aState.mPeers, update);
  const PeerUpdate added = ApplyHostReport(aState.mPeers, aReport, SuspendAwareNow());
  RecordPeerClock(aState.mPeers, update, WallNow());
  if (update.mHoldsDuties && update.mHost != aState.mOptions.mHost) {
    OnHolderSeen(aState);
  }
  // What the hosts of this zone report comes back with the totals of the fleet.
  const auto listed = aState.mPeers.mListedHosts.find(update.mHost);
  const bool isAggregated = UsesAggregation(aState.mPeers) &&
                            listed != aState.mPeers.mListedHosts.end() &&
                            !listed->second.mZone.Empty();
  if (!isAggregated) {
    AddQuotaUse(aState.mPeerUpdate, added);
  }
  if (isNewIncarnation && !UsesAggregation(aState.mPeers)) {
    // A host that has just started gets an update of this one without waiting for the next
    // interval.
    SendTrafficUpdate(aState);
  }
}

void
OnDatagram(SteeringState& aState, std::string_view aBytes)
{
  const auto message = Decode(aBytes);
  if (!message.ok()) {
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kInputRejected,
                      "input=message bytes={} reason=\"{}\"",
                      aBytes.size(),
                      std::string{ message.status().message() });
    return;
  }
  if (const auto* report = std::get_if<HostReport>(&*message)) {
    OnHostReport(aState, *report);
  } else if (const auto* usage = std::get_if<UsageUpdate>(&*message)) {
    ApplyUsage(aState.mPeers, *usage);
  } else if (const auto* update = std::get_if<TrafficUpdate>(&*message)) {
    OnHostReport(aState, { .mUpdate = *update });
  } else if (const auto* query = std::get_if<StoreQuery>(&*message)) {
    OnStoreQuery(aState, *query);
  } else if (const auto* reply = std::get_if<StoreReply>(&*message)) {
    OnStoreReply(aState, *reply);
  } else if (const auto* dispatches = std::get_if<DispatchUpdate>(&*message)) {
    ApplyDispatches(aState, dispatches->mDispatches);
    if (RelaysDispatches(aState)) {
      ForwardDispatches(aState, *dispatches);
    }
  } else if (const auto* totals = std::get_if<TotalsMessage>(&*message)) {
    OnTotalsMessage(aState, *totals);
  } else if (const auto* relayed = std::get_if<RelayedDispatches>(&*message)) {
    OnRelayedDispatches(aState, *relayed);
  } else if (const auto* crashes = std::get_if<CrashEvidenceMessage>(&*message)) {
    aState.mTraffic.ApplyCrashEvidence(ToCrashEvidence(*crashes, SuspendAwareNow()));
  } else if (const auto* limits = std::get_if<ServerLimitMessage>(&*message)) {
    OnServerLimitMessage(aState, *limits);
  } else if (const auto* decisions = std::get_if<MoveDecisionMessage>(&*message)) {
    OnMoveDecisionMessage(aState, *decisions);
  } else if (const auto* rejections = std::get_if<ServerRejectionMessage>(&*message)) {
    OnServerRejectionMessage(aState, *rejections);
  } else if (const auto* events = std::get_if<ServerEventsMessage>(&*message)) {
    OnServerEventsMessage(aState, *events);
  } else {
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kInputRejected,
                      "input=message bytes={} reason=\"not for a gateway\"",
                      aBytes.size());
  }
}

// Sends the update to all other hosts.
void
SendUpdateToPeers(SteeringState& aState, HostReport aReport)
{
  // The usage of the holder itself is sent to all hosts, since no other host forwards it.
  for (const bool withUsage : { true, false }) {
    if (!withUsage) {
      aReport.mUpdate.mUsage.clear();
    }
    const std::string full = Encode(aReport);
    const std::string updateAlone = Encode(aReport.mUpdate);
    for (const auto& [to, recipient] : TrafficUpdateRecipients(aState.mPeers, SuspendAwareNow())) {
      if ((recipient.mNeedsUsage || aState.mHoldsDuties) == withUsage) {
        SendBytes(aState, to, recipient.mTakesReports ? full : updateAlone);
      }
    }
  }
}

} // namespace

void
SendCrashEvidence(SteeringState& aState, const CrashEvidence& aEvidence, bool aIsOwn)
{
  if (aEvidence.Empty()) {
    return;
  }
  const Instant now = SuspendAwareNow();
  const std::string bytes = Encode(ToCrashEvidenceMessage(aState.mOptions.mHost, aEvidence, now));
  for (const Endpoint& to : NewsRecipients(aState.mPeers, aState.mAggregation, aIsOwn, now)) {
    SendBytes(aState, to, bytes);
  }
}

void
SendTrafficUpdate(SteeringState& aState)
{
  HostReport report = MakeHostReport(aState);
  if (UsesAggregation(aState.mPeers)) {
    SendAggregatedUpdate(aState, report);
  } else {
    SendUpdateToPeers(aState, std::move(report));
  }
  // After the updates, or the first of the totals: a full link loses what is sent last, and the
  // quotas depend on these.
  SendCrashEvidence(aState, aState.mReport.mCrashes, true);
  SendServerLimits(aState, aState.mReport.mLimits);
  SendMoveDecisions(aState);
  SendServerEvents(aState);
}

void
SendDispatches(SteeringState& aState, std::vector<DispatchReport> aDispatches)
{
  DispatchUpdate update{ .mHost = aState.mOptions.mHost, .mDispatches = std::move(aDispatches) };
  if (RelaysDispatches(aState)) {
    SendDispatchesToAggregator(aState, std::move(update));
    return;
  }
  const std::string bytes = Encode(update);
  for (const auto& [to, recipient] : TrafficUpdateRecipients(aState.mPeers, SuspendAwareNow())) {
    SendBytes(aState, to, bytes);
  }
}

void
ReadPeerMessages(SteeringState& aState)
{
  std::array<char, kMaxDatagramBytes> buffer{};
  try {
    while (IsReadable(aState.mPeerSocket)) {
      Poco::Net::SocketAddress sender;
      const int count =
        aState.mPeerSocket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
      if (count > 0) {
        // The datagram is read, so that one which cannot be applied does not hold up the others.
        aState.mLoop.RunGuarded([&] {
          OnDatagram(aState, { buffer.data(), static_cast<std::size_t>(count) });
        });
      }
    }
  } catch (const Poco::Exception& error) {
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kInputRejected,
                      "input=news reason=\"{}\"",
                      error.displayText());
  }
}

} // namespace trefoil
