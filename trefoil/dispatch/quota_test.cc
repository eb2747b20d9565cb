#include "trefoil/dispatch/quota.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace trefoil {
namespace {

constexpr Milliseconds kRoundInterval{ 250 };
constexpr int kRoundsPerSecond = 4;
constexpr int kHosts = 9;
constexpr double kCost = 17'000;
const Instant kStart{ std::chrono::hours{ 1 } };

ClientAccount
Account()
{
  return { .mName = ClientAccountId{ "club" },
           .mCountsTokens = true,
           .mDefaultTokens = 200,
           .mRatePerSecond = 200'000,
           .mBurst = 200'000 };
}

// Hosts that report the cost of their admitted requests to each other every kRoundInterval.
struct Hosts
{
  // Sends four requests to each host, ends the round and returns the total admitted cost.
  double RunRound(const ClientAccount& aAccount, Instant aNow)
  {
    std::vector<double> used(kHosts, 0);
    double all = 0;
    for (std::size_t host = 0; host < kHosts; ++host) {
      for (int request = 0; request < 4; ++request) {
        const double draw = std::generate_canonical<double, 32>(mRandom);
        if (ConsumeQuota(mStates[host],
                         aAccount,
                         kCost,
                         { .mReachableHosts = kHosts, .mRandomValue = draw },
                         aNow)) {
          used[host] += kCost;
          all += kCost;
        }
      }
    }
    for (std::size_t host = 0; host < kHosts; ++host) {
      for (std::size_t other = 0; other < kHosts; ++other) {
        if (other != host) {
          AddPeerUsage(mStates[host], aAccount.mName, used[other]);
        }
      }
      EndQuotaRound(mStates[host]);
    }
    return all;
  }

  std::mt19937 mRandom{ 20261204 };
  std::vector<QuotaState> mStates = std::vector<QuotaState>(kHosts);
};

SCENARIO("an account requests several times its quota at all hosts")
{
  const ClientAccount account = Account();
  Hosts hosts;
  std::vector<double> seconds;
  for (int second = 0; second < 12; ++second) {
    double used = 0;
    for (int round = 0; round < kRoundsPerSecond; ++round) {
      used += hosts.RunRound(account,
                             kStart + second * std::chrono::seconds{ 1 } + round * kRoundInterval);
    }
    seconds.push_back(used);
  }
  THEN("the hosts together stay within the quota")
  {
    for (std::size_t first = 0; first + 8 <= seconds.size(); ++first) {
      double window = 0;
      for (std::size_t second = first; second < first + 8; ++second) {
        window += seconds[second];
      }
      // The platform permits 10 % beyond the quota.
      CHECK(window <= 1.1 * (8 * account.mRatePerSecond + account.mBurst));
    }
  }
  THEN("the account receives its rate continuously instead of in one burst per window")
  {
    // One request at each host costs three quarters of the quota of one second, so the usage is
    // checked over two seconds.
    for (std::size_t second = 3; second < seconds.size(); ++second) {
      CHECK(seconds[second - 1] + seconds[second] >= 0.7 * 2 * account.mRatePerSecond);
    }
    double all = 0;
    for (const double used : seconds) {
      all += used;
    }
    CHECK(all >= 0.85 * (12 * account.mRatePerSecond + account.mBurst));
  }
}

SCENARIO("a host is in contact with only some of the others")
{
  const ClientAccount account = Account();
  QuotaState host;
  GIVEN("a third of the hosts in contact")
  {
    const QuotaParameters parameters{ .mShare = 1.0 / 3, .mReachableHosts = 1 };
    double used = 0;
    for (int round = 0; round <= 8 * kRoundsPerSecond; ++round) {
      while (ConsumeQuota(host, account, kCost, parameters, kStart + round * kRoundInterval)) {
        used += kCost;
      }
      EndQuotaRound(host);
    }
    THEN("it admits a third of the quota")
    {
      const double quota = 8 * account.mRatePerSecond + account.mBurst;
      CHECK(used <= 1.1 * quota / 3);
      CHECK(used >= 0.85 * quota / 3);
    }
  }
}

SCENARIO("a request is refused after its quota was consumed")
{
  const ClientAccount account = Account();
  QuotaState host;
  REQUIRE(ConsumeQuota(host, account, 190'000, {}, kStart));
  REQUIRE_FALSE(ConsumeQuota(host, account, 50'000, {}, kStart));
  WHEN("its quota is refunded")
  {
    RefundQuota(host, account.mName, 190'000);
    THEN("another request may consume it")
    {
      CHECK(ConsumeQuota(host, account, 50'000, {}, kStart));
    }
  }
}

SCENARIO("an account that is far below its quota sends requests to many hosts")
{
  const ClientAccount account = Account();
  QuotaState host;
  const QuotaParameters parameters{ .mReachableHosts = 72, .mRandomValue = 0.99 };
  THEN("a host admits its few requests although they exceed the host's share")
  {
    CHECK(ConsumeQuota(host, account, 90'000, parameters, kStart));
    EndQuotaRound(host);
    CHECK(ConsumeQuota(host, account, 60'000, parameters, kStart + kRoundInterval));
  }
}

SCENARIO("a request is larger than the burst")
{
  const ClientAccount account = Account();
  QuotaState host;
  THEN("a full bucket admits it, and the account's next request is refused until the bucket has "
       "refilled")
  {
    CHECK(ConsumeQuota(host, account, 400'000, {}, kStart));
    CHECK_FALSE(ConsumeQuota(host, account, 1'000, {}, kStart + Milliseconds{ 900 }));
    CHECK(ConsumeQuota(host, account, 1'000, {}, kStart + Milliseconds{ 1'100 }));
  }
}

} // namespace
} // namespace trefoil
