#include "trefoil/forward/warm_up_limits.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// Hosts that start together are in each other's lists after this time: a host reads its list again
// 2.5 s after the first time.
constexpr Milliseconds kListSettleTime{ 4'000 };

const CatalogueService*
FindService(const TrafficState& aState, const ServiceId& aService)
{
  if (!aState.mView || !aState.mView->mCatalogue) {
    return nullptr;
  }
  const auto& services = aState.mView->mCatalogue->mCatalogue.mServices;
  const auto service = services.find(aService);
  return service == services.end() ? nullptr : &service->second;
}

double
PerSecondOf(const TrafficState& aState, const ServiceId& aService)
{
  const CatalogueService* service = FindService(aState, aService);
  return service == nullptr ? 0 : service->mWarmUpPerSecond;
}

// Sets the part of a limited server that this host may use from `aNow` on. It has none before it
// knows the other hosts.
void
UpdatePart(TrafficState& aState, const RegisteredServer& aServer, Instant aNow)
{
  ServerStatus& status = aState.mServerStatuses[aServer.mId];
  RefillRate part;
  if (aState.mView->mHostList) {
    part = PartOfWarmUpLimit(
      PerSecondOf(aState, aServer.mService),
      { .mRank = RankForServer(aState, aServer.mId, status.mLimit),
        .mHosts = aState.mView->mHostList->size(),
        .mIsSettled = aNow - aState.mHostsListedSince.value_or(aNow) >= kListSettleTime });
  }
  SetPart(status.mWarmUp, part, aNow);
}

void
LogWarmUp(TrafficState& aState, const RegisteredServer& aServer, Instant aNow)
{
  WarmUp& warmUp = aState.mServerStatuses[aServer.mId].mWarmUp;
  warmUp.mIsLogged = true;
  aState.mLog.Write(LogSeverity::kNotable,
                    LogEvent::kServerWarmUp,
                    "server={} service={} state=cold ms={} per_second={:.3f} own_per_second={:.3f}",
                    aServer.mId.Value(),
                    aServer.mService.Value(),
                    Remaining(WarmAt(warmUp), aNow).count(),
                    PerSecondOf(aState, aServer.mService),
                    warmUp.mPart.mPerSecond);
}

} // namespace

void
ApplyRegisteredWarmUps(TrafficState& aState)
{
  const Instant now = SuspendAwareNow();
  if (aState.mView->mHostList && !aState.mHostsListedSince.has_value()) {
    aState.mHostsListedSince = now;
  }
  for (const auto& [service, servers] : aState.mServers) {
    const CatalogueService* limits = FindService(aState, service);
    for (const RegisteredServer* server : servers) {
      WarmUp& warmUp = aState.mServerStatuses[server->mId].mWarmUp;
      ObserveRegistration(
        warmUp, *server, limits == nullptr ? Milliseconds{ 0 } : limits->mWarmUpTime, now);
      if (!IsLimitedByWarmUp(aState, *server, now)) {
        continue;
      }
      UpdatePart(aState, *server, now);
      if (!warmUp.mIsLogged) {
        LogWarmUp(aState, *server, now);
      }
    }
  }
}

void
ApplyWarmUpOfHealth(TrafficState& aState, const RegisteredServer& aServer, Milliseconds aRemaining)
{
  const Instant now = SuspendAwareNow();
  WarmUp& warmUp = aState.mServerStatuses[aServer.mId].mWarmUp;
  ObserveHealth(warmUp, aRemaining, now);
  if (!warmUp.mIsLogged && IsLimitedByWarmUp(aState, aServer, now)) {
    UpdatePart(aState, aServer, now);
    LogWarmUp(aState, aServer, now);
  }
}

bool
IsLimitedByWarmUp(const TrafficState& aState, const RegisteredServer& aServer, Instant aNow)
{
  const auto status = aState.mServerStatuses.find(aServer.mId);
  return status != aState.mServerStatuses.end() && IsWarmingUp(status->second.mWarmUp, aNow) &&
         PerSecondOf(aState, aServer.mService) > 0;
}

PermitSum
WarmUpPermits(TrafficState& aState, const RegisteredServer& aServer, Instant aNow)
{
  UpdatePart(aState, aServer, aNow);
  const WarmUp& warmUp = aState.mServerStatuses[aServer.mId].mWarmUp;
  PermitSum permits = PermitsOf(warmUp.mBucket, warmUp.mPart);
  const Milliseconds warmIn = Remaining(WarmAt(warmUp), aNow);
  permits.mNextIn = std::min(permits.mNextIn.value_or(warmIn), warmIn);
  return permits;
}

bool
TakeWarmUpPermit(TrafficState& aState, const RegisteredServer& aServer, Instant aNow)
{
  UpdatePart(aState, aServer, aNow);
  WarmUp& warmUp = aState.mServerStatuses[aServer.mId].mWarmUp;
  if (!HasPermit(warmUp, aNow)) {
    aState.mMetrics.Add(Counter::kWarmUpPermitsRefused, 1);
    return false;
  }
  UsePermit(warmUp);
  return true;
}

void
LogEndedWarmUps(TrafficState& aState, Instant aNow)
{
  for (auto& [server, status] : aState.mServerStatuses) {
    if (status.mWarmUp.mIsLogged && !IsWarmingUp(status.mWarmUp, aNow)) {
      status.mWarmUp.mIsLogged = false;
      aState.mLog.Write(
        LogSeverity::kNotable, LogEvent::kServerWarmUp, "server={} state=warm", server.Value());
    }
  }
}

} // namespace trefoil
