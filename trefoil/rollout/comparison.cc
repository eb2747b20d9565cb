#include "trefoil/rollout/comparison.h"

#include <cmath>

namespace trefoil {
namespace {

// Below this variance a normal distribution does not approximate the failure count.
constexpr double kMinNormalVariance = 5;
// With fewer requests of the new version, the rank sum is far from normally distributed.
constexpr std::uint64_t kMinLatencySamples = 12;

double
NormalTail(double aZ)
{
  return 0.5 * std::erfc(aZ / std::sqrt(2.0));
}

// Returns the probability of `aCount` or more events where `aMean` events are expected.
double
PoissonTail(std::uint64_t aCount, double aMean)
{
  double term = std::exp(-aMean);
  for (std::uint64_t i = 0; i < aCount; ++i) {
    term *= aMean / static_cast<double>(i + 1);
  }
  // The tail is summed directly because 1 minus the head of the series loses small
  // probabilities.
  double tail = 0;
  for (std::uint64_t i = aCount; term > tail * 1e-12 && i < aCount + 1000; ++i) {
    tail += term;
    term *= aMean / static_cast<double>(i + 1);
  }
  return aCount == 0 ? 1 : std::min(tail, 1.0);
}

double
Fraction(double aFailures, double aTotal)
{
  return aTotal > 0 ? aFailures / aTotal : 0;
}

// The Mann-Whitney rank sum of one stratum.
struct RankSum
{
  double mMannWhitneyU = 0;
  double mPairs = 0;
  double mVariance = 0;
  double mSampleCount = 0;
};

RankSum
RankSumOf(const HistogramPair& aPair)
{
  RankSum sum;
  double newTotal = 0;
  double oldCumulative = 0;
  double ties = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    const double newCount = aPair.mNew->mCounts[i];
    const double oldCount = aPair.mOld.mCounts[i];
    const double bucketCount = newCount + oldCount;
    sum.mMannWhitneyU += newCount * (oldCumulative + oldCount / 2);
    ties += bucketCount * bucketCount * bucketCount - bucketCount;
    oldCumulative += oldCount;
    newTotal += newCount;
  }
  sum.mSampleCount = newTotal + oldCumulative;
  sum.mPairs = newTotal * oldCumulative;
  if (sum.mPairs > 0) {
    sum.mVariance =
      sum.mPairs / 12 * (sum.mSampleCount + 1 - ties / (sum.mSampleCount * (sum.mSampleCount - 1)));
  }
  return sum;
}

} // namespace

TestResult
CompareCounts(const std::vector<CountPair>& aStrata)
{
  double expected = 0;
  double variance = 0;
  double weightedDifference = 0;
  double totalWeight = 0;
  std::uint64_t newFailures = 0;
  for (const CountPair& pair : aStrata) {
    const auto newTotal = static_cast<double>(pair.mNewTotal);
    const auto oldTotal = static_cast<double>(pair.mOldTotal);
    if (pair.mNewTotal == 0 || pair.mOldTotal == 0) {
      continue;
    }
    const double total = newTotal + oldTotal;
    const auto failures = static_cast<double>(pair.mNewFailures + pair.mOldFailures);
    newFailures += pair.mNewFailures;
    expected += newTotal * failures / total;
    variance += newTotal * oldTotal * failures * (total - failures) / (total * total * (total - 1));
    const double weight = newTotal * oldTotal / total;
    weightedDifference += weight * (Fraction(static_cast<double>(pair.mNewFailures), newTotal) -
                                    Fraction(static_cast<double>(pair.mOldFailures), oldTotal));
    totalWeight += weight;
  }
  if (totalWeight == 0) {
    return {};
  }
  const double z =
    variance > 0 ? (static_cast<double>(newFailures) - expected - 0.5) / std::sqrt(variance) : 0;
  const double pValue =
    variance >= kMinNormalVariance ? NormalTail(z) : PoissonTail(newFailures, expected);
  return { .mPValue = pValue, .mEffect = weightedDifference / totalWeight };
}

TestResult
CompareLatencies(const std::vector<HistogramPair>& aStrata)
{
  double difference = 0;
  double variance = 0;
  double weightedU = 0;
  double weightedPairs = 0;
  std::uint64_t samples = 0;
  for (const HistogramPair& pair : aStrata) {
    const RankSum sum = RankSumOf(pair);
    if (sum.mPairs == 0) {
      continue;
    }
    samples += SampleCount(*pair.mNew);
    const double weight = 1 / (sum.mSampleCount + 1);
    difference += weight * (sum.mMannWhitneyU - sum.mPairs / 2);
    variance += weight * weight * sum.mVariance;
    weightedU += weight * sum.mMannWhitneyU;
    weightedPairs += weight * sum.mPairs;
  }
  if (variance <= 0 || samples < kMinLatencySamples) {
    return {};
  }
  return { .mPValue = NormalTail(difference / std::sqrt(variance)),
           .mEffect = weightedU / weightedPairs - 0.5 };
}

} // namespace trefoil
