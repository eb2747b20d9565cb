#include "trefoil/health/server_health.h"

#include "trefoil/base/digest.h"
#include "trefoil/health/internal/report_order.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>

namespace trefoil {
namespace {

constexpr Milliseconds kRanksEvery{ 1'000 };
constexpr Milliseconds kRepeatEvery{ 1'000 };
constexpr Milliseconds kMinLoadsEvery{ 1'000 };
constexpr Milliseconds kPublishLoadsEvery{ 500 };
constexpr int kRoundsOfChange = 8;
constexpr int kRoundsOfCorrection = 3;
constexpr std::size_t kSpreadInZone = 3;
constexpr std::size_t kFirstSpreadInZone = 8;
constexpr std::size_t kSpreadElsewhere = 1;
constexpr std::size_t kEveryHost = 1'000'000;
// What fits a datagram that is not fragmented on common networks.
constexpr std::size_t kReportsInDatagram = 40;
constexpr std::size_t kReportBytes = 30;
// What a host may spend on sending loads.
constexpr std::size_t kLoadBytesPerSecond = 3'000;
constexpr std::size_t kMillisecondsInSecond = 1'000;

ServerState
StateOf(const ServerHealth& aServer)
{
  return aServer.mReport.has_value() ? aServer.mReport->mState : ServerState::kUp;
}

// Takes over a report if it is newer. Returns whether the state changed.
bool
TakeReport(HealthState& aHealth, ServerHealth& aServer, const ServerReport& aReport)
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
  aServer.mRoundsLeft = kRoundsOfChange;
  return true;
}

Datagrams
SendTo(const std::vector<Endpoint>& aTargets, std::vector<ServerReport> aReports)
{
  Datagrams out;
  if (aReports.empty()) {
    return out;
  }
  const ServerReports message{ .mReports = std::move(aReports) };
  for (const Endpoint& target : aTargets) {
    out.push_back({ .mTo = target, .mMessage = message });
  }
  return out;
}

// Returns the reports of the changes that have the most rounds left, and counts the round.
std::vector<ServerReport>
TakeChanges(HealthState& aHealth)
{
  std::vector<ServerHealth*> changed;
  for (auto& [id, server] : aHealth.mByServer) {
    if (server.mRoundsLeft > 0) {
      changed.push_back(&server);
    }
  }
  std::ranges::sort(changed, std::greater<>{}, &ServerHealth::mRoundsLeft);
  std::vector<ServerReport> reports;
  for (ServerHealth* server : changed) {
    if (reports.size() == kReportsInDatagram) {
      break;
    }
    --server->mRoundsLeft;
    reports.push_back(*server->mReport);
  }
  return reports;
}

// Returns a random part of the reports of servers that are not up.
std::vector<ServerReport>
ChooseNotUp(const HealthState& aHealth, Instant aNow)
{
  std::vector<ServerReport> reports;
  for (const auto& [id, server] : aHealth.mByServer) {
    if (StateOf(server) != ServerState::kUp) {
      reports.push_back(*server.mReport);
    }
  }
  if (reports.size() > kReportsInDatagram) {
    const auto turn = static_cast<std::size_t>(aNow.time_since_epoch() / kRepeatEvery);
    const std::size_t first = turn * kReportsInDatagram % reports.size();
    std::rotate(
      reports.begin(), reports.begin() + static_cast<std::ptrdiff_t>(first), reports.end());
    reports.resize(kReportsInDatagram);
  }
  return reports;
}

std::vector<ServerReport>
ReportsOfFirstPoller(const HealthState& aHealth)
{
  std::vector<ServerReport> reports;
  for (const auto& [id, server] : aHealth.mByServer) {
    if (server.mRank == 0 && server.mReport.has_value()) {
      reports.push_back(*server.mReport);
    }
  }
  return reports;
}

void
Append(Datagrams& aTo, Datagrams aFrom)
{
  std::ranges::move(aFrom, std::back_inserter(aTo));
}

// Sends the loads of the servers that this host polls first to all hosts of its zone.
Datagrams
SendLoads(HealthState& aHealth, GossipState& aGossip, Instant aNow)
{
  const auto reports = ReportsOfFirstPoller(aHealth);
  const auto targets = SpreadTargets(aGossip, kEveryHost, 0);
  const std::size_t bytes = reports.size() * kReportBytes * targets.size();
  const Milliseconds interval{ bytes * kMillisecondsInSecond / kLoadBytesPerSecond };
  aHealth.mNextLoadsAt = aNow + std::max(kMinLoadsEvery, interval);
  Datagrams out;
  for (std::size_t first = 0; first < reports.size(); first += kReportsInDatagram) {
    const auto begin = reports.begin() + static_cast<std::ptrdiff_t>(first);
    const auto end = reports.begin() + static_cast<std::ptrdiff_t>(
                                         std::min(first + kReportsInDatagram, reports.size()));
    Append(out, SendTo(targets, { begin, end }));
  }
  return out;
}

bool
IsPolledHere(const GossipState& aGossip, const ServerTarget& aTarget, Instant aNow)
{
  if (aTarget.mZone == aGossip.mOptions.mZone) {
    return true;
  }
  const auto zone = aGossip.mZones.find(aTarget.mZone);
  return zone == aGossip.mZones.end() || HasPassed(zone->second.mStaleAt, aNow) ||
         zone->second.mDigest.mLiveHosts == 0;
}

void
UpdateRanks(HealthState& aHealth, const GossipState& aGossip, Instant aNow)
{
  aHealth.mNextRanksAt = aNow + kRanksEvery;
  aHealth.mPolled.clear();
  for (auto& [id, server] : aHealth.mByServer) {
    server.mRank = IsPolledHere(aGossip, server.mTarget, aNow)
                     ? RankInZone(aGossip, id.Value(), kPollersOfServer)
                     : kPollersOfServer;
    if (server.mRank < kPollersOfServer) {
      aHealth.mPolled.push_back(id);
    }
  }
}

Milliseconds
PollInterval(const GossipState& aGossip, const ServerHealth& aServer)
{
  if (aServer.mTarget.mZone != aGossip.mOptions.mZone) {
    return kElsewherePollEvery;
  }
  return aServer.mRank == 0 ? kFirstPollEvery : kSecondPollEvery;
}

// Spreads the polls of a host over the interval.
Milliseconds
PollPhase(const BackendServerId& aServer)
{
  return Milliseconds{ Digest64(aServer.Value()) %
                       static_cast<std::uint64_t>(kFirstPollEvery.count()) };
}

// Returns what a poll says of a server, nothing while failures are too few to say anything.
std::optional<ServerReport>
ReportOf(ServerHealth& aServer, const PollResult& aResult)
{
  const ServerReport known = aServer.mReport.value_or(ServerReport{ .mServer = aResult.mServer });
  if (aResult.mAnswered) {
    aServer.mFailures = 0;
    if (aResult.mReport.has_value()) {
      return aResult.mReport;
    }
    ServerReport report = known;
    ++report.mSequence;
    report.mState = ServerState::kUp;
    return report;
  }
  if (++aServer.mFailures < kFailuresUntilDown) {
    return std::nullopt;
  }
  ServerReport report = known;
  report.mState = ServerState::kDown;
  return report;
}

// Takes in another host's report, or sees to it that the other host learns of a newer one.
void
OnReport(HealthState& aHealth, ServerHealth& aServer, const ServerReport& aReport, Instant aNow)
{
  const ServerReport before = aServer.mReport.value_or(ServerReport{ .mServer = aReport.mServer });
  const bool changed = TakeReport(aHealth, aServer, aReport);
  const ServerReport& now = *aServer.mReport;
  if (now.mIncarnation > before.mIncarnation || now.mSequence > before.mSequence) {
    aServer.mFailures = 0;
  }
  if (!changed && now.mState != aReport.mState) {
    aServer.mRoundsLeft = std::max(aServer.mRoundsLeft, kRoundsOfCorrection);
  }
  if (aServer.mRoundsLeft > 0) {
    aHealth.mNextSpreadAt = std::min(aHealth.mNextSpreadAt, aNow + kSpreadEvery);
  }
}

} // namespace

void
SetServers(HealthState& aHealth, const std::vector<ServerTarget>& aServers, Instant aNow)
{
  std::set<BackendServerId> wanted;
  for (const ServerTarget& target : aServers) {
    wanted.insert(target.mServer);
    ServerHealth& server = aHealth.mByServer[target.mServer];
    if (server.mTarget.mEndpoint != target.mEndpoint) {
      // Another process: what is known is of the old one.
      server = { .mNextPollAt = aNow + PollPhase(target.mServer) };
    }
    server.mTarget = target;
  }
  std::erase_if(aHealth.mByServer,
                [&wanted](const auto& aEntry) { return !wanted.contains(aEntry.first); });
  aHealth.mPolled.clear();
  aHealth.mNextRanksAt = aNow;
  aHealth.mStateChanged = true;
}

std::vector<ServerPoll>
DuePolls(HealthState& aHealth, const GossipState& aGossip, Instant aNow)
{
  if (HasPassed(aHealth.mNextRanksAt, aNow)) {
    UpdateRanks(aHealth, aGossip, aNow);
  }
  std::vector<ServerPoll> polls;
  for (const BackendServerId& id : aHealth.mPolled) {
    ServerHealth& server = aHealth.mByServer.at(id);
    if (server.mPolling || !HasPassed(server.mNextPollAt, aNow)) {
      continue;
    }
    server.mPolling = true;
    server.mNextPollAt = aNow + PollInterval(aGossip, server);
    polls.push_back(
      { .mServer = id, .mEndpoint = server.mTarget.mEndpoint, .mDeadline = aNow + kPollLimit });
  }
  return polls;
}

Datagrams
OnPolled(HealthState& aHealth, GossipState& aGossip, const PollResult& aResult, Instant aNow)
{
  const auto found = aHealth.mByServer.find(aResult.mServer);
  if (found == aHealth.mByServer.end()) {
    return {};
  }
  ServerHealth& server = found->second;
  server.mPolling = false;
  const auto report = ReportOf(server, aResult);
  if (!report.has_value() || !TakeReport(aHealth, server, *report)) {
    return {};
  }
  aHealth.mNextSpreadAt = std::min(aHealth.mNextSpreadAt, aNow + kSpreadEvery);
  const auto targets = SpreadTargets(aGossip, kFirstSpreadInZone, aGossip.mZones.size());
  return SendTo(targets, { *server.mReport });
}

void
OnReports(HealthState& aHealth, const ServerReports& aReports, Instant aNow)
{
  for (const ServerReport& report : aReports.mReports) {
    const auto found = aHealth.mByServer.find(report.mServer);
    if (found != aHealth.mByServer.end() && report.mState <= ServerState::kLeaving) {
      OnReport(aHealth, found->second, report, aNow);
    }
  }
}

Datagrams
OnHealthTimer(HealthState& aHealth, GossipState& aGossip, Instant aNow)
{
  Datagrams out;
  if (HasPassed(aHealth.mNextSpreadAt, aNow)) {
    aHealth.mNextSpreadAt = aNow + kSpreadEvery;
    auto changes = TakeChanges(aHealth);
    if (changes.empty()) {
      aHealth.mNextSpreadAt = Instant::max();
    } else {
      Append(out,
             SendTo(SpreadTargets(aGossip, kSpreadInZone, kSpreadElsewhere), std::move(changes)));
    }
  }
  if (HasPassed(aHealth.mNextRepeatAt, aNow)) {
    aHealth.mNextRepeatAt = aNow + kRepeatEvery;
    auto reports = ChooseNotUp(aHealth, aNow);
    if (!reports.empty()) {
      Append(out, SendTo(SpreadTargets(aGossip, 1, 1), std::move(reports)));
    }
  }
  if (HasPassed(aHealth.mNextLoadsAt, aNow)) {
    Append(out, SendLoads(aHealth, aGossip, aNow));
  }
  return out;
}

Instant
NextHealthTimer(const HealthState& aHealth)
{
  Instant next = std::min({ aHealth.mNextSpreadAt, aHealth.mNextRepeatAt, aHealth.mNextLoadsAt });
  for (const BackendServerId& id : aHealth.mPolled) {
    const ServerHealth& server = aHealth.mByServer.at(id);
    if (!server.mPolling) {
      next = std::min(next, server.mNextPollAt);
    }
  }
  return next;
}

bool
PublishReports(HealthState& aHealth, Instant aNow)
{
  const bool loadsDue = aHealth.mLoadChanged && HasPassed(aHealth.mNextPublishAt, aNow);
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
  aHealth.mPublished = std::move(reports);
  aHealth.mNotUp = std::move(notUp);
  aHealth.mStateChanged = false;
  aHealth.mLoadChanged = false;
  aHealth.mNextPublishAt = aNow + kPublishLoadsEvery;
  return true;
}

} // namespace trefoil
