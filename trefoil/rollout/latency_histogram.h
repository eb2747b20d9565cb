// Counts of latencies in buckets that grow by a constant factor.
//
//   LatencyHistogram histogram;
//   Add(histogram, 130.0);
//   double p90 = Quantile(histogram, 0.9);
//
// Plain data and pure functions; copies may be added up.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace trefoil {

inline constexpr std::size_t kLatencyBuckets = 48;

struct LatencyHistogram
{
  // Bucket 0 holds what is below a millisecond, the last one all that is too long for the others.
  std::array<std::uint32_t, kLatencyBuckets> mCounts{};

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    for (std::uint32_t& count : mCounts) {
      aArchive(count);
    }
  }
};

void
Add(LatencyHistogram& aHistogram, double aMilliseconds);

void
Add(LatencyHistogram& aHistogram, const LatencyHistogram& aOther);

std::uint64_t
Total(const LatencyHistogram& aHistogram);

// Returns the upper edge in milliseconds of the bucket that holds the quantile, 0 if it is empty.
double
Quantile(const LatencyHistogram& aHistogram, double aShare);

} // namespace trefoil
