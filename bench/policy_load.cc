#include "bench/policy_load.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace trefoil::bench {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kRoundPeriodMs = 5 * kMsPerMinute;
constexpr std::size_t kAccounts = 5;
constexpr double kWorkPerPromptToken = 0.08;

// Parameters of the Poisson arrivals of one kind of request.
struct TrafficPattern
{
  bool mIsLong = false;
  double mBaseRequestsPerSecond = 0;
  // Rate during the first `mBurstDurationMs` of each round.
  double mBurstRequestsPerSecond = 0;
  double mBurstDurationMs = 0;
  std::uint64_t mFirstDocument = 0;
  std::uint64_t mDocumentCount = 1;
  std::int64_t mDocumentTokens = 0;
  std::int64_t mQuestionTokens = 0;
  std::int64_t mOutputTokens = 0;
  double mTimeoutMs = 0;
};

std::vector<TrafficPattern>
TrafficPatternsOf(LoadKind aKind)
{
  if (aKind == LoadKind::kShortBursts) {
    return { { .mBaseRequestsPerSecond = 4,
               .mBurstRequestsPerSecond = 60,
               .mBurstDurationMs = 30'000,
               .mFirstDocument = 1,
               .mDocumentCount = 40,
               .mDocumentTokens = 1536,
               .mQuestionTokens = 80,
               .mOutputTokens = 60,
               .mTimeoutMs = 20'000 },
             { .mIsLong = true,
               .mBaseRequestsPerSecond = 0.7,
               .mBurstRequestsPerSecond = 4,
               .mBurstDurationMs = 60'000,
               .mFirstDocument = 1000,
               .mDocumentCount = 40,
               .mDocumentTokens = 8192,
               .mQuestionTokens = 300,
               .mOutputTokens = 500,
               .mTimeoutMs = 240'000 } };
  }
  return { { .mBaseRequestsPerSecond = 5,
             .mBurstRequestsPerSecond = 10,
             .mBurstDurationMs = 60'000,
             .mFirstDocument = 1,
             .mDocumentCount = 10,
             .mDocumentTokens = 384,
             .mQuestionTokens = 60,
             .mOutputTokens = 60,
             .mTimeoutMs = 20'000 },
           { .mIsLong = true,
             .mBaseRequestsPerSecond = 2.5,
             .mBurstRequestsPerSecond = 7,
             .mBurstDurationMs = 90'000,
             .mFirstDocument = 1000,
             .mDocumentCount = 150,
             .mDocumentTokens = 6144,
             .mQuestionTokens = 400,
             .mOutputTokens = 600,
             .mTimeoutMs = 300'000 } };
}

void
AddRequests(const TrafficPattern& aPattern,
            std::mt19937_64& aRandom,
            std::vector<SimulatedRequest>& aLoad)
{
  std::uniform_int_distribution<std::uint64_t> document{ 0, aPattern.mDocumentCount - 1 };
  // Weights of the client accounts: the first two send most requests.
  std::discrete_distribution<std::size_t> account{ 10, 6, 2, 1, 1 };
  double arrivalMs = 0;
  while (true) {
    const bool inBurst = std::fmod(arrivalMs, kRoundPeriodMs) < aPattern.mBurstDurationMs;
    const double rate =
      inBurst ? aPattern.mBurstRequestsPerSecond : aPattern.mBaseRequestsPerSecond;
    arrivalMs += std::exponential_distribution{ rate / kMsPerSecond }(aRandom);
    if (arrivalMs >= kLoadMinutes * kMsPerMinute) {
      return;
    }
    std::uniform_real_distribution<double> lengthFactor{ 0.5, 1.5 };
    aLoad.push_back(
      { .mArrivalMs = arrivalMs,
        .mIsLong = aPattern.mIsLong,
        .mDocument = aPattern.mFirstDocument + document(aRandom),
        .mDocumentTokens = aPattern.mDocumentTokens,
        .mPromptTokens = aPattern.mDocumentTokens + aPattern.mQuestionTokens,
        .mOutputTokens =
          1 + static_cast<std::int64_t>(lengthFactor(aRandom) * double(aPattern.mOutputTokens)),
        .mDeadlineMs = arrivalMs + aPattern.mTimeoutMs,
        .mAccount = account(aRandom) % kAccounts });
  }
}

} // namespace

std::vector<SimulatedRequest>
MakeLoad(LoadKind aKind, std::uint64_t aSeed)
{
  std::mt19937_64 random{ aSeed };
  std::vector<SimulatedRequest> load;
  for (const TrafficPattern& pattern : TrafficPatternsOf(aKind)) {
    AddRequests(pattern, random, load);
  }
  std::ranges::sort(load, {}, &SimulatedRequest::mArrivalMs);
  for (std::size_t i = 0; i < load.size(); ++i) {
    load[i].mId = i;
  }
  return load;
}

double
ExpectedWork(const SimulatedRequest& aRequest)
{
  return static_cast<double>(aRequest.mPromptTokens) * kWorkPerPromptToken +
         static_cast<double>(aRequest.mOutputTokens);
}

} // namespace trefoil::bench
