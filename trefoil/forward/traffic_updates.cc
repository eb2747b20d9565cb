#include "trefoil/forward/traffic_updates.h"

#include "trefoil/forward/warm_up_limits.h"

#include <utility>

namespace trefoil {
namespace {

void
AddPeerQuotaUse(TrafficState& aState, const PeerUpdate& aUpdate, Instant aNow)
{
  if (!aState.mView || !aState.mView->mCatalogue) {
    return;
  }
  const auto costOf = [](const std::map<ClientAccountId, double>& aCosts,
                         const ClientAccountId& aAccount) {
    const auto cost = aCosts.find(aAccount);
    return cost == aCosts.end() ? 0.0 : cost->second;
  };
  const QuotaParameters parameters = QuotaParametersNow(aState);
  for (const ClientAccount& account : AccountsOf(aState.mView->mCatalogue->mCatalogue)) {
    const QuotaCosts costs{ .mUsed = costOf(aUpdate.mQuotaUsed, account.mName),
                            .mAsked = costOf(aUpdate.mQuotaAsked, account.mName) };
    if (costs.mUsed > 0 || costs.mAsked > 0) {
      AddPeerUsage(aState.mQuotas, account, costs, parameters, aNow);
    }
  }
}

// Forgets what the servers of a new view have outdated.
void
UpdateServerStatuses(TrafficState& aState)
{
  if (!aState.mView->mServers) {
    return;
  }
  for (const auto& [id, server] : aState.mView->mServers->mServers) {
    const auto status = aState.mServerStatuses.find(id);
    if (status != aState.mServerStatuses.end()) {
      StartLimitIncarnation(status->second.mLimit, server.mIncarnation);
    }
  }
  std::erase_if(aState.mServerStatuses, [&aState](const auto& aItem) {
    return aItem.second.mInFlight == 0 && !aState.mView->mServers->mServers.contains(aItem.first);
  });
}

} // namespace

void
ApplyView(TrafficState& aState, std::shared_ptr<const TrafficView> aView)
{
  const bool sameServers = aState.mView && aState.mView->mServers == aView->mServers;
  const bool sameHosts = aState.mView && aState.mView->mHostList == aView->mHostList;
  std::map<ServiceId, std::vector<const RegisteredServer*>> servers;
  if (!sameServers && aView->mServers) {
    for (const auto& [id, server] : aView->mServers->mServers) {
      servers[server.mService].push_back(&server);
    }
  }
  // Nothing below throws before the servers are replaced, so that a view is in use as a whole or
  // not at all: a later one with the same servers does not bring them back.
  aState.mView = std::move(aView);
  if (!sameHosts) {
    for (auto& [server, status] : aState.mServerStatuses) {
      status.mLimit.mRank.reset();
    }
  }
  if (!sameServers) {
    aState.mServers.swap(servers);
    UpdateServerStatuses(aState);
  }
  ApplyRegisteredWarmUps(aState);
}

void
ApplyPeerUpdate(TrafficState& aState, const PeerUpdate& aUpdate)
{
  const Instant now = SuspendAwareNow();
  for (const auto& [account, snapshot] : aUpdate.mQuotaSnapshots) {
    RestoreQuota(aState.mQuotas, account, snapshot, now);
  }
  AddPeerQuotaUse(aState, aUpdate, now);
  for (const BackendServerId& server : aUpdate.mBroken) {
    aState.mServerStatuses.try_emplace(server);
  }
  for (auto& [server, status] : aState.mServerStatuses) {
    status.mReportedBroken = aUpdate.mBroken.contains(server);
  }
}

void
ApplyDispatches(TrafficState& aState, const std::vector<DispatchReport>& aDispatches)
{
  const Instant now = SuspendAwareNow();
  if (!aState.mView || !aState.mView->mServers) {
    return;
  }
  for (const DispatchReport& dispatch : aDispatches) {
    const auto server = aState.mView->mServers->mServers.find(dispatch.mServer);
    if (server == aState.mView->mServers->mServers.end()) {
      // The server is not in the registry (yet); the report is ignored.
      continue;
    }
    const double rate = TokensPerSecond(aState.mPrefillRates[server->second.mService]);
    AddToBacklog(aState.mServerStatuses[dispatch.mServer].mBacklog, dispatch.mTokens, rate, now);
    if (!dispatch.mCacheKey.empty()) {
      RecordCacheHint(aState.mCacheHints, dispatch.mCacheKey, dispatch.mServer, now);
    }
  }
}

void
ApplyLimits(TrafficState& aState, const std::vector<LimitReport>& aLimits)
{
  if (!aState.mView || !aState.mView->mServers) {
    return;
  }
  const Instant now = SuspendAwareNow();
  for (const LimitReport& report : aLimits) {
    const auto server = aState.mView->mServers->mServers.find(report.mServer);
    if (server != aState.mView->mServers->mServers.end() &&
        server->second.mIncarnation == report.mIncarnation) {
      MergeLimit(aState.mServerStatuses[report.mServer].mLimit,
                 report,
                 std::generate_canonical<double, 32>(aState.mRandom),
                 now);
    }
  }
}

void
ApplyRejections(TrafficState& aState, const std::vector<RejectionReport>& aReports)
{
  if (!aState.mView || !aState.mView->mServers) {
    return;
  }
  const Instant now = SuspendAwareNow();
  for (const RejectionReport& report : aReports) {
    const auto server = aState.mView->mServers->mServers.find(report.mServer);
    if (server != aState.mView->mServers->mServers.end() &&
        server->second.mIncarnation == report.mIncarnation) {
      ServerStatus& status = aState.mServerStatuses[report.mServer];
      RecordRejection(status.mBrittle, report, server->second.mSlots, now);
    }
  }
}

void
ApplyServerEvents(TrafficState& aState, const std::map<BackendServerId, EventTotals>& aEvents)
{
  if (!aState.mView || !aState.mView->mServers) {
    return;
  }
  const Instant now = SuspendAwareNow();
  for (const auto& [server, events] : aEvents) {
    if (aState.mView->mServers->mServers.contains(server)) {
      RecordEvents(aState.mServerStatuses[server].mSpeed, events, now);
    }
  }
}

} // namespace trefoil
