#include "trefoil/dispatch/quota.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <deque>
#include <numeric>
#include <random>
#include <utility>
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

// Hosts that report the costs of their requests to each other at the end of each round. Reports
// arrive a number of rounds later.
struct Hosts
{
  explicit Hosts(std::size_t aHosts,
                 std::size_t aDelay = 0,
                 Milliseconds aPropagationTime = 2 * kRoundInterval)
    : mStates(aHosts)
    , mParts(aHosts, 0)
    , mFrozen(aHosts, false)
    , mMissed(aHosts)
    , mUnreported(aDelay)
    , mPropagationTime(aPropagationTime)
  {
  }

  // Sends a request to a host; returns whether it is admitted.
  bool Send(std::size_t aHost, const ClientAccount& aAccount, Instant aNow)
  {
    const bool admitted(ConsumeQuota(mStates[aHost], aAccount, kCost, Parameters(aHost), aNow));
    mInRound.resize(mStates.size());
    mInRound[aHost].mAsked += kCost;
    mInRound[aHost].mUsed += admitted ? kCost : 0;
    mAdmitted += admitted ? kCost : 0;
    mAdmittedByHost.resize(mStates.size());
    mAdmittedByHost[aHost] += admitted ? kCost : 0;
    return admitted;
  }

  // Sends a request to a host that refuses it for another reason than the quota.
  void SendRefused(std::size_t aHost, const ClientAccount& aAccount)
  {
    RecordQuotaDemand(mStates[aHost], aAccount.mName, kCost, Parameters(aHost));
    mInRound.resize(mStates.size());
    mInRound[aHost].mAsked += kCost;
  }

  // Puts the first `aCount` hosts out of contact with the others; 0 ends it.
  void CutOff(std::size_t aCount)
  {
    for (std::size_t host = 0; host < mParts.size(); ++host) {
      mParts[host] = host < aCount ? 1 : 0;
    }
  }

  // Ends the round and returns the admitted cost in it.
  double EndRound(const ClientAccount& aAccount, Instant aNow)
  {
    mInRound.resize(mStates.size());
    mUnreported.push_back(std::exchange(mInRound, {}));
    const std::vector<QuotaCosts> reports = std::move(mUnreported.front());
    mUnreported.pop_front();
    for (std::size_t host = 0; host < mStates.size(); ++host) {
      for (std::size_t peer = 0; peer < reports.size(); ++peer) {
        if (peer != host && mParts[peer] == mParts[host]) {
          mMissed[host].mUsed += reports[peer].mUsed;
          mMissed[host].mAsked += reports[peer].mAsked;
        }
      }
      if (!mFrozen[host]) {
        EndQuotaRound(mStates[host], Parameters(host), aNow);
        AddPeerUsage(mStates[host], aAccount, mMissed[host], Parameters(host), aNow);
        mMissed[host] = {};
      }
    }
    return std::exchange(mAdmitted, 0);
  }

  // Sends four requests to each host, ends the round and returns the total admitted cost.
  double RunRound(const ClientAccount& aAccount, Instant aNow)
  {
    for (std::size_t host = 0; host < mStates.size(); ++host) {
      for (int request = 0; request < 4; ++request) {
        Send(host, aAccount, aNow);
      }
    }
    return EndRound(aAccount, aNow);
  }

  // Replaces a host by a new process that continues from the snapshot of another host.
  void Restart(std::size_t aHost, const QuotaSnapshot& aSnapshot, Instant aNow)
  {
    mStates[aHost] = {};
    RestoreQuota(mStates[aHost], Account().mName, aSnapshot, aNow);
  }

  QuotaParameters Parameters(std::size_t aHost)
  {
    const auto inContact = static_cast<double>(std::ranges::count(mParts, mParts[aHost]));
    return { .mShare = inContact / static_cast<double>(mParts.size()),
             .mHosts = static_cast<int>(mStates.size()),
             .mPropagationTime = mPropagationTime,
             .mRandomValue = std::generate_canonical<double, 32>(mRandom) };
  }

  std::mt19937 mRandom{ 20261204 };
  std::vector<QuotaState> mStates;
  // Hosts with the same number are in contact.
  std::vector<int> mParts;
  // Frozen hosts process reports when they run again.
  std::vector<bool> mFrozen;
  std::vector<QuotaCosts> mMissed;
  std::vector<double> mAdmittedByHost;
  std::deque<std::vector<QuotaCosts>> mUnreported;
  std::vector<QuotaCosts> mInRound;
  double mAdmitted = 0;
  Milliseconds mPropagationTime;
};

SCENARIO("an account requests several times its quota at all hosts")
{
  const ClientAccount account = Account();
  Hosts hosts{ kHosts };
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

// Guards against several hosts that use a quota once each after a common restart: they knew the
// level of the bucket but took the demand for zero (QUOTA).
SCENARIO("half of the hosts restart while an account requests several times its quota")
{
  const ClientAccount account = Account();
  constexpr std::size_t kRestartedHosts = 5;
  constexpr int kRoundOfRestart = 40;
  Hosts hosts{ kHosts, 1 };
  std::vector<double> rounds;
  QuotaSnapshot recorded;
  for (int round = 0; round < 2 * kRoundOfRestart; ++round) {
    const Instant now = kStart + round * kRoundInterval;
    if (round == kRoundOfRestart) {
      for (std::size_t host = 0; host < kRestartedHosts; ++host) {
        hosts.Restart(host, recorded, now);
      }
    }
    rounds.push_back(hosts.RunRound(account, now));
    recorded = SnapshotOf(hosts.mStates.back().mAccounts.at(account.mName));
  }
  const auto admitted = [&rounds](int aFirst, int aCount) {
    const auto first = rounds.begin() + aFirst;
    return std::accumulate(first, first + aCount, 0.0);
  };
  THEN("together they admit no more than before")
  {
    const double before = admitted(kRoundOfRestart - kRoundsPerSecond, kRoundsPerSecond);
    CHECK(admitted(kRoundOfRestart, kRoundsPerSecond) <= 1.5 * before);
  }
  THEN("they stay within the quota in every window, with the platform's allowance")
  {
    constexpr int kWindow = 8 * kRoundsPerSecond;
    for (int first = 0; first + kWindow <= static_cast<int>(rounds.size()); ++first) {
      CHECK(admitted(first, kWindow) <= 1.1 * (8 * account.mRatePerSecond + account.mBurst));
    }
  }
}

// Guards against hosts that act on the state of before a freeze: they admitted the requests that
// had waited as if nobody else had used the quota (QUOTA), and afterwards refused all of the
// account's requests, since the reports that had waited were charged to a bucket that was already
// full.
SCENARIO("hosts are frozen while an account requests several times its quota")
{
  const ClientAccount account = Account();
  constexpr std::size_t kFrozenHosts = 3;
  constexpr int kRoundOfFreeze = 40;
  constexpr int kFrozenRounds = 2 * kRoundsPerSecond;
  constexpr int kRequestsPerRound = 4;
  Hosts hosts{ kHosts };
  const auto timeOf = [](int aRound) { return kStart + aRound * kRoundInterval; };
  int round = 0;
  for (; round < kRoundOfFreeze; ++round) {
    hosts.RunRound(account, timeOf(round));
  }
  std::fill_n(hosts.mFrozen.begin(), kFrozenHosts, true);
  for (; round < kRoundOfFreeze + kFrozenRounds; ++round) {
    for (std::size_t host = kFrozenHosts; host < kHosts; ++host) {
      for (int request = 0; request < kRequestsPerRound; ++request) {
        hosts.Send(host, account, timeOf(round));
      }
    }
    hosts.EndRound(account, timeOf(round));
  }
  std::fill_n(hosts.mFrozen.begin(), kFrozenHosts, false);
  hosts.mAdmittedByHost.assign(kHosts, 0);
  for (std::size_t host = 0; host < kFrozenHosts; ++host) {
    for (int request = 0; request < kRequestsPerRound * kFrozenRounds; ++request) {
      hosts.Send(host, account, timeOf(round));
    }
  }
  THEN("each of them admits at most its part of a full bucket at once")
  {
    for (std::size_t host = 0; host < kFrozenHosts; ++host) {
      CHECK(hosts.mAdmittedByHost[host] <= account.mBurst / kHosts + kCost);
    }
  }
  THEN("afterwards they serve the account like the others")
  {
    hosts.EndRound(account, timeOf(round));
    hosts.mAdmittedByHost.assign(kHosts, 0);
    for (const int last = round + 16 * kRoundsPerSecond; round < last; ++round) {
      hosts.RunRound(account, timeOf(round));
    }
    const double all =
      std::accumulate(hosts.mAdmittedByHost.begin(), hosts.mAdmittedByHost.end(), 0.0);
    for (const double admitted : hosts.mAdmittedByHost) {
      CHECK(admitted >= all / kHosts / 2);
    }
  }
}

// Guards against hosts that admit too much when contact returns, since they took the demand at the
// hosts of their own side for that of all hosts (QUOTA).
SCENARIO("hosts that were cut off regain contact while an account requests several times its quota")
{
  const ClientAccount account = Account();
  constexpr std::size_t kCutOffHosts = 4;
  constexpr int kRoundOfCut = 40;
  constexpr int kRoundOfStaleConfiguration = 54;
  constexpr int kRoundOfReturn = 60;
  constexpr int kRequestsPerRound = 4;
  Hosts hosts{ kHosts, 1 };
  std::vector<double> rounds;
  for (int round = 0; round < kRoundOfReturn + kRoundOfCut; ++round) {
    if (round == kRoundOfCut || round == kRoundOfReturn) {
      hosts.CutOff(round == kRoundOfCut ? kCutOffHosts : 0);
    }
    const Instant now = kStart + round * kRoundInterval;
    const bool isStale = round >= kRoundOfStaleConfiguration && round < kRoundOfReturn;
    for (std::size_t host = 0; host < kHosts; ++host) {
      for (int request = 0; request < kRequestsPerRound; ++request) {
        if (isStale && host < kCutOffHosts) {
          hosts.SendRefused(host, account);
        } else {
          hosts.Send(host, account, now);
        }
      }
    }
    rounds.push_back(hosts.EndRound(account, now));
  }
  const auto admitted = [&rounds](int aFirst, int aCount) {
    const auto first = rounds.begin() + aFirst;
    return std::accumulate(first, first + aCount, 0.0);
  };
  const double perSecond = admitted(kRoundOfCut - 4 * kRoundsPerSecond, 4 * kRoundsPerSecond) / 4;
  THEN("together they admit no more than the quota allows as soon as contact is back")
  {
    const auto allowed = [&account](int aRounds) {
      return 1.1 * account.mRatePerSecond * aRounds / kRoundsPerSecond + kCost;
    };
    CHECK(admitted(kRoundOfReturn, 2) <= allowed(2));
    CHECK(admitted(kRoundOfReturn, kRoundsPerSecond) <= allowed(kRoundsPerSecond));
  }
  THEN("the account is served during the cut and after it")
  {
    CHECK(admitted(kRoundOfCut, kRoundsPerSecond * 3) >= 0.75 * 3 * perSecond);
    CHECK(admitted(kRoundOfReturn, kRoundsPerSecond * 8) >= 0.75 * 8 * perSecond);
  }
}

// Guards against a host that forgets the demand while it refuses the account's requests because its
// configuration is too old (QUOTA).
SCENARIO("a host refuses an account's requests for another reason than the quota")
{
  const ClientAccount account = Account();
  constexpr int kRoundsBefore = 20;
  constexpr int kRequestsPerRound = 4;
  Hosts hosts{ 1 };
  double asked = 0;
  for (int round = 0; round < 2 * kRoundsBefore; ++round) {
    const Instant now = kStart + round * kRoundInterval;
    for (int request = 0; request < kRequestsPerRound; ++request) {
      if (round < kRoundsBefore) {
        hosts.Send(0, account, now);
      } else {
        hosts.SendRefused(0, account);
      }
    }
    hosts.EndRound(account, now);
    if (round + 1 == kRoundsBefore) {
      asked = hosts.mStates[0].mAccounts[account.mName].mAskedPerSecond;
    }
  }
  THEN("it still knows what the account asks for")
  {
    CHECK(hosts.mStates[0].mAccounts[account.mName].mAskedPerSecond >= asked);
  }
}

SCENARIO("a host is in contact with only some of the others")
{
  const ClientAccount account = Account();
  QuotaState host;
  GIVEN("a third of the hosts in contact")
  {
    const QuotaParameters parameters{ .mShare = 1.0 / 3 };
    double used = 0;
    for (int round = 0; round <= 8 * kRoundsPerSecond; ++round) {
      while (ConsumeQuota(host, account, kCost, parameters, kStart + round * kRoundInterval)) {
        used += kCost;
      }
      EndQuotaRound(host, parameters, kStart + round * kRoundInterval);
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
  const QuotaParameters parameters{ .mRandomValue = 0.99 };
  THEN("a host admits its few requests although they exceed the host's share")
  {
    CHECK(ConsumeQuota(host, account, 90'000, parameters, kStart));
    EndQuotaRound(host, parameters, kStart + kRoundInterval);
    CHECK(ConsumeQuota(host, account, 60'000, parameters, kStart + kRoundInterval));
  }
}

SCENARIO("an account that stays below its quota reaches each of many hosts seldom")
{
  const ClientAccount account = Account();
  QuotaState host;
  // The other hosts admit 90 % of the account's rate for a minute.
  for (int round = 0; round < 60 * kRoundsPerSecond; ++round) {
    const double cost = 0.9 * account.mRatePerSecond / kRoundsPerSecond;
    AddPeerUsage(host,
                 account,
                 { .mUsed = cost, .mAsked = cost },
                 { .mPropagationTime = Milliseconds{ 2'000 } },
                 kStart + round * kRoundInterval);
    EndQuotaRound(
      host, { .mPropagationTime = Milliseconds{ 2'000 } }, kStart + round * kRoundInterval);
  }
  THEN("the first request that this host receives is admitted")
  {
    // The bucket is full, and what the others ask for in four rounds is less than the burst.
    CHECK(ConsumeQuota(host,
                       account,
                       1'000,
                       { .mPropagationTime = Milliseconds{ 2'000 }, .mRandomValue = 0.99 },
                       kStart + std::chrono::seconds{ 60 }));
  }
}

SCENARIO("an account asks for twice its quota, spread over 295 hosts whose reports take long")
{
  const ClientAccount account = Account();
  constexpr std::size_t kManyHosts = 295;
  constexpr std::size_t kDelayRounds = 3;
  constexpr Milliseconds kLongInterval{ 500 };
  Hosts hosts{ kManyHosts, kDelayRounds, (kDelayRounds + 1) * kLongInterval };
  std::uniform_int_distribution<std::size_t> anyHost{ 0, kManyHosts - 1 };
  const double askedPerRound = account.mRatePerSecond;
  std::vector<double> rounds;
  double asked = 0;
  for (int round = 0; round < 120; ++round) {
    const Instant now = kStart + round * kLongInterval;
    for (asked += askedPerRound; asked >= kCost; asked -= kCost) {
      hosts.Send(anyHost(hosts.mRandom), account, now);
    }
    rounds.push_back(hosts.EndRound(account, now));
  }
  const auto admitted = [&](std::size_t aFirst, std::size_t aCount) {
    const auto first = rounds.begin() + static_cast<std::ptrdiff_t>(aFirst);
    return std::accumulate(first, first + static_cast<std::ptrdiff_t>(aCount), 0.0);
  };
  THEN("they use the quota although each host sees few of the requests")
  {
    CHECK(admitted(0, 120) >= 0.85 * (60 * account.mRatePerSecond + account.mBurst));
  }
  THEN("they stay within it in every window, with the platform's allowance")
  {
    // The platform allows 10 % and 190,000 tokens beyond the quota in a window of 8 s.
    for (std::size_t first = 0; first + 16 <= rounds.size(); ++first) {
      CHECK(admitted(first, 16) <= 1.1 * (8 * account.mRatePerSecond + account.mBurst) + 190'000);
    }
  }
  THEN("the account is served continuously")
  {
    for (std::size_t first = 16; first + 8 <= rounds.size(); first += 8) {
      CHECK(admitted(first, 8) >= 0.5 * 4 * account.mRatePerSecond);
    }
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
