#include "trefoil/admission/peak_budget.h"

#include <cmath>

namespace trefoil {
namespace {

constexpr double kSecondsPerMinute = 60;
// How fast the rate of this host's own work follows a change.
constexpr double kDecaySeconds = 15;
// The most seconds of its grant that a host saves up.
constexpr double kMaxSavedSeconds = 5;
constexpr Milliseconds kLongestWait{ 1000 };
constexpr Milliseconds kSilentAfter{ 60'000 };

} // namespace

void
NoteAdmitted(PeakBudget& aBudget, double aWork, Instant aNow)
{
  aBudget.mOwnPerMinute = OwnDemand(aBudget, aNow) + aWork * kSecondsPerMinute / kDecaySeconds;
  aBudget.mOwnAt = aNow;
}

double
OwnDemand(const PeakBudget& aBudget, Instant aNow)
{
  const double seconds =
    std::max(0.0, std::chrono::duration<double>(aNow - aBudget.mOwnAt).count());
  return aBudget.mOwnPerMinute * std::exp(-seconds / kDecaySeconds);
}

void
ApplyDemand(PeakBudget& aBudget, const HostDemand& aDemand, Instant aNow)
{
  HostDemand& known = aBudget.mPeers[aDemand.mHost];
  const auto ageOf = [](const HostDemand& aOf) {
    return std::pair{ aOf.mIncarnation, aOf.mSequence };
  };
  if (known.mHost.Empty() || ageOf(known) < ageOf(aDemand)) {
    known = aDemand;
    known.mSilentAt = aNow + kSilentAfter;
  }
}

void
ForgetSilent(PeakBudget& aBudget, Instant aNow)
{
  std::erase_if(aBudget.mPeers,
                [aNow](const auto& aEntry) { return HasPassed(aEntry.second.mSilentAt, aNow); });
}

void
Refresh(PeakBudget& aBudget, double aShare, Instant aNow)
{
  Refill(aBudget.mHeadroom,
         { .mPerSecond = aBudget.mGrantedPerSecond,
           .mMax = aBudget.mGrantedPerSecond * kMaxSavedSeconds },
         aNow);
  double urgent = OwnDemand(aBudget, aNow);
  for (const auto& [host, demand] : aBudget.mPeers) {
    urgent += demand.mUnheldPerMinute;
  }
  aBudget.mGrantedPerSecond =
    std::max(0.0, aBudget.mWorkPerMinute - urgent) * aShare / kSecondsPerMinute;
}

bool
HasHeadroom(const PeakBudget& aBudget)
{
  return aBudget.mWorkPerMinute <= 0 || aBudget.mHeadroom.mTokens > 0;
}

void
TakeHeadroom(PeakBudget& aBudget, double aWork)
{
  aBudget.mHeadroom.mTokens -= aWork;
}

Instant
HeadroomAt(const PeakBudget& aBudget, Instant aNow)
{
  return aNow + TimeUntil(aBudget.mHeadroom, 0, aBudget.mGrantedPerSecond, kLongestWait);
}

} // namespace trefoil
