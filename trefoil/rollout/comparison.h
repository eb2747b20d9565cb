// Statistical tests of one version against the others inside strata of the same kind.
//
//   TestResult errors = CompareCounts(strata);
//   if (errors.mPValue < 1e-6 && errors.mEffect > 0.005) { ... the version has more errors ... }
//
// Errors: the Cochran-Mantel-Haenszel test, with a Poisson tail where few errors are expected.
// Latency: van Elteren's test, the rank sum test over strata. All are one-sided: small p-values say
// that the new version is worse. Pure functions.
#pragma once

#include "trefoil/rollout/evidence.h"

#include <cstdint>
#include <vector>

namespace trefoil {

struct TestResult
{
  // The chance of such a difference, or a larger one, between equal versions.
  double mPValue = 1;
  // Errors: the difference of the rates. Latency: the chance that a request of the new version is
  // slower than one of the old, less a half.
  double mEffect = 0;
};

// Counts of one stratum.
struct CountPair
{
  std::uint64_t mNewTotal = 0;
  std::uint64_t mNewBad = 0;
  std::uint64_t mOldTotal = 0;
  std::uint64_t mOldBad = 0;
};

struct HistogramPair
{
  const LatencyHistogram* mNew = nullptr;
  LatencyHistogram mOld;
};

TestResult
CompareCounts(const std::vector<CountPair>& aStrata);

TestResult
CompareLatencies(const std::vector<HistogramPair>& aStrata);

} // namespace trefoil
