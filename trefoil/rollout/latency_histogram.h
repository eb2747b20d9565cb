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

  // Only buckets that are not empty are encoded.
  template<typename Archive>
  void save(Archive& aArchive) const
  {
    std::uint8_t used = 0;
    for (const std::uint32_t count : mCounts) {
      used += count > 0 ? 1 : 0;
    }
    aArchive(used);
    for (std::uint8_t i = 0; i < kLatencyBuckets; ++i) {
      if (mCounts[i] > 0) {
        aArchive(i, mCounts[i]);
      }
    }
  }

  // Buckets that do not exist are dropped.
  template<typename Archive>
  void load(Archive& aArchive)
  {
    std::uint8_t used = 0;
    aArchive(used);
    for (std::uint8_t i = 0; i < used; ++i) {
      std::uint8_t bucket = 0;
      std::uint32_t count = 0;
      aArchive(bucket, count);
      if (bucket < kLatencyBuckets) {
        mCounts[bucket] = count;
      }
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
