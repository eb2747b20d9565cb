// The quotas of a large fleet, whose hosts report to each other through aggregators, on a simulated
// clock.
//
//   QuotaFleet fleet{ seed };
//   fleet.Run(std::chrono::seconds{ 20 }, kUsualDemand);
//   double largest = fleet.LargestWindow();
#pragma once

#include "trefoil/dispatch/quota.h"
#include "trefoil/steering/aggregation.h"
#include "trefoil/steering/totals_messages.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace trefoil {

inline constexpr Milliseconds kInterval{ 500 };
inline constexpr Milliseconds kStep{ 10 };
inline constexpr Milliseconds kMessageDelay{ 5 };
// The totals of a round are sent over half of the interval.
inline constexpr Milliseconds kTotalsSpread = kInterval / 2;
inline constexpr Milliseconds kRetryDelay{ 500 };
// How long the store keeps the entry of a host that cannot renew its lease.
inline constexpr Milliseconds kLease{ 6'000 };
// Hosts read the list of hosts after a random time from this one to three times as long.
inline constexpr Milliseconds kListInterval{ 10'000 };
inline const ClientAccountId kAccount{ "club" };
inline constexpr double kRate = 1'460'000;
inline constexpr double kMeanCost = 12'500;
// What the platform permits beyond the quota, in a window.
inline constexpr double kOverage = 0.1;
inline constexpr double kSlack = 190'000;
inline constexpr Milliseconds kWindow{ 8'000 };
// The parts of it that the hosts use.
inline constexpr double kOverageFraction = 0.8;
inline constexpr double kSlackFraction = 0.2;

inline constexpr int kZones = 5;
inline constexpr int kHostsInZone = 15;
// In parts of the account's rate.
inline constexpr double kUsualDemand = 1 / 1.8;
// What the platform permits in a window.
inline constexpr double kAllowed =
  (1 + kOverage) * (kRate * static_cast<double>(kWindow.count()) / 1'000 + kRate) + kSlack;
// The tests use the seeds from 1 to this one.
inline constexpr unsigned kSeeds = 4;

inline ClientAccount
Account()
{
  return { .mName = kAccount,
           .mCountsTokens = true,
           .mDefaultTokens = 200,
           .mRatePerSecond = kRate,
           .mBurst = kRate };
}

struct QuotaFleetOptions
{
  int mZones = kZones;
  int mHostsInZone = kHostsInZone;
  // The clients of the account, each of which uses one host, chosen at random; 0 means that each
  // request goes to any host.
  int mClients = 0;
};

struct FleetHost
{
  HostId mName;
  AvailabilityZoneId mZone;
  Endpoint mEndpoint;
  PeerTable mTable;
  AggregationState mState;
  QuotaState mQuotas;
  QuotaParameters mParameters{ .mOverage = kOverageFraction * kOverage,
                               .mSlack = kSlackFraction * kSlack };
  std::uint64_t mSequence = 0;
  Instant mNextRound;
  Instant mNextList;
  // Whether the host cannot renew its lease.
  bool mIsCutFromStore = false;
  // Hosts with the same number are in contact. Only those with 0 reach the store.
  int mPart = 0;
  std::uint64_t mIncarnation = 1;
  // When a killed host starts again; empty while it runs.
  std::optional<Instant> mStartsAt;
};

// Entry hosts before which an account asks for its usual share of the quota, or a multiple of it.
// Clients whose request is refused send it once more.
class QuotaFleet
{
public:
  explicit QuotaFleet(unsigned aSeed, const QuotaFleetOptions& aOptions = {})
    : mRandom(aSeed)
  {
    for (int i = 0; i < aOptions.mZones * aOptions.mHostsInZone; ++i) {
      auto host = std::make_unique<FleetHost>();
      host->mName = HostId{ fmt::format("host-{:03}", i) };
      host->mZone = AvailabilityZoneId{ fmt::format("zone-{}", i % aOptions.mZones) };
      host->mEndpoint = { .mAddress = fmt::format("10.0.{}.{}", i / 200, i % 200), .mPort = 7600 };
      host->mNextRound = mNow + RandomTime(kInterval);
      host->mNextList = mNow + NextListTime();
      mListed[host->mName] = { .mEndpoint = host->mEndpoint, .mZone = host->mZone };
      mHosts.push_back(std::move(host));
    }
    for (const auto& host : mHosts) {
      host->mTable = { .mSelf = host->mName, .mZone = host->mZone, .mListedHosts = mListed };
      host->mState = { .mEpoch = 1 };
    }
    for (int client = 0; client < aOptions.mClients; ++client) {
      mHostsOfClients.push_back(mRandom() % mHosts.size());
    }
  }

  // Takes a random part of the hosts out of contact with the store, though not with each other, or
  // brings them back.
  void CutFromStore(double aShare)
  {
    std::vector<FleetHost*> hosts;
    for (const auto& host : mHosts) {
      host->mIsCutFromStore = false;
      hosts.push_back(host.get());
    }
    std::ranges::shuffle(hosts, mRandom);
    hosts.resize(static_cast<std::size_t>(aShare * static_cast<double>(hosts.size())));
    for (FleetHost* host : hosts) {
      host->mIsCutFromStore = true;
    }
    mCutAt = mNow;
  }

  // Takes hosts out of contact with the others and the store: the first `aCount`, which are of all
  // zones, with each other or each by itself. 0 ends it.
  void CutOff(int aCount, bool aAreTogether)
  {
    for (int i = 0; std::cmp_less(i, mHosts.size()); ++i) {
      const int part = aAreTogether ? 1 : i + 1;
      mHosts[static_cast<std::size_t>(i)]->mPart = i < aCount ? part : 0;
    }
  }

  // Kills the last `aCount` hosts, which start again after `aDowntime` and read the record in the
  // store. Their clients use other hosts until then.
  void Kill(int aCount, Milliseconds aDowntime)
  {
    for (auto host = mHosts.rbegin(); host != mHosts.rbegin() + aCount; ++host) {
      (*host)->mStartsAt = mNow + aDowntime;
    }
  }

  // Runs the fleet while the account asks for this multiple of its rate.
  void Run(Milliseconds aTime, double aDemand)
  {
    std::exponential_distribution<double> gap{ aDemand * kRate / kMeanCost };
    std::exponential_distribution<double> cost{ 1 / kMeanCost };
    const auto untilNext = [&] {
      return std::chrono::duration_cast<Instant::duration>(
        std::chrono::duration<double>(gap(mRandom)));
    };
    Instant next = mNow + untilNext();
    for (const Instant end = mNow + aTime; mNow < end; mNow += kStep) {
      Deliver();
      WriteRecord();
      for (const auto& host : mHosts) {
        if (host->mStartsAt && HasPassed(*host->mStartsAt, mNow)) {
          Start(*host);
        }
        if (!host->mStartsAt && HasPassed(host->mNextRound, mNow)) {
          RunRound(*host);
        }
      }
      for (; HasPassed(next, mNow); next += untilNext()) {
        const double asked = std::min(4 * kMeanCost, cost(mRandom));
        mAsked += asked;
        if (!Send(asked)) {
          mRefused += asked;
          mRetries.emplace_back(mNow + kRetryDelay, asked);
        }
      }
      for (; !mRetries.empty() && HasPassed(mRetries.front().first, mNow); mRetries.pop_front()) {
        (void)Send(mRetries.front().second);
      }
    }
  }

  // Returns the largest cost that was admitted in a window.
  double LargestWindow() const
  {
    double largest = 0;
    double sum = 0;
    auto first = mAdmitted.begin();
    for (const auto& [at, cost] : mAdmitted) {
      sum += cost;
      for (; at - first->first > kWindow; ++first) {
        sum -= first->second;
      }
      largest = std::max(largest, sum);
    }
    return largest;
  }

  // Forgets what was asked for and admitted so far.
  void ForgetRequests()
  {
    mAdmitted.clear();
    mAsked = 0;
    mRefused = 0;
  }

  // Returns the part of what was asked for that was refused at the first attempt.
  double RefusedShare() const { return mRefused / mAsked; }

  // Returns the part of what was asked for that was admitted, second attempts included.
  double AdmittedShare() const
  {
    double admitted = 0;
    for (const auto& [at, cost] : mAdmitted) {
      admitted += cost;
    }
    return admitted / mAsked;
  }

private:
  // A message on its way, with the part of its sender.
  struct Posted
  {
    int mFromPart = 0;
    Endpoint mTo;
    Message mMessage;
  };

  Milliseconds RandomTime(Milliseconds aBelow)
  {
    return Milliseconds{ static_cast<std::int64_t>(mRandom() %
                                                   static_cast<std::uint64_t>(aBelow.count())) };
  }

  Milliseconds NextListTime() { return kListInterval + RandomTime(2 * kListInterval); }

  static WallTime Wall() { return FromUnixMilliseconds(1'772'000'000'000); }

  // Writes the record in the store once an interval.
  void WriteRecord()
  {
    if (!HasPassed(mNextRecord, mNow)) {
      return;
    }
    mNextRecord = mNow + kInterval;
    const auto writer = std::ranges::find_if(
      mHosts, [](const auto& aHost) { return aHost->mPart == 0 && !aHost->mStartsAt; });
    const auto usage = (*writer)->mQuotas.mAccounts.find(kAccount);
    if (usage != (*writer)->mQuotas.mAccounts.end()) {
      mRecord = SnapshotOf(usage->second);
    }
  }

  void Start(FleetHost& aHost)
  {
    aHost.mStartsAt.reset();
    ++aHost.mIncarnation;
    aHost.mSequence = 0;
    aHost.mTable = { .mSelf = aHost.mName, .mZone = aHost.mZone, .mListedHosts = mListed };
    aHost.mState = { .mEpoch = aHost.mIncarnation };
    aHost.mQuotas = {};
    aHost.mNextRound = mNow + RandomTime(kInterval);
    if (mRecord) {
      RestoreQuota(aHost.mQuotas, kAccount, *mRecord, mNow);
    }
  }

  // Returns the host of a random client, or another one if that host does not run.
  FleetHost& AnyHost()
  {
    std::size_t host = mHostsOfClients.empty()
                         ? mRandom() % mHosts.size()
                         : mHostsOfClients[mRandom() % mHostsOfClients.size()];
    while (mHosts[host]->mStartsAt) {
      host = mRandom() % mHosts.size();
    }
    return *mHosts[host];
  }

  // Sends a request of the account to one of the hosts. Returns whether it is admitted.
  bool Send(double aCost)
  {
    FleetHost& host = AnyHost();
    host.mParameters.mRandomValue = std::generate_canonical<double, 32>(mRandom);
    const bool admitted(ConsumeQuota(host.mQuotas, Account(), aCost, host.mParameters, mNow));
    if (admitted) {
      mAdmitted.emplace_back(mNow, aCost);
    }
    return admitted;
  }

  HostReport MakeReport(FleetHost& aHost)
  {
    const QuotaCosts& total = aHost.mQuotas.mAccounts[kAccount].mOwnTotal;
    return { .mUpdate = { .mHost = aHost.mName,
                          .mIncarnation = aHost.mIncarnation,
                          .mSequence = ++aHost.mSequence,
                          .mEndpoint = aHost.mEndpoint,
                          .mZone = aHost.mZone,
                          .mWallMs = UnixMilliseconds(Wall()),
                          .mQuotas = { { .mAccount = kAccount,
                                         .mUsed = static_cast<std::uint64_t>(total.mUsed) } } },
             .mCounters = { { .mKind = CounterKind::kQuotaAsked,
                              .mSubject = kAccount.Value(),
                              .mTotal = static_cast<std::uint64_t>(total.mAsked) } } };
  }

  void RunRound(FleetHost& aHost)
  {
    aHost.mNextRound += kInterval;
    ReadList(aHost);
    EndQuotaRound(aHost.mQuotas, aHost.mParameters, mNow);
    const HostReport report = MakeReport(aHost);
    BeginAggregationRound(aHost.mTable, aHost.mState, mNow);
    for (const auto& [host, listed] :
         AggregatedUpdateRecipients(aHost.mTable, aHost.mState, mNow)) {
      Post(aHost, mNow + kMessageDelay, listed.mEndpoint, report);
      RecordSent(aHost.mState, host, mNow);
    }
    PeerUpdate added;
    const Datagrams totals =
      MakeTotalsMessages(aHost.mTable, aHost.mState, report, added, Wall(), mNow);
    Learn(aHost, added);
    for (std::size_t i = 0; i < totals.size(); ++i) {
      const auto delay = kTotalsSpread * static_cast<int>(i) / static_cast<int>(totals.size());
      Post(aHost, mNow + kMessageDelay + delay, totals[i].mTo, totals[i].mMessage);
    }
    const FleetStatus status = StatusOfFleet(aHost.mTable, aHost.mState, mNow);
    aHost.mParameters.mHosts = status.mHosts;
    aHost.mParameters.mShare =
      std::min(1.0, static_cast<double>(status.mReachableHosts) / status.mHosts);
    aHost.mParameters.mPropagationTime = PropagationTime(aHost.mTable, mNow);
  }

  void ReadList(FleetHost& aHost)
  {
    if (aHost.mIsCutFromStore || aHost.mPart != 0 || !HasPassed(aHost.mNextList, mNow)) {
      return;
    }
    aHost.mNextList = mNow + NextListTime();
    std::map<HostId, ListedHost> listed = mListed;
    for (const auto& host : mHosts) {
      if (host->mIsCutFromStore && HasPassed(mCutAt + kLease, mNow)) {
        listed.erase(host->mName);
      }
    }
    aHost.mTable.mListedHosts =
      ListedHostsAfter(aHost.mTable, aHost.mState, std::move(listed), mNow);
  }

  void Post(const FleetHost& aFrom, Instant aAt, const Endpoint& aTo, const Message& aMessage)
  {
    mMessages.emplace(aAt, Posted{ .mFromPart = aFrom.mPart, .mTo = aTo, .mMessage = aMessage });
  }

  void Deliver()
  {
    for (; !mMessages.empty() && HasPassed(mMessages.begin()->first, mNow);
         mMessages.erase(mMessages.begin())) {
      const auto& [part, to, message] = mMessages.begin()->second;
      FleetHost& host =
        **std::ranges::find(mHosts, to, [](const auto& aItem) { return aItem->mEndpoint; });
      if (host.mPart != part || host.mStartsAt) {
        continue;
      }
      if (const auto* report = std::get_if<HostReport>(&message)) {
        ApplyHostReport(host.mTable, *report, mNow);
      } else if (const auto* totals = std::get_if<TotalsMessage>(&message)) {
        Learn(host, ApplyTotals(host.mTable, host.mState, *totals, Wall(), mNow));
      }
    }
  }

  void Learn(FleetHost& aHost, const PeerUpdate& aAdded)
  {
    const auto costOf = [](const std::map<ClientAccountId, double>& aCosts) {
      const auto cost = aCosts.find(kAccount);
      return cost == aCosts.end() ? 0.0 : cost->second;
    };
    AddPeerUsage(aHost.mQuotas,
                 Account(),
                 { .mUsed = costOf(aAdded.mQuotaUsed), .mAsked = costOf(aAdded.mQuotaAsked) },
                 aHost.mParameters,
                 mNow);
  }

  std::mt19937 mRandom;
  Instant mNow{ std::chrono::hours{ 1 } };
  std::vector<std::unique_ptr<FleetHost>> mHosts;
  // All hosts, as the store lists them.
  std::map<HostId, ListedHost> mListed;
  Instant mCutAt;
  std::multimap<Instant, Posted> mMessages;
  std::vector<std::size_t> mHostsOfClients;
  // The record in the store.
  std::optional<QuotaSnapshot> mRecord;
  Instant mNextRecord;
  std::deque<std::pair<Instant, double>> mRetries;
  std::deque<std::pair<Instant, double>> mAdmitted;
  double mAsked = 0;
  double mRefused = 0;
};

} // namespace trefoil
