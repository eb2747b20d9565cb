#include "bench/policy_load.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace trefoil::bench {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kRoundMs = 5 * kMsPerMinute;
constexpr std::size_t kAccounts = 5;
constexpr double kPromptTokenWork = 0.08;

// A stream of requests of one kind.
struct Traffic
{
  bool mLong = false;
  double mPerSecond = 0;
  // Rate at the start of each round, for so long.
  double mBurstPerSecond = 0;
  double mBurstMs = 0;
  std::uint64_t mFirstDocument = 0;
  std::uint64_t mDocuments = 1;
  std::int64_t mDocumentTokens = 0;
  std::int64_t mQuestionTokens = 0;
  std::int64_t mOutputTokens = 0;
  double mUntilDeadlineMs = 0;
};

std::vector<Traffic>
TrafficOf(LoadKind aKind)
{
  if (aKind == LoadKind::kMoreton) {
    return { { .mPerSecond = 4,
               .mBurstPerSecond = 60,
               .mBurstMs = 30'000,
               .mFirstDocument = 1,
               .mDocuments = 40,
               .mDocumentTokens = 1536,
               .mQuestionTokens = 80,
               .mOutputTokens = 60,
               .mUntilDeadlineMs = 20'000 },
             { .mLong = true,
               .mPerSecond = 0.7,
               .mBurstPerSecond = 4,
               .mBurstMs = 60'000,
               .mFirstDocument = 1000,
               .mDocuments = 40,
               .mDocumentTokens = 8192,
               .mQuestionTokens = 300,
               .mOutputTokens = 500,
               .mUntilDeadlineMs = 240'000 } };
  }
  return { { .mPerSecond = 5,
             .mBurstPerSecond = 10,
             .mBurstMs = 60'000,
             .mFirstDocument = 1,
             .mDocuments = 10,
             .mDocumentTokens = 384,
             .mQuestionTokens = 60,
             .mOutputTokens = 60,
             .mUntilDeadlineMs = 20'000 },
           { .mLong = true,
             .mPerSecond = 2.5,
             .mBurstPerSecond = 7,
             .mBurstMs = 90'000,
             .mFirstDocument = 1000,
             .mDocuments = 150,
             .mDocumentTokens = 6144,
             .mQuestionTokens = 400,
             .mOutputTokens = 600,
             .mUntilDeadlineMs = 300'000 } };
}

void
AddTraffic(const Traffic& aTraffic, std::mt19937_64& aRandom, std::vector<ModelRequest>& aLoad)
{
  std::uniform_int_distribution<std::uint64_t> document{ 0, aTraffic.mDocuments - 1 };
  // The first accounts are large.
  std::discrete_distribution<std::size_t> account{ 10, 6, 2, 1, 1 };
  double at = 0;
  while (true) {
    const bool burst = std::fmod(at, kRoundMs) < aTraffic.mBurstMs;
    const double rate = burst ? aTraffic.mBurstPerSecond : aTraffic.mPerSecond;
    at += std::exponential_distribution{ rate / kMsPerSecond }(aRandom);
    if (at >= kLoadMinutes * kMsPerMinute) {
      return;
    }
    std::uniform_real_distribution<double> spread{ 0.5, 1.5 };
    aLoad.push_back({ .mArrivalMs = at,
                      .mLong = aTraffic.mLong,
                      .mDocument = aTraffic.mFirstDocument + document(aRandom),
                      .mDocumentTokens = aTraffic.mDocumentTokens,
                      .mPromptTokens = aTraffic.mDocumentTokens + aTraffic.mQuestionTokens,
                      .mOutputTokens = 1 + static_cast<std::int64_t>(
                                             spread(aRandom) * double(aTraffic.mOutputTokens)),
                      .mDeadlineMs = at + aTraffic.mUntilDeadlineMs,
                      .mAccount = account(aRandom) % kAccounts });
  }
}

} // namespace

std::vector<ModelRequest>
MakeLoad(LoadKind aKind, std::uint64_t aSeed)
{
  std::mt19937_64 random{ aSeed };
  std::vector<ModelRequest> load;
  for (const Traffic& traffic : TrafficOf(aKind)) {
    AddTraffic(traffic, random, load);
  }
  std::ranges::sort(load, {}, &ModelRequest::mArrivalMs);
  for (std::size_t i = 0; i < load.size(); ++i) {
    load[i].mId = i;
  }
  return load;
}

double
ExpectedWork(const ModelRequest& aRequest)
{
  return static_cast<double>(aRequest.mPromptTokens) * kPromptTokenWork +
         static_cast<double>(aRequest.mOutputTokens);
}

} // namespace trefoil::bench
