#include "trefoil/admission/peak_budget.h"

#include <cmath>

namespace trefoil {
namespace {

constexpr double kSecondsPerMinute = 60;
// Time constant of the decaying rate of this host's own work.
constexpr double kDecaySeconds = 15;
// Maximum unused headroom that a host accumulates, in seconds of its grant.
constexpr double kMaxSavedSeconds = 5;
constexpr Milliseconds kMaxHeadroomWait{ 1000 };
constexpr Milliseconds kDemandLifetime{ 60'000 };

} // namespace

void
RecordUndeferred(PeakBudget& aBudget, double aWork, Instant aNow)
{
  aBudget.mOwnPerMinute = OwnDemand(aBudget, aNow) + aWork * kSecondsPerMinute / kDecaySeconds;
  aBudget.mOwnUpdatedAt = aNow;
}

double
OwnDemand(const PeakBudget& aBudget, Instant aNow)
{
  const double seconds =
    std::max(0.0, std::chrono::duration<double>(aNow - aBudget.mOwnUpdatedAt).count());
  return aBudget.mOwnPerMinute * std::exp(-seconds / kDecaySeconds);
}

void
ApplyDemand(PeakBudget& aBudget, const HostDemand& aDemand, Instant aNow)
{
  HostDemand& latest = aBudget.mPeers[aDemand.mHost];
  const auto orderOf = [](const HostDemand& aItem) {
    return std::pair{ aItem.mIncarnation, aItem.mSequence };
  };
  if (latest.mHost.Empty() || orderOf(latest) < orderOf(aDemand)) {
    latest = aDemand;
    latest.mReportExpiresAt = aNow + kDemandLifetime;
  }
}

void
RemoveExpiredDemands(PeakBudget& aBudget, Instant aNow)
{
  std::erase_if(aBudget.mPeers, [aNow](const auto& aEntry) {
    return HasPassed(aEntry.second.mReportExpiresAt, aNow);
  });
}

void
RefreshHeadroom(PeakBudget& aBudget, double aShare, Instant aNow)
{
  Refill(aBudget.mHeadroom,
         { .mPerSecond = aBudget.mGrantedPerSecond,
           .mMax = aBudget.mGrantedPerSecond * kMaxSavedSeconds },
         aNow);
  double undeferred = OwnDemand(aBudget, aNow);
  for (const auto& [host, demand] : aBudget.mPeers) {
    undeferred += demand.mUndeferredPerMinute;
  }
  aBudget.mGrantedPerSecond =
    std::max(0.0, aBudget.mWorkPerMinute - undeferred) * aShare / kSecondsPerMinute;
}

bool
HasHeadroom(const PeakBudget& aBudget)
{
  return aBudget.mWorkPerMinute <= 0 || aBudget.mHeadroom.mTokens > 0;
}

void
ConsumeHeadroom(PeakBudget& aBudget, double aWork)
{
  aBudget.mHeadroom.mTokens -= aWork;
}

Instant
NextHeadroomAt(const PeakBudget& aBudget, Instant aNow)
{
  return aNow +
         TimeUntilRefilled(aBudget.mHeadroom, 0, aBudget.mGrantedPerSecond, kMaxHeadroomWait);
}

} // namespace trefoil
