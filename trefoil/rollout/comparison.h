// Statistical tests that compare a new version with the old versions over several strata.
//
//   TestResult errors = CompareCounts(strata);
//   if (errors.mPValue < 1e-6 && errors.mEffect > 0.005) { ... the new version has more errors ...
//   }
//
// Errors are compared by the Cochran-Mantel-Haenszel test, or by a Poisson tail where few
// errors are expected. Latencies are compared by van Elteren's test, a stratified rank sum
// test. All tests are one-sided: a small p-value means that the new version is worse. Pure
// functions.
#pragma once

#include "trefoil/rollout/evidence.h"

#include <cstdint>
#include <vector>

namespace trefoil {

struct TestResult
{
  // The probability of a difference at least this large between equal versions.
  double mPValue = 1;
  // Counts: the difference of the failure rates, new minus old. Latencies: the probability that
  // a request of the new version is slower than one of an old version, minus 0.5.
  double mEffect = 0;
};

// The requests or servers of one stratum, and how many of them failed.
struct CountPair
{
  std::uint64_t mNewTotal = 0;
  std::uint64_t mNewFailures = 0;
  std::uint64_t mOldTotal = 0;
  std::uint64_t mOldFailures = 0;
};

// Latency histograms of one stratum. mNew must remain valid during the comparison.
struct HistogramPair
{
  const LatencyHistogram* mNew = nullptr;
  LatencyHistogram mOld;
};

// Compares the failure counts. Strata that lack one of the two sides are skipped. Returns p-value 1
// and effect 0 if no stratum remains.
TestResult
CompareCounts(const std::vector<CountPair>& aStrata);

// Compares the latencies. Strata that lack one of the two sides are skipped. Returns p-value 1
// and effect 0 if fewer than 12 samples of the new version remain.
TestResult
CompareLatencies(const std::vector<HistogramPair>& aStrata);

} // namespace trefoil
