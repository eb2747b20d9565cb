// A histogram of latencies whose bucket bounds grow by a constant factor.
//
//   LatencyHistogram histogram;
//   RecordLatency(histogram, 130.0);
//   double p90 = Quantile(histogram, 0.9);
//
// Plain data and pure functions. Histograms can be merged.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace trefoil {

inline constexpr std::size_t kLatencyBuckets = 48;

struct LatencyHistogram
{
  // Bucket 0 counts latencies below 1 ms; the last bucket counts all latencies beyond the
  // others.
  std::array<std::uint32_t, kLatencyBuckets> mCounts{};

  // Encodes only the buckets that are not empty.
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

  // Ignores buckets whose index is out of range.
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
RecordLatency(LatencyHistogram& aHistogram, double aMilliseconds);

void
Merge(LatencyHistogram& aHistogram, const LatencyHistogram& aOther);

std::uint64_t
SampleCount(const LatencyHistogram& aHistogram);

// Returns the upper bound, in milliseconds, of the bucket that contains the quantile; 0 if the
// histogram is empty.
double
Quantile(const LatencyHistogram& aHistogram, double aQuantile);

} // namespace trefoil
