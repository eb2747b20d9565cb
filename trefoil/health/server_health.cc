#include "trefoil/health/server_health.h"

#include "trefoil/base/digest.h"
#include "trefoil/health/internal/report_order.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>

namespace trefoil {
namespace {

constexpr Milliseconds kRankUpdateInterval{ 1'000 };
constexpr Milliseconds kNotUpGossipInterval{ 1'000 };
constexpr Milliseconds kMinLoadGossipInterval{ 1'000 };
constexpr Milliseconds kLoadPublishInterval{ 500 };
// How many rounds gossip a change of state, and a state after another host sent an outdated one.
constexpr int kChangeGossipRounds = 8;
constexpr int kCorrectionGossipRounds = 3;
// How many random hosts receive a message. The host whose poll reveals a change sends it to
// kFirstFanOutInZone hosts of its zone and to one host per other zone on average. In each later
// round a host sends its changes to kFanOutInZone and kFanOutToOtherZones hosts.
constexpr std::size_t kFanOutInZone = 3;
constexpr std::size_t kFirstFanOutInZone = 8;
constexpr std::size_t kFanOutToOtherZones = 1;
// Exceeds any number of hosts.
constexpr std::size_t kAllHosts = 1'000'000;
// This many reports fit in a datagram that common networks do not fragment.
constexpr std::size_t kMaxReportsPerDatagram = 40;
constexpr std::size_t kBytesPerReport = 30;
// Bound on the bytes of loads that a host sends, at kBytesPerReport per report. The interval of the
// loads grows with the number of reports and targets to keep it.
constexpr std::size_t kMaxLoadBytesPerSecond = 3'000;
constexpr std::size_t kMillisecondsPerSecond = 1'000;

ServerState
StateOf(const ServerHealth& aServer)
{
  return aServer.mReport.has_value() ? aServer.mReport->mState : ServerState::kUp;
}

// Merges a report into that of the server. Returns whether the state changed.
bool
ApplyReport(HealthState& aHealth, ServerHealth& aServer, const ServerReport& aReport)
{
  const ServerState before = StateOf(aServer);
  if (!aServer.mReport.has_value()) {
    aServer.mReport = aReport;
  } else if (!MergeReport(*aServer.mReport, aReport)) {
    return false;
  }
  aHealth.mLoadChanged = true;
  if (StateOf(aServer) == before) {
    return false;
  }
  aHealth.mStateChanged = true;
  aServer.mGossipRoundsLeft = kChangeGossipRounds;
  return true;
}

Datagrams
MakeReportDatagrams(const std::vector<Endpoint>& aTargets, std::vector<ServerReport> aReports)
{
  Datagrams datagrams;
  if (aReports.empty()) {
    return datagrams;
  }
  const ServerReports message{ .mReports = std::move(aReports) };
  for (const Endpoint& target : aTargets) {
    datagrams.push_back({ .mTo = target, .mMessage = message });
  }
  return datagrams;
}

// Returns the reports of the changes to gossip in this round, those with the most rounds left
// first, and decrements their rounds.
std::vector<ServerReport>
NextChanges(HealthState& aHealth)
{
  std::vector<ServerHealth*> changed;
  for (auto& [id, server] : aHealth.mByServer) {
    if (server.mGossipRoundsLeft > 0) {
      changed.push_back(&server);
    }
  }
  std::ranges::sort(changed, std::greater<>{}, &ServerHealth::mGossipRoundsLeft);
  std::vector<ServerReport> reports;
  for (ServerHealth* server : changed) {
    if (reports.size() == kMaxReportsPerDatagram) {
      break;
    }
    --server->mGossipRoundsLeft;
    reports.push_back(*server->mReport);
  }
  return reports;
}

// Returns the reports of servers that are not up. If they do not fit in a datagram, successive
// rounds return successive parts of them.
std::vector<ServerReport>
NextNotUpReports(const HealthState& aHealth, Instant aNow)
{
  std::vector<ServerReport> reports;
  for (const auto& [id, server] : aHealth.mByServer) {
    if (StateOf(server) != ServerState::kUp) {
      reports.push_back(*server.mReport);
    }
  }
  if (reports.size() > kMaxReportsPerDatagram) {
    const auto round = static_cast<std::size_t>(aNow.time_since_epoch() / kNotUpGossipInterval);
    const std::size_t first = round * kMaxReportsPerDatagram % reports.size();
    std::rotate(
      reports.begin(), reports.begin() + static_cast<std::ptrdiff_t>(first), reports.end());
    reports.resize(kMaxReportsPerDatagram);
  }
  return reports;
}

std::vector<ServerReport>
FirstPollerReports(const HealthState& aHealth)
{
  std::vector<ServerReport> reports;
  for (const auto& [id, server] : aHealth.mByServer) {
    if (server.mPollerRank == 0 && server.mReport.has_value()) {
      reports.push_back(*server.mReport);
    }
  }
  return reports;
}

void
AppendDatagrams(Datagrams& aTo, Datagrams aFrom)
{
  std::ranges::move(aFrom, std::back_inserter(aTo));
}

// Returns the messages with the reports of the servers whose first poller is this host, to all
// hosts of its zone.
Datagrams
MakeLoadDatagrams(HealthState& aHealth, GossipState& aGossip, Instant aNow)
{
  const auto reports = FirstPollerReports(aHealth);
  const auto targets = RandomGossipTargets(aGossip, kAllHosts, 0);
  const std::size_t bytes = reports.size() * kBytesPerReport * targets.size();
  const Milliseconds interval{ bytes * kMillisecondsPerSecond / kMaxLoadBytesPerSecond };
  aHealth.mNextLoadGossipAt = aNow + std::max(kMinLoadGossipInterval, interval);
  Datagrams datagrams;
  for (std::size_t first = 0; first < reports.size(); first += kMaxReportsPerDatagram) {
    const auto begin = reports.begin() + static_cast<std::ptrdiff_t>(first);
    const auto end = reports.begin() + static_cast<std::ptrdiff_t>(
                                         std::min(first + kMaxReportsPerDatagram, reports.size()));
    AppendDatagrams(datagrams, MakeReportDatagrams(targets, { begin, end }));
  }
  return datagrams;
}

bool
IsPolledFromOwnZone(const GossipState& aGossip, const ServerTarget& aTarget, Instant aNow)
{
  if (aTarget.mZone == aGossip.mOptions.mZone) {
    return true;
  }
  const auto zone = aGossip.mZones.find(aTarget.mZone);
  return zone == aGossip.mZones.end() || HasPassed(zone->second.mStaleAt, aNow) ||
         zone->second.mDigest.mLiveHosts == 0;
}

void
UpdatePollerRanks(HealthState& aHealth, const GossipState& aGossip, Instant aNow)
{
  aHealth.mNextRankUpdateAt = aNow + kRankUpdateInterval;
  aHealth.mPolledServers.clear();
  for (auto& [id, server] : aHealth.mByServer) {
    server.mPollerRank = IsPolledFromOwnZone(aGossip, server.mTarget, aNow)
                           ? RankInZone(aGossip, id.Value(), kPollersPerServer)
                           : kPollersPerServer;
    if (server.mPollerRank < kPollersPerServer) {
      aHealth.mPolledServers.push_back(id);
    }
  }
}

Milliseconds
PollInterval(const GossipState& aGossip, const ServerHealth& aServer)
{
  if (aServer.mTarget.mZone != aGossip.mOptions.mZone) {
    return kOtherZonePollInterval;
  }
  return aServer.mPollerRank == 0 ? kFirstPollerInterval : kSecondPollerInterval;
}

// Returns the delay of the first poll of a server, which spreads the polls over the interval.
Milliseconds
PollOffset(const BackendServerId& aServer)
{
  return Milliseconds{ Digest64(aServer.Value()) %
                       static_cast<std::uint64_t>(kFirstPollerInterval.count()) };
}

// Returns the report that follows from the result of a poll, or std::nullopt after a failure if the
// server has fewer than kFailuresUntilDown failures in a row. A server that answers without a
// report counts as up, and this host increments the sequence for it.
std::optional<ServerReport>
ReportOfPoll(ServerHealth& aServer, const PollResult& aResult)
{
  const ServerReport lastReport =
    aServer.mReport.value_or(ServerReport{ .mServer = aResult.mServer });
  if (aResult.mAnswered) {
    aServer.mPollFailures = 0;
    if (aResult.mReport.has_value()) {
      return aResult.mReport;
    }
    ServerReport report = lastReport;
    ++report.mSequence;
    report.mState = ServerState::kUp;
    return report;
  }
  if (++aServer.mPollFailures < kFailuresUntilDown) {
    return std::nullopt;
  }
  ServerReport report = lastReport;
  report.mState = ServerState::kDown;
  return report;
}

// Applies another host's report. If its state is outdated, schedules the gossip of the newer state
// so that the other host receives it.
void
ApplyReceivedReport(HealthState& aHealth,
                    ServerHealth& aServer,
                    const ServerReport& aReport,
                    Instant aNow)
{
  const ServerReport before = aServer.mReport.value_or(ServerReport{ .mServer = aReport.mServer });
  const bool changed = ApplyReport(aHealth, aServer, aReport);
  const ServerReport& after = *aServer.mReport;
  if (after.mIncarnation > before.mIncarnation || after.mSequence > before.mSequence) {
    aServer.mPollFailures = 0;
  }
  if (!changed && after.mState != aReport.mState) {
    aServer.mGossipRoundsLeft = std::max(aServer.mGossipRoundsLeft, kCorrectionGossipRounds);
  }
  if (aServer.mGossipRoundsLeft > 0) {
    aHealth.mNextChangeGossipAt =
      std::min(aHealth.mNextChangeGossipAt, aNow + kChangeGossipInterval);
  }
}

} // namespace

void
SetServers(HealthState& aHealth, const std::vector<ServerTarget>& aServers, Instant aNow)
{
  std::set<BackendServerId> configured;
  for (const ServerTarget& target : aServers) {
    configured.insert(target.mServer);
    ServerHealth& server = aHealth.mByServer[target.mServer];
    if (server.mTarget.mEndpoint != target.mEndpoint) {
      // A new endpoint means another process, so the report of the former one is discarded.
      server = { .mNextPollAt = aNow + PollOffset(target.mServer) };
    }
    server.mTarget = target;
  }
  std::erase_if(aHealth.mByServer,
                [&configured](const auto& aEntry) { return !configured.contains(aEntry.first); });
  aHealth.mPolledServers.clear();
  aHealth.mNextRankUpdateAt = aNow;
  aHealth.mStateChanged = true;
}

std::vector<ServerPoll>
DuePolls(HealthState& aHealth, const GossipState& aGossip, Instant aNow)
{
  if (HasPassed(aHealth.mNextRankUpdateAt, aNow)) {
    UpdatePollerRanks(aHealth, aGossip, aNow);
  }
  std::vector<ServerPoll> polls;
  for (const BackendServerId& id : aHealth.mPolledServers) {
    ServerHealth& server = aHealth.mByServer.at(id);
    if (server.mPollInFlight || !HasPassed(server.mNextPollAt, aNow)) {
      continue;
    }
    server.mPollInFlight = true;
    server.mNextPollAt = aNow + PollInterval(aGossip, server);
    polls.push_back(
      { .mServer = id, .mEndpoint = server.mTarget.mEndpoint, .mDeadline = aNow + kPollTimeout });
  }
  return polls;
}

Datagrams
OnPollCompleted(HealthState& aHealth, GossipState& aGossip, const PollResult& aResult, Instant aNow)
{
  const auto found = aHealth.mByServer.find(aResult.mServer);
  if (found == aHealth.mByServer.end()) {
    return {};
  }
  ServerHealth& server = found->second;
  server.mPollInFlight = false;
  const auto report = ReportOfPoll(server, aResult);
  if (!report.has_value() || !ApplyReport(aHealth, server, *report)) {
    return {};
  }
  aHealth.mNextChangeGossipAt = std::min(aHealth.mNextChangeGossipAt, aNow + kChangeGossipInterval);
  const auto targets = RandomGossipTargets(aGossip, kFirstFanOutInZone, aGossip.mZones.size());
  return MakeReportDatagrams(targets, { *server.mReport });
}

void
OnServerReports(HealthState& aHealth, const ServerReports& aReports, Instant aNow)
{
  for (const ServerReport& report : aReports.mReports) {
    const auto found = aHealth.mByServer.find(report.mServer);
    if (found != aHealth.mByServer.end() && report.mState <= ServerState::kLeaving) {
      ApplyReceivedReport(aHealth, found->second, report, aNow);
    }
  }
}

Datagrams
OnHealthTimer(HealthState& aHealth, GossipState& aGossip, Instant aNow)
{
  Datagrams datagrams;
  if (HasPassed(aHealth.mNextChangeGossipAt, aNow)) {
    aHealth.mNextChangeGossipAt = aNow + kChangeGossipInterval;
    auto changes = NextChanges(aHealth);
    if (changes.empty()) {
      aHealth.mNextChangeGossipAt = Instant::max();
    } else {
      AppendDatagrams(
        datagrams,
        MakeReportDatagrams(RandomGossipTargets(aGossip, kFanOutInZone, kFanOutToOtherZones),
                            std::move(changes)));
    }
  }
  if (HasPassed(aHealth.mNextNotUpGossipAt, aNow)) {
    aHealth.mNextNotUpGossipAt = aNow + kNotUpGossipInterval;
    auto reports = NextNotUpReports(aHealth, aNow);
    if (!reports.empty()) {
      AppendDatagrams(datagrams,
                      MakeReportDatagrams(RandomGossipTargets(aGossip, 1, 1), std::move(reports)));
    }
  }
  if (HasPassed(aHealth.mNextLoadGossipAt, aNow)) {
    AppendDatagrams(datagrams, MakeLoadDatagrams(aHealth, aGossip, aNow));
  }
  return datagrams;
}

Instant
NextHealthTimer(const HealthState& aHealth)
{
  Instant next = std::min(
    { aHealth.mNextChangeGossipAt, aHealth.mNextNotUpGossipAt, aHealth.mNextLoadGossipAt });
  for (const BackendServerId& id : aHealth.mPolledServers) {
    const ServerHealth& server = aHealth.mByServer.at(id);
    if (!server.mPollInFlight) {
      next = std::min(next, server.mNextPollAt);
    }
  }
  return next;
}

bool
PublishReports(HealthState& aHealth, Instant aNow)
{
  const bool loadsDue = aHealth.mLoadChanged && HasPassed(aHealth.mNextLoadPublishAt, aNow);
  if (!aHealth.mStateChanged && !loadsDue) {
    return false;
  }
  auto reports = std::make_shared<ServerReportMap>();
  auto notUp = std::make_shared<ServerSet>();
  for (const auto& [id, server] : aHealth.mByServer) {
    if (server.mReport.has_value()) {
      reports->emplace_hint(reports->end(), id, *server.mReport);
    }
    if (StateOf(server) != ServerState::kUp) {
      notUp->emplace_hint(notUp->end(), id);
    }
  }
  aHealth.mPublishedReports = std::move(reports);
  aHealth.mNotUp = std::move(notUp);
  aHealth.mStateChanged = false;
  aHealth.mLoadChanged = false;
  aHealth.mNextLoadPublishAt = aNow + kLoadPublishInterval;
  return true;
}

} // namespace trefoil
