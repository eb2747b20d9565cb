#include "trefoil/dispatch/zone_choice.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// Weight of the latest answer in the means, in which about the last twenty answers count.
constexpr double kAnswerWeight = 0.05;
// A mean without a newer answer is not used. Servers that were full can be idle by then.
constexpr Milliseconds kMaxAge{ 3'000 };
// How fast the share grows and falls. Growing takes longer than the means need to show what the
// requests that have left do to the other zones.
constexpr double kGrowthPerSecond = 0.25;
constexpr double kFallPerSecond = 0.5;
// While the own zone is better, the best time is raised towards its mean at this rate, so that it
// follows a service that has become slower everywhere.
constexpr double kBestRecovery = 0.002;
constexpr double kMsPerSecond = 1'000;

bool
IsKnown(const MeanAnswerTime& aMean, Instant aNow)
{
  return aMean.mObservedAt != Instant{} && aNow - aMean.mObservedAt <= kMaxAge;
}

void
Observe(MeanAnswerTime& aMean, double aMs, Instant aNow)
{
  aMean.mMs = IsKnown(aMean, aNow) ? aMean.mMs + kAnswerWeight * (aMs - aMean.mMs) : aMs;
  aMean.mObservedAt = aNow;
}

} // namespace

void
RecordZoneTime(ZoneChoice& aChoice, const ZoneTime& aTime, Instant aNow)
{
  const double ms = static_cast<double>(aTime.mTime.count());
  if (!aTime.mIsOwnZone) {
    Observe(aChoice.mOtherZones, ms, aNow);
    return;
  }
  const bool isFirst = aChoice.mOwnZone.mObservedAt == Instant{};
  Observe(aChoice.mOwnZone, ms, aNow);
  const double mean = aChoice.mOwnZone.mMs;
  aChoice.mBestMs = isFirst || mean < aChoice.mBestMs
                      ? mean
                      : aChoice.mBestMs + kBestRecovery * (mean - aChoice.mBestMs);
}

double
LeavingShare(ZoneChoice& aChoice, const ZoneChoiceParameters& aParameters, Instant aNow)
{
  const Instant before = std::exchange(aChoice.mShareAt, aNow);
  if (before == Instant{}) {
    return aChoice.mShare;
  }
  const double seconds = std::min(1.0, std::chrono::duration<double>(aNow - before).count());
  const double elsewhere =
    IsKnown(aChoice.mOtherZones, aNow) ? aChoice.mOtherZones.mMs : aChoice.mBestMs;
  const bool pays =
    IsKnown(aChoice.mOwnZone, aNow) &&
    aChoice.mOwnZone.mMs > elsewhere + static_cast<double>(aParameters.mCrossingCost.count());
  aChoice.mShare =
    std::clamp(aChoice.mShare + seconds * (pays ? kGrowthPerSecond : -kFallPerSecond), 0.0, 1.0);
  return aChoice.mShare;
}

bool
IsServedAlike(std::int64_t aSharedTokens,
              double aPrefillRate,
              const ZoneChoiceParameters& aParameters)
{
  return static_cast<double>(aSharedTokens) * kMsPerSecond <=
         aPrefillRate * static_cast<double>(aParameters.mCrossingCost.count());
}

} // namespace trefoil
