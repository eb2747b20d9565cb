#include "trefoil/rollout/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace trefoil {
namespace {

// Bucket i ends at this factor to the power of i, in milliseconds.
constexpr double kBucketFactor = 1.22;

std::size_t
BucketOf(double aMilliseconds)
{
  if (aMilliseconds < 1) {
    return 0;
  }
  const double bucket = std::floor(std::log(aMilliseconds) / std::log(kBucketFactor)) + 1;
  return std::min(static_cast<std::size_t>(bucket), kLatencyBuckets - 1);
}

} // namespace

void
Add(LatencyHistogram& aHistogram, double aMilliseconds)
{
  ++aHistogram.mCounts[BucketOf(aMilliseconds)];
}

void
Add(LatencyHistogram& aHistogram, const LatencyHistogram& aOther)
{
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    aHistogram.mCounts[i] += aOther.mCounts[i];
  }
}

std::uint64_t
Total(const LatencyHistogram& aHistogram)
{
  return std::accumulate(aHistogram.mCounts.begin(), aHistogram.mCounts.end(), std::uint64_t{ 0 });
}

double
Quantile(const LatencyHistogram& aHistogram, double aShare)
{
  const double wanted = aShare * static_cast<double>(Total(aHistogram));
  double below = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    below += aHistogram.mCounts[i];
    if (below > 0 && below >= wanted) {
      return std::pow(kBucketFactor, static_cast<double>(i));
    }
  }
  return 0;
}

} // namespace trefoil
