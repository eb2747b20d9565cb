#include "trefoil/steering/internal/aggregation_messages.h"

#include "trefoil/steering/internal/datagrams.h"
#include "trefoil/steering/internal/duties.h"
#include "trefoil/steering/internal/peer_update.h"
#include "trefoil/steering/totals_messages.h"
#include "trefoil/wire/codec.h"

#include <utility>

namespace trefoil {
namespace {

// Dispatches of other hosts that arrive within this time are posted to the traffic thread
// together.
constexpr Milliseconds kDispatchBatchDelay{ 10 };
// Dispatches that an aggregator receives within this time are forwarded together. The delay is
// short compared with the prefill of a long prompt.
constexpr Milliseconds kForwardBatchDelay{ 100 };
// Fleets from this size on forward dispatches through aggregators. In smaller ones their number
// is low enough to tell all hosts at once.
constexpr std::size_t kMinHostsToRelayDispatches = 128;

// The holder of the duties hears from all hosts, so each of them sends its usage less often than
// its reports: every second time.
constexpr std::uint64_t kUsageRounds = 2;

// Sends the collected dispatches to the hosts of this zone and to one aggregator of each other
// zone.
void
SendForwardedDispatches(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  RelayedDispatches message{ .mHost = aState.mOptions.mHost,
                             .mZone = aState.mOptions.mZone,
                             .mUpdates = std::exchange(aState.mDispatchesForMembers, {}) };
  const std::string toMembers = Encode(message);
  for (const HostId& host : LivePeers(aState.mPeers, now)) {
    const TrafficUpdate& member = aState.mPeers.mPeers.at(host).mUpdate;
    if (member.mZone == aState.mOptions.mZone) {
      SendBytes(aState, member.mEndpoint, toMembers);
    }
  }
  message.mUpdates = std::exchange(aState.mDispatchesForZones, {});
  if (message.mUpdates.empty()) {
    return;
  }
  const std::string toZones = Encode(message);
  std::set<AvailabilityZoneId> zones;
  for (const auto& [host, listed] : aState.mPeers.mListedHosts) {
    zones.insert(listed.mZone);
  }
  zones.erase(aState.mOptions.mZone);
  for (const AvailabilityZoneId& zone : zones) {
    const auto aggregators = ZoneAggregators(aState.mPeers, aState.mAggregation, zone, now);
    if (!aggregators.empty()) {
      SendBytes(aState, aState.mPeers.mListedHosts.at(aggregators.front()).mEndpoint, toZones);
    }
  }
}

void
AddForwardedDispatches(SteeringState& aState, const DispatchUpdate& aUpdate)
{
  if (aState.mDispatchesForMembers.empty()) {
    aState.mLoop.CallAt(SuspendAwareNow() + kForwardBatchDelay,
                        [&aState] { SendForwardedDispatches(aState); });
  }
  aState.mDispatchesForMembers.push_back(aUpdate);
}

// Publishes what totals have added at once. They have passed two aggregators; with the wait for
// this host's next round, the fleet would admit requests beyond a quota for that much longer.
void
PublishTotals(SteeringState& aState, const PeerUpdate& aAdded)
{
  if (aAdded.mQuotaUsed.empty() && aAdded.mQuotaAsked.empty()) {
    return;
  }
  AddQuotaUse(aState.mPeerUpdate, aAdded);
  PublishPeerUpdate(aState);
}

} // namespace

void
SendReportToAggregators(SteeringState& aState, const HostReport& aReport)
{
  const Instant now = SuspendAwareNow();
  const std::string full = Encode(aReport);
  const std::string updateAlone = Encode(aReport.mUpdate);
  for (const auto& [host, listed] :
       AggregatedUpdateRecipients(aState.mPeers, aState.mAggregation, now)) {
    if (listed.mZone.Empty()) {
      SendBytes(aState, listed.mEndpoint, updateAlone);
    } else {
      SendBytes(aState, listed.mEndpoint, full);
      RecordSent(aState.mAggregation, host, now);
    }
  }
}

void
SendUsageToHolder(SteeringState& aState, const HostReport& aReport)
{
  const auto holder = HolderToReportTo(aState.mPeers, aState.mAggregation, SuspendAwareNow());
  const auto endpoint =
    holder.has_value() ? EndpointOf(aState.mPeers, *holder) : std::optional<Endpoint>{};
  if (endpoint.has_value() && !aReport.mUpdate.mUsage.empty()) {
    SendDatagram(aState,
                 *endpoint,
                 UsageUpdate{ .mHost = aReport.mUpdate.mHost,
                              .mIncarnation = aReport.mUpdate.mIncarnation,
                              .mUsage = aReport.mUpdate.mUsage });
  }
}

void
SendAggregatedUpdate(SteeringState& aState, const HostReport& aReport)
{
  const Instant now = SuspendAwareNow();
  for (const HostId& host : BeginAggregationRound(aState.mPeers, aState.mAggregation, now)) {
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kPeersChanged,
                      "aggregator={} state=suspected",
                      host.Value());
  }
  SendReportToAggregators(aState, aReport);
  if (aReport.mUpdate.mSequence % kUsageRounds == 0 || aState.mLeaving) {
    SendUsageToHolder(aState, aReport);
  }
  PeerUpdate added;
  SendTotals(
    aState, MakeTotalsMessages(aState.mPeers, aState.mAggregation, aReport, added, WallNow(), now));
  PublishTotals(aState, added);
}

void
OnTotalsMessage(SteeringState& aState, const TotalsMessage& aMessage)
{
  PublishTotals(
    aState,
    ApplyTotals(aState.mPeers, aState.mAggregation, aMessage, WallNow(), SuspendAwareNow()));
  if (!aMessage.mHolder.Empty() && aMessage.mHolder != aState.mOptions.mHost) {
    OnHolderSeen(aState);
  }
}

bool
RelaysDispatches(const SteeringState& aState)
{
  return UsesAggregation(aState.mPeers) &&
         aState.mPeers.mListedHosts.size() >= kMinHostsToRelayDispatches;
}

void
SendDispatchesToAggregator(SteeringState& aState, DispatchUpdate aUpdate)
{
  const auto aggregators =
    ZoneAggregators(aState.mPeers, aState.mAggregation, aState.mOptions.mZone, SuspendAwareNow());
  if (aggregators.empty()) {
    return;
  }
  if (aggregators.front() == aState.mOptions.mHost) {
    ForwardDispatches(aState, aUpdate);
    return;
  }
  SendDatagram(
    aState, aState.mPeers.mListedHosts.at(aggregators.front()).mEndpoint, std::move(aUpdate));
}

void
ForwardDispatches(SteeringState& aState, const DispatchUpdate& aUpdate)
{
  AddForwardedDispatches(aState, aUpdate);
  aState.mDispatchesForZones.push_back(aUpdate);
}

void
OnRelayedDispatches(SteeringState& aState, const RelayedDispatches& aMessage)
{
  for (const DispatchUpdate& update : aMessage.mUpdates) {
    if (update.mHost == aState.mOptions.mHost) {
      continue;
    }
    ApplyDispatches(aState, update.mDispatches);
    if (aMessage.mZone != aState.mOptions.mZone) {
      AddForwardedDispatches(aState, update);
    }
  }
}

void
ApplyDispatches(SteeringState& aState, const std::vector<DispatchReport>& aDispatches)
{
  if (aState.mReceivedDispatches.empty()) {
    aState.mLoop.CallAt(SuspendAwareNow() + kDispatchBatchDelay, [&aState] {
      aState.mTraffic.ApplyDispatches(std::exchange(aState.mReceivedDispatches, {}));
    });
  }
  aState.mReceivedDispatches.insert(
    aState.mReceivedDispatches.end(), aDispatches.begin(), aDispatches.end());
}

} // namespace trefoil
