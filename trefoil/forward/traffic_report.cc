#include "trefoil/forward/traffic_report.h"

#include "trefoil/forward/failure_blame.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// Usage windows that are retained. They cover more than the time within which usage must be
// reported.
constexpr std::size_t kMaxUsageWindows = 8;

void
UpdateGauges(const TrafficState& aState, Instant aNow)
{
  if (!aState.mView) {
    return;
  }
  const TrafficView& view = *aState.mView;
  Metrics& metrics = aState.mMetrics;
  metrics.Set(Gauge::kConfigurationAge,
              std::chrono::duration<double>(aNow - view.mConfirmedCurrentAt).count());
  metrics.Set(Gauge::kConfigurationVersion,
              view.mCatalogue ? static_cast<double>(view.mCatalogue->mCatalogue.mVersion) : 0);
  metrics.Set(Gauge::kServersAge,
              std::chrono::duration<double>(aNow - view.mServersConfirmedAt).count());
  metrics.Set(Gauge::kHosts, view.mHosts);
  metrics.Set(Gauge::kHostsReachable, view.mReachableHosts);
  metrics.Set(Gauge::kZonesEvacuated, static_cast<double>(view.mEvacuatedZones.size()));
  if (view.mServers) {
    metrics.Set(
      Gauge::kServersReady,
      static_cast<double>(std::ranges::count_if(view.mServers->mServers, [](const auto& aServer) {
        return aServer.second.mPhase == ServerPhase::kReady;
      })));
  }
}

// Counts the requests in flight as if their number had not changed since the last report. The error
// averages out, since reports are much more frequent than requests are long.
void
CountBusyTime(TrafficState& aState, Instant aNow)
{
  const Instant since = std::exchange(aState.mBusyCountedUntil, aNow);
  // Requests on links that are lost wait, but not at servers.
  if (since == Instant{} || !MayBlameServers(aState.mLinks, aNow)) {
    return;
  }
  const double elapsedMs = std::chrono::duration<double, std::milli>(aNow - since).count();
  for (const auto& [service, servers] : aState.mServers) {
    for (const RegisteredServer* server : servers) {
      const auto status = aState.mServerStatuses.find(server->mId);
      if (status != aState.mServerStatuses.end() && status->second.mInFlight > 0) {
        aState.mLoads[service].mBusyMs += status->second.mInFlight * elapsedMs;
      }
    }
  }
}

// Tells in the log and the metrics which lists of crashes were cut since the last call.
void
TellLeftOut(TrafficState& aState)
{
  const CrashTracker& tracker = aState.mCrashes;
  for (std::size_t i = 0; i < kCrashListNames.size(); ++i) {
    const std::uint64_t leftOut =
      tracker.mLeftOut[i] - std::exchange(aState.mLeftOutTold[i], tracker.mLeftOut[i]);
    if (leftOut == 0) {
      continue;
    }
    const std::string_view list = kCrashListNames[i].mName;
    aState.mMetrics.AddLabelled(LabelledCounter::kCrashListEntriesLeftOut, list, leftOut);
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kCrashListCut,
                      "list={} left_out={} crashes={} parts={} requests={} refusals={}",
                      list,
                      leftOut,
                      tracker.mCrashes.size(),
                      tracker.mPartListings.size(),
                      tracker.mRequestListings.size(),
                      tracker.mRefusals.size());
  }
}

} // namespace

TrafficReport
MakeReport(TrafficState& aState)
{
  const Instant now = SuspendAwareNow();
  UpdateGauges(aState, now);
  EndQuotaRound(aState.mQuotas, QuotaParametersNow(aState), now);
  CountBusyTime(aState, now);
  SettleBlame(aState);
  TrafficReport report{ .mUsage = aState.mUsage,
                        .mCrashes = EvidenceToReport(aState.mCrashes, now),
                        .mLoads = aState.mLoads,
                        .mOutcomes = aState.mOutcomes };
  CountLeftOutOfReport(aState.mCrashes, report.mCrashes);
  TellLeftOut(aState);
  for (const auto& [account, use] : aState.mQuotas.mAccounts) {
    report.mQuotaUsed[account] = { .mTotal = use.mOwnTotal, .mSnapshot = SnapshotOf(use) };
  }
  for (auto& [server, status] : aState.mServerStatuses) {
    if (IsBroken(status, now) && MayBlameServers(aState.mLinks, now)) {
      report.mBroken.push_back(server);
    }
    if (status.mOwnEvents.mEvents > 0) {
      report.mServerEvents[server] = status.mOwnEvents;
    }
    if (TakeReportDue(status.mLimit, now)) {
      report.mLimits.push_back(LimitReportOf(server, status.mLimit));
    }
  }
  while (aState.mUsage.size() > kMaxUsageWindows) {
    aState.mUsage.erase(aState.mUsage.begin());
  }
  return report;
}

} // namespace trefoil
