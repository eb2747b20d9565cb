#include "trefoil/dispatch/quota.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace trefoil {
namespace {

constexpr Milliseconds kNews{ 250 };
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

// Hosts that tell each other every kNews what they let through.
struct Hosts
{
  // Asks for four requests at each host and returns what they let through together.
  double Round(const ClientAccount& aAccount, Instant aNow)
  {
    std::vector<double> used(kHosts, 0);
    double all = 0;
    for (std::size_t host = 0; host < kHosts; ++host) {
      for (int request = 0; request < 4; ++request) {
        const double draw = std::generate_canonical<double, 32>(mRandom);
        if (TakeQuota(
              mStates[host], aAccount, kCost, { .mHostsInTouch = kHosts, .mDraw = draw }, aNow)) {
          used[host] += kCost;
          all += kCost;
        }
      }
    }
    for (std::size_t host = 0; host < kHosts; ++host) {
      for (std::size_t other = 0; other < kHosts; ++other) {
        if (other != host) {
          AddUsedElsewhere(mStates[host], aAccount.mName, used[other]);
        }
      }
      OnQuotaUpdate(mStates[host]);
    }
    return all;
  }

  std::mt19937 mRandom{ 20261204 };
  std::vector<QuotaState> mStates = std::vector<QuotaState>(kHosts);
};

SCENARIO("an account asks for several times its quota at all hosts")
{
  const ClientAccount account = Account();
  Hosts hosts;
  std::vector<double> seconds;
  for (int second = 0; second < 12; ++second) {
    double used = 0;
    for (int round = 0; round < kRoundsPerSecond; ++round) {
      used += hosts.Round(account, kStart + second * std::chrono::seconds{ 1 } + round * kNews);
    }
    seconds.push_back(used);
  }
  THEN("the hosts stay inside the quota together")
  {
    for (std::size_t first = 0; first + 8 <= seconds.size(); ++first) {
      double window = 0;
      for (std::size_t second = first; second < first + 8; ++second) {
        window += seconds[second];
      }
      // The platform allows a tenth beyond the quota.
      CHECK(window <= 1.1 * (8 * account.mRatePerSecond + account.mBurst));
    }
  }
  THEN("the account gets its rate all the while, not all of a window at once")
  {
    // One request at each host is three quarters of a second's quota, so that two seconds are taken
    // together.
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

SCENARIO("a host hears only some of the others")
{
  const ClientAccount account = Account();
  QuotaState host;
  GIVEN("a third of the hosts in touch")
  {
    const QuotaTerms terms{ .mShare = 1.0 / 3, .mHostsInTouch = 1 };
    double used = 0;
    for (int round = 0; round <= 8 * kRoundsPerSecond; ++round) {
      while (TakeQuota(host, account, kCost, terms, kStart + round * kNews)) {
        used += kCost;
      }
      OnQuotaUpdate(host);
    }
    THEN("it lets through a third of the quota")
    {
      const double quota = 8 * account.mRatePerSecond + account.mBurst;
      CHECK(used <= 1.1 * quota / 3);
      CHECK(used >= 0.85 * quota / 3);
    }
  }
}

SCENARIO("a request is refused after it took its quota")
{
  const ClientAccount account = Account();
  QuotaState host;
  REQUIRE(TakeQuota(host, account, 190'000, {}, kStart));
  REQUIRE_FALSE(TakeQuota(host, account, 50'000, {}, kStart));
  WHEN("it gives it back")
  {
    ReturnQuota(host, account.mName, 190'000);
    THEN("another one may take it")
    {
      CHECK(TakeQuota(host, account, 50'000, {}, kStart));
    }
  }
}

SCENARIO("an account that is far from its quota asks at many hosts")
{
  const ClientAccount account = Account();
  QuotaState host;
  const QuotaTerms terms{ .mHostsInTouch = 72, .mDraw = 0.99 };
  THEN("a host lets its few requests through, though they are more than its part")
  {
    CHECK(TakeQuota(host, account, 90'000, terms, kStart));
    OnQuotaUpdate(host);
    CHECK(TakeQuota(host, account, 60'000, terms, kStart + kNews));
  }
}

SCENARIO("a request is larger than the burst")
{
  const ClientAccount account = Account();
  QuotaState host;
  THEN("a full bucket takes it, and the account then waits until that is made up for")
  {
    CHECK(TakeQuota(host, account, 400'000, {}, kStart));
    CHECK_FALSE(TakeQuota(host, account, 1'000, {}, kStart + Milliseconds{ 900 }));
    CHECK(TakeQuota(host, account, 1'000, {}, kStart + Milliseconds{ 1'100 }));
  }
}

} // namespace
} // namespace trefoil
