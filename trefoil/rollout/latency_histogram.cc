#include "trefoil/rollout/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace trefoil {
namespace {

// The upper bound of bucket i is this factor to the power of i, in milliseconds.
constexpr double kBucketFactor = 1.22;

std::size_t
BucketIndex(double aMilliseconds)
{
  if (aMilliseconds < 1) {
    return 0;
  }
  const double bucket = std::floor(std::log(aMilliseconds) / std::log(kBucketFactor)) + 1;
  return std::min(static_cast<std::size_t>(bucket), kLatencyBuckets - 1);
}

} // namespace

void
RecordLatency(LatencyHistogram& aHistogram, double aMilliseconds)
{
  ++aHistogram.mCounts[BucketIndex(aMilliseconds)];
}

void
Merge(LatencyHistogram& aHistogram, const LatencyHistogram& aOther)
{
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    aHistogram.mCounts[i] += aOther.mCounts[i];
  }
}

std::uint64_t
SampleCount(const LatencyHistogram& aHistogram)
{
  return std::accumulate(aHistogram.mCounts.begin(), aHistogram.mCounts.end(), std::uint64_t{ 0 });
}

double
Quantile(const LatencyHistogram& aHistogram, double aQuantile)
{
  const double targetCount = aQuantile * static_cast<double>(SampleCount(aHistogram));
  double cumulativeCount = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    cumulativeCount += aHistogram.mCounts[i];
    if (cumulativeCount > 0 && cumulativeCount >= targetCount) {
      return std::pow(kBucketFactor, static_cast<double>(i));
    }
  }
  return 0;
}

} // namespace trefoil
