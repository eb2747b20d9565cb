#include "trefoil/steering/peer_table.h"

#include "trefoil/base/median.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// Clocks whose difference is smaller count as equal: message delays differ by as much.
constexpr Milliseconds kClockTolerance{ 100 };
// A peer counts as live until this many of its updates are missing.
constexpr int kMaxMissedUpdates = 4;
// Update interval of a small fleet. A quota can be exceeded by the requests of one interval
// plus the message delay.
constexpr Milliseconds kMinUpdateInterval{ 250 };
// Updates that a host receives per second, which bounds the cost of receiving them. The
// interval is not stretched beyond kMaxUpdateInterval.
constexpr int kUpdatesPerSecond = 64;
constexpr Milliseconds kMaxUpdateInterval{ 1'000 };
// Update interval with aggregation. An update reaches all hosts within three intervals.
constexpr Milliseconds kAggregatedUpdateInterval{ 500 };
// Fleets from this size on use aggregation. In smaller ones, updates to all hosts are at most as
// many messages, and arrive sooner.
constexpr std::size_t kMinHostsToAggregate = 32;
// A peer that is not listed in the store expires after this time, which is longer than an
// outage of the store.
constexpr Milliseconds kPeerExpiry{ 15'000 };

} // namespace

PeerUpdate
ApplyTrafficUpdate(PeerTable& aTable, const TrafficUpdate& aUpdate, Instant aNow)
{
  return ApplyHostReport(aTable, { .mUpdate = aUpdate }, aNow);
}

PeerUpdate
ApplyHostReport(PeerTable& aTable, const HostReport& aReport, Instant aNow)
{
  const TrafficUpdate& report = aReport.mUpdate;
  if (report.mHost == aTable.mSelf) {
    return {};
  }
  const auto [found, isNew] = aTable.mPeers.try_emplace(report.mHost);
  Peer& peer = found->second;
  const bool sameIncarnation = !isNew && peer.mUpdate.mIncarnation == report.mIncarnation;
  // Incarnations are not ordered: the wall clock of a host can jump back before it restarts.
  if (aTable.mFormerIncarnations[report.mHost].contains(report.mIncarnation) ||
      (sameIncarnation && report.mSequence <= peer.mUpdate.mSequence)) {
    return {};
  }
  if (!isNew && !sameIncarnation) {
    aTable.mFormerIncarnations[report.mHost].insert(peer.mUpdate.mIncarnation);
  }
  PeerUpdate update;
  Counters counters = CountersOf(aReport);
  peer.mSendsCounters = (sameIncarnation && peer.mSendsCounters) || !aReport.mCounters.empty();
  if (!sameIncarnation) {
    peer.mGrowth.clear();
  } else if (aNow - peer.mLastReceivedAt <
             kMaxMissedUpdates * TrafficUpdateInterval(aTable, aNow)) {
    // A host that is new or was out of touch has used only its own share in the meantime, so what
    // it counted then is left out.
    const Counters growth = Increases(peer.mCounters, counters);
    AddCounters(peer.mGrowth, growth);
    AddCounters(aTable.mGrowth, growth);
    if (report.mZone == aTable.mZone) {
      AddCounters(aTable.mZoneGrowth, growth);
    }
    update.mQuotaUsed = AccountTotalsOf(growth, CounterKind::kQuotaUsed);
    update.mQuotaAsked = AccountTotalsOf(growth, CounterKind::kQuotaAsked);
  }
  ApplyUsage(
    aTable,
    { .mHost = report.mHost, .mIncarnation = report.mIncarnation, .mUsage = report.mUsage });
  peer.mUpdate = report;
  peer.mCounters = std::move(counters);
  peer.mLastReceivedAt = aNow;
  return update;
}

void
ApplyUsage(PeerTable& aTable, const UsageUpdate& aUpdate)
{
  UsageWindows& usage = aTable.mUsage[aUpdate.mHost][aUpdate.mIncarnation];
  for (const WindowCount& count : aUpdate.mUsage) {
    std::int64_t& requests = usage[count.mWindow][count.mAccount];
    requests = std::max(requests, count.mRequests);
  }
}

bool
IsNewIncarnation(const PeerTable& aTable, const TrafficUpdate& aUpdate)
{
  const auto peer = aTable.mPeers.find(aUpdate.mHost);
  return aUpdate.mHost != aTable.mSelf &&
         (peer == aTable.mPeers.end() || peer->second.mUpdate.mIncarnation != aUpdate.mIncarnation);
}

void
RecordPeerClock(PeerTable& aTable, const TrafficUpdate& aUpdate, WallTime aWallNow)
{
  const auto peer = aTable.mPeers.find(aUpdate.mHost);
  const bool isNewest = peer != aTable.mPeers.end() &&
                        peer->second.mUpdate.mIncarnation == aUpdate.mIncarnation &&
                        peer->second.mUpdate.mSequence == aUpdate.mSequence;
  if (isNewest) {
    peer->second.mClockOffset = Milliseconds{ aUpdate.mWallMs - UnixMilliseconds(aWallNow) };
  }
}

Milliseconds
ClockCorrection(const PeerTable& aTable, Instant aNow)
{
  std::vector<Milliseconds> ahead{ Milliseconds{ 0 } };
  for (const HostId& host : LivePeers(aTable, aNow)) {
    ahead.push_back(aTable.mPeers.at(host).mClockOffset);
  }
  return ToleratedClockOffset(Median(std::move(ahead)));
}

Milliseconds
ToleratedClockOffset(Milliseconds aOffset)
{
  return std::chrono::abs(aOffset) < kClockTolerance ? Milliseconds{ 0 } : aOffset;
}

void
AddQuotaUse(PeerUpdate& aSum, const PeerUpdate& aAdded)
{
  for (const auto& [account, used] : aAdded.mQuotaUsed) {
    aSum.mQuotaUsed[account] += used;
  }
  for (const auto& [account, asked] : aAdded.mQuotaAsked) {
    aSum.mQuotaAsked[account] += asked;
  }
}

bool
UsesAggregation(const PeerTable& aTable)
{
  return aTable.mListedHosts.size() >= kMinHostsToAggregate && !aTable.mZone.Empty();
}

Milliseconds
TrafficUpdateInterval(const PeerTable& aTable, Instant aNow)
{
  if (UsesAggregation(aTable)) {
    return kAggregatedUpdateInterval;
  }
  std::size_t hosts = aTable.mListedHosts.size();
  for (const auto& [host, peer] : aTable.mPeers) {
    const bool recent = aNow - peer.mLastReceivedAt < kPeerExpiry;
    hosts += recent && !aTable.mListedHosts.contains(host) ? 1 : 0;
  }
  constexpr std::int64_t kMsPerSecond = 1'000;
  const Milliseconds interval{ static_cast<std::int64_t>(hosts) * kMsPerSecond /
                               kUpdatesPerSecond };
  return std::clamp(interval, kMinUpdateInterval, kMaxUpdateInterval);
}

Milliseconds
PropagationTime(const PeerTable& aTable, Instant aNow)
{
  // A report is sent within one interval, and applied at the end of another one. With aggregation
  // it passes two aggregators on its way.
  constexpr int kIntervals = 2;
  constexpr int kIntervalsWithAggregation = 4;
  return TrafficUpdateInterval(aTable, aNow) *
         (UsesAggregation(aTable) ? kIntervalsWithAggregation : kIntervals);
}

std::vector<HostId>
LivePeers(const PeerTable& aTable, Instant aNow)
{
  const Milliseconds timeout = kMaxMissedUpdates * TrafficUpdateInterval(aTable, aNow);
  std::vector<HostId> live;
  for (const auto& [host, peer] : aTable.mPeers) {
    if (aNow - peer.mLastReceivedAt < timeout && !peer.mUpdate.mLeaving) {
      live.push_back(host);
    }
  }
  return live;
}

Carriers
CarriersOf(const PeerTable& aTable, Instant aNow)
{
  Carriers carriers;
  if (!UsesAggregation(aTable)) {
    for (const HostId& host : LivePeers(aTable, aNow)) {
      const TrafficUpdate& update = aTable.mPeers.at(host).mUpdate;
      carriers.push_back({ .mHost = host, .mEndpoint = update.mEndpoint, .mZone = update.mZone });
    }
    return carriers;
  }
  for (const auto& [host, listed] : aTable.mListedHosts) {
    const auto peer = aTable.mPeers.find(host);
    const bool isLeaving = peer != aTable.mPeers.end() && peer->second.mUpdate.mLeaving;
    if (host != aTable.mSelf && !isLeaving) {
      carriers.push_back({ .mHost = host, .mEndpoint = listed.mEndpoint, .mZone = listed.mZone });
    }
  }
  return carriers;
}

std::optional<Endpoint>
EndpointOf(const PeerTable& aTable, const HostId& aHost)
{
  const auto listed = aTable.mListedHosts.find(aHost);
  if (listed != aTable.mListedHosts.end()) {
    return listed->second.mEndpoint;
  }
  const auto peer = aTable.mPeers.find(aHost);
  if (peer != aTable.mPeers.end()) {
    return peer->second.mUpdate.mEndpoint;
  }
  return std::nullopt;
}

int
HostCount(const PeerTable& aTable, Instant aNow)
{
  std::set<HostId> hosts{ aTable.mSelf };
  for (const auto& [host, listed] : aTable.mListedHosts) {
    const auto peer = aTable.mPeers.find(host);
    if (peer == aTable.mPeers.end() || !peer->second.mUpdate.mLeaving) {
      hosts.insert(host);
    }
  }
  for (const HostId& host : LivePeers(aTable, aNow)) {
    hosts.insert(host);
  }
  return static_cast<int>(hosts.size());
}

double
QuotaShare(const PeerTable& aTable, Instant aNow)
{
  const auto inTouch = static_cast<double>(LivePeers(aTable, aNow).size() + 1);
  return std::min(1.0, inTouch / HostCount(aTable, aNow));
}

std::map<Endpoint, UpdateRecipient>
TrafficUpdateRecipients(const PeerTable& aTable, Instant aNow)
{
  std::map<Endpoint, UpdateRecipient> recipients;
  for (const auto& [host, listed] : aTable.mListedHosts) {
    if (host != aTable.mSelf) {
      recipients[listed.mEndpoint] = { .mNeedsUsage = true,
                                       .mTakesReports = !listed.mZone.Empty() };
    }
  }
  for (const auto& [host, peer] : aTable.mPeers) {
    if (aNow - peer.mLastReceivedAt < kPeerExpiry) {
      UpdateRecipient& recipient = recipients[peer.mUpdate.mEndpoint];
      recipient.mNeedsUsage = peer.mUpdate.mHoldsDuties || peer.mUpdate.mZone == aTable.mZone;
      recipient.mTakesReports = recipient.mTakesReports || peer.mSendsCounters;
    }
  }
  return recipients;
}

std::map<ClientAccountId, std::int64_t>
UsageOfPeers(const PeerTable& aTable, std::int64_t aWindow)
{
  std::map<ClientAccountId, std::int64_t> counts;
  for (const auto& [host, incarnations] : aTable.mUsage) {
    for (const auto& [incarnation, windows] : incarnations) {
      const auto window = windows.find(aWindow);
      if (window == windows.end()) {
        continue;
      }
      for (const auto& [account, requests] : window->second) {
        counts[account] += requests;
      }
    }
  }
  return counts;
}

void
DropUsageBefore(PeerTable& aTable, std::int64_t aWindow)
{
  for (auto& [host, incarnations] : aTable.mUsage) {
    for (auto& [incarnation, windows] : incarnations) {
      windows.erase(windows.begin(), windows.lower_bound(aWindow));
    }
    std::erase_if(incarnations, [](const auto& aItem) { return aItem.second.empty(); });
  }
  std::erase_if(aTable.mUsage, [](const auto& aItem) { return aItem.second.empty(); });
}

std::set<BackendServerId>
ServersReportedBroken(const PeerTable& aTable, Instant aNow)
{
  std::map<BackendServerId, std::uint32_t> reports;
  for (const HostId& host : LivePeers(aTable, aNow)) {
    for (const BackendServerId& server : aTable.mPeers.at(host).mUpdate.mBroken) {
      ++reports[server];
    }
  }
  std::set<BackendServerId> broken;
  for (const auto& [server, count] : reports) {
    if (count >= kMinBrokenReports) {
      broken.insert(server);
    }
  }
  return broken;
}

} // namespace trefoil
