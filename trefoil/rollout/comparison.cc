#include "trefoil/rollout/comparison.h"

#include <cmath>

namespace trefoil {
namespace {

// Below this variance the normal distribution is no fit for a count.
constexpr double kMinNormalVariance = 5;
// The rank sum of fewer requests is far from the normal distribution.
constexpr std::uint64_t kMinLatencies = 12;

double
NormalTail(double aZ)
{
  return 0.5 * std::erfc(aZ / std::sqrt(2.0));
}

// Returns the chance of `aCount` or more events where `aMean` are expected.
double
PoissonTail(std::uint64_t aCount, double aMean)
{
  double term = std::exp(-aMean);
  for (std::uint64_t i = 0; i < aCount; ++i) {
    term *= aMean / static_cast<double>(i + 1);
  }
  // The rest of the series is summed, not taken from one, which would lose small chances.
  double tail = 0;
  for (std::uint64_t i = aCount; term > tail * 1e-12 && i < aCount + 1000; ++i) {
    tail += term;
    term *= aMean / static_cast<double>(i + 1);
  }
  return aCount == 0 ? 1 : std::min(tail, 1.0);
}

double
RateOf(double aBad, double aTotal)
{
  return aTotal > 0 ? aBad / aTotal : 0;
}

// The rank sum of one stratum.
struct RankSum
{
  double mU = 0;
  double mPairs = 0;
  double mVariance = 0;
  double mSize = 0;
};

RankSum
RankSumOf(const HistogramPair& aPair)
{
  RankSum sum;
  double newTotal = 0;
  double oldBelow = 0;
  double ties = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    const double newHere = aPair.mNew->mCounts[i];
    const double oldHere = aPair.mOld.mCounts[i];
    const double here = newHere + oldHere;
    sum.mU += newHere * (oldBelow + oldHere / 2);
    ties += here * here * here - here;
    oldBelow += oldHere;
    newTotal += newHere;
  }
  sum.mSize = newTotal + oldBelow;
  sum.mPairs = newTotal * oldBelow;
  if (sum.mPairs > 0) {
    sum.mVariance = sum.mPairs / 12 * (sum.mSize + 1 - ties / (sum.mSize * (sum.mSize - 1)));
  }
  return sum;
}

} // namespace

TestResult
CompareCounts(const std::vector<CountPair>& aStrata)
{
  double expected = 0;
  double variance = 0;
  double weighted = 0;
  double weights = 0;
  std::uint64_t newBad = 0;
  for (const CountPair& pair : aStrata) {
    const auto newTotal = static_cast<double>(pair.mNewTotal);
    const auto oldTotal = static_cast<double>(pair.mOldTotal);
    if (pair.mNewTotal == 0 || pair.mOldTotal == 0) {
      continue;
    }
    const double total = newTotal + oldTotal;
    const auto bad = static_cast<double>(pair.mNewBad + pair.mOldBad);
    newBad += pair.mNewBad;
    expected += newTotal * bad / total;
    variance += newTotal * oldTotal * bad * (total - bad) / (total * total * (total - 1));
    const double weight = newTotal * oldTotal / total;
    weighted += weight * (RateOf(static_cast<double>(pair.mNewBad), newTotal) -
                          RateOf(static_cast<double>(pair.mOldBad), oldTotal));
    weights += weight;
  }
  if (weights == 0) {
    return {};
  }
  const double z =
    variance > 0 ? (static_cast<double>(newBad) - expected - 0.5) / std::sqrt(variance) : 0;
  const double chance =
    variance >= kMinNormalVariance ? NormalTail(z) : PoissonTail(newBad, expected);
  return { .mPValue = chance, .mEffect = weighted / weights };
}

TestResult
CompareLatencies(const std::vector<HistogramPair>& aStrata)
{
  double difference = 0;
  double variance = 0;
  double slower = 0;
  double pairs = 0;
  std::uint64_t samples = 0;
  for (const HistogramPair& pair : aStrata) {
    const RankSum sum = RankSumOf(pair);
    if (sum.mPairs == 0) {
      continue;
    }
    samples += Total(*pair.mNew);
    const double weight = 1 / (sum.mSize + 1);
    difference += weight * (sum.mU - sum.mPairs / 2);
    variance += weight * weight * sum.mVariance;
    slower += weight * sum.mU;
    pairs += weight * sum.mPairs;
  }
  if (variance <= 0 || samples < kMinLatencies) {
    return {};
  }
  return { .mPValue = NormalTail(difference / std::sqrt(variance)),
           .mEffect = slower / pairs - 0.5 };
}

} // namespace trefoil
