#include "trefoil/admission/admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <string>

namespace trefoil {
namespace {

const Instant kStart{ Milliseconds{ 1'000'000 } };

// Drives an admission state through random arrivals and completions, and tracks every request.
struct Run
{
  AdmissionState mState;
  Instant mNow = kStart;
  std::map<QueueTicket, RequestArrived> mWaiting;
  std::vector<QueueTicket> mRunning;
  std::map<FlowKey, double> mWorkDone;
  double mHeldWork = 0;
  double mLargestWork = 0;

  void ApplyEffects(const AdmissionEffects& aEffects)
  {
    for (const AdmissionEffect& effect : aEffects) {
      const auto* admit = std::get_if<AdmitRequest>(&effect);
      const QueueTicket ticket =
        admit == nullptr ? std::get<RefuseRequest>(effect).mTicket : admit->mTicket;
      // Each request receives one decision, no later than its deadline.
      RC_ASSERT(mWaiting.contains(ticket));
      RC_ASSERT(mNow <= mWaiting.at(ticket).mDeadline);
      if (admit != nullptr) {
        RecordAdmitted(mWaiting.at(ticket));
      }
      mWaiting.erase(ticket);
    }
    for (const auto& [ticket, arrival] : mWaiting) {
      RC_ASSERT(mNow < arrival.mDeadline);
    }
  }

  void RecordAdmitted(const RequestArrived& aArrival)
  {
    mRunning.push_back(aArrival.mTicket);
    mWorkDone[{ .mPriority = aArrival.mPriority, .mAccount = aArrival.mAccount }] += aArrival.mWork;
  }

  void Arrive(const RequestArrived& aArrival)
  {
    mWaiting[aArrival.mTicket] = aArrival;
    mLargestWork = std::max(mLargestWork, aArrival.mWork);
    ApplyEffects(Step(mState, aArrival, mNow));
  }

  void EndOne()
  {
    if (!mRunning.empty()) {
      const QueueTicket ticket = mRunning.front();
      mRunning.erase(mRunning.begin());
      ApplyEffects(Step(mState, RequestEnded{ .mTicket = ticket }, mNow));
    }
  }

  // Advances the time by `aMs` milliseconds and applies the timer events that are due.
  void Wait(int aMs)
  {
    const Instant end = mNow + Milliseconds{ aMs };
    while (mNow < end) {
      mNow = std::min(end, std::max(NextTimer(mState, mNow), mNow + Milliseconds{ 1 }));
      ApplyEffects(Step(mState, AdmissionTimerExpired{}, mNow));
    }
  }
};

RequestArrived
RandomArrival(QueueTicket aTicket, Instant aNow)
{
  return { .mTicket = aTicket,
           .mAccount = ClientAccountId{ std::to_string(*rc::gen::inRange(0, 4)) },
           .mPriority =
             *rc::gen::element(Priority::kUrgent, Priority::kNormal, Priority::kDeferrable),
           .mDeadline = aNow + Milliseconds{ *rc::gen::inRange(1, 3000) },
           .mWork = static_cast<double>(*rc::gen::inRange(1, 200)) };
}

void
CheckDeadlines()
{
  Run run{ .mState = MakeAdmissionState(
             { .mSelf = HostId{ "h1" },
               .mSlots = *rc::gen::inRange(1, 4),
               .mMaxQueued = 8,
               .mPeakWorkPerMinute = static_cast<double>(*rc::gen::inRange(0, 5000)) },
             kStart) };
  const int steps = *rc::gen::inRange(1, 120);
  for (int step = 0; step < steps; ++step) {
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        run.EndOne();
        break;
      case 1:
        run.Wait(*rc::gen::inRange(1, 400));
        break;
      default:
        run.Arrive(RandomArrival(static_cast<QueueTicket>(step), run.mNow));
    }
  }
  run.Wait(4000);
  RC_ASSERT(run.mWaiting.empty());
  RC_ASSERT(run.mState.mQueue.mPlaces.empty());
}

// Flows that always have requests waiting share one slot by their weights.
void
CheckFairness()
{
  AdmissionState state = MakeAdmissionState({ .mSelf = HostId{ "h1" }, .mSlots = 1 }, kStart);
  Run run{ .mState = std::move(state) };
  const auto weights = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 10));
  QueueTicket ticket = 0;
  const auto arrive = [&](std::size_t aAccount) {
    run.Arrive({ .mTicket = ++ticket,
                 .mAccount = ClientAccountId{ std::to_string(aAccount) },
                 .mAccountWeight = weights[aAccount],
                 .mDeadline = kStart + Milliseconds{ 86'400'000 },
                 .mWork = static_cast<double>(*rc::gen::inRange(1, 20)) });
  };
  // The first account requests far more than its share.
  const int rounds = 300;
  for (std::size_t account = 0; account < weights.size(); ++account) {
    arrive(account);
    arrive(account);
  }
  for (int round = 0; round < rounds; ++round) {
    const std::map<FlowKey, double> before = run.mWorkDone;
    run.EndOne();
    arrive(0);
    for (std::size_t account = 0; account < weights.size(); ++account) {
      const FlowKey key{ .mAccount = ClientAccountId{ std::to_string(account) } };
      const bool served = run.mWorkDone[key] != (before.contains(key) ? before.at(key) : 0);
      if (served) {
        arrive(account);
      }
    }
  }
  double total = 0;
  double weight = 0;
  for (std::size_t account = 0; account < weights.size(); ++account) {
    total += run.mWorkDone[{ .mAccount = ClientAccountId{ std::to_string(account) } }];
    weight += weights[account];
  }
  for (std::size_t account = 0; account < weights.size(); ++account) {
    const double done = run.mWorkDone[{ .mAccount = ClientAccountId{ std::to_string(account) } }];
    // Self-clocked fair queueing leaves a flow behind its share by at most one request of each
    // flow.
    const double slack = run.mLargestWork * static_cast<double>(weights.size() + 1);
    RC_ASSERT(done >= total * weights[account] / weight - slack);
  }
}

void
CheckPeakBudget()
{
  const double perMinute = *rc::gen::inRange(600, 60'000);
  PeakBudget budget{ .mWorkPerMinute = perMinute, .mHeadroom = { .mRefilledAt = kStart } };
  Instant now = kStart;
  double granted = 0;
  double consumed = 0;
  double largest = 0;
  const int steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    const int ms = *rc::gen::inRange(1, 3000);
    now += Milliseconds{ ms };
    granted += budget.mGrantedPerSecond * ms / 1000;
    ApplyDemand(budget,
                { .mHost = HostId{ std::to_string(*rc::gen::inRange(2, 5)) },
                  .mSequence = *rc::gen::arbitrary<std::uint8_t>(),
                  .mUndeferredPerMinute = static_cast<double>(*rc::gen::inRange(0, 20'000)) },
                now);
    RefreshHeadroom(budget, 1.0 / 3, now);
    RC_ASSERT(budget.mGrantedPerSecond <= perMinute / 60 / 3 + 1e-9);
    while (HasHeadroom(budget)) {
      const double work = *rc::gen::inRange(1, 500);
      largest = std::max(largest, work);
      ConsumeHeadroom(budget, work);
      consumed += work;
    }
    RC_ASSERT(consumed <= granted + largest + 1e-6);
  }
}

constexpr int kHosts = 9;
constexpr double kLimit = 90;

HostId
HostNumber(int aNumber)
{
  return HostId{ std::to_string(aNumber) };
}

// Sends every host as many requests as the whole limit, for one second. Returns how many requests
// all hosts admit.
double
AdmittedInOneSecond(std::vector<AdmissionState>& aHosts, Instant aNow, QueueTicket& aTicket)
{
  double admitted = 0;
  for (AdmissionState& host : aHosts) {
    for (double i = 0; i < kLimit; ++i) {
      const auto effects = Step(host,
                                RequestArrived{ .mTicket = ++aTicket,
                                                .mAccount = ClientAccountId{ "a" },
                                                .mAccountLimit = kLimit,
                                                .mDeadline = aNow + Milliseconds{ 60'000 } },
                                aNow);
      for (const AdmissionEffect& effect : effects) {
        admitted += std::holds_alternative<AdmitRequest>(effect) ? 1 : 0;
        Step(host, RequestEnded{ .mTicket = aTicket }, aNow);
      }
    }
  }
  return admitted;
}

// Gossip is lost at random, and a partition divides the hosts at a random point.
void
CheckLimitOverHosts()
{
  std::vector<AdmissionState> hosts;
  std::set<HostId> all;
  for (int i = 0; i < kHosts; ++i) {
    all.insert(HostNumber(i));
  }
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(MakeAdmissionState(
      { .mSelf = HostNumber(i), .mHostsAtStart = kHosts, .mSlots = 100'000 }, kStart));
    Step(hosts.back(), HostViewChanged{ { .mAlive = all } }, kStart);
  }
  const int cut = *rc::gen::inRange(0, kHosts);
  QueueTicket ticket = 0;
  double admitted = 0;
  const int seconds = *rc::gen::inRange(1, 12);
  for (int second = 0; second < seconds; ++second) {
    const Instant now = kStart + Milliseconds{ 10'000 + second * 1000 };
    for (int i = 0; i < kHosts; ++i) {
      std::set<HostId> hostsInView;
      for (int j = 0; j < kHosts; ++j) {
        const bool sameSide = (i < cut) == (j < cut);
        // The hosts of the other side stay in the view for the first two seconds, because
        // membership removes unreachable hosts with a delay.
        if (sameSide || second < 2) {
          hostsInView.insert(HostNumber(j));
        }
      }
      if (*rc::gen::inRange(0, 3) != 0) {
        Step(hosts[static_cast<std::size_t>(i)], HostViewChanged{ { .mAlive = hostsInView } }, now);
      }
    }
    admitted += AdmittedInOneSecond(hosts, now, ticket);
  }
  // The bound is 1.5 times the limit, with a burst of one second and one request for each host.
  RC_ASSERT(admitted <= 1.5 * kLimit * seconds + 1.5 * kLimit + kHosts);
}

TEST_CASE("Admission keeps its guarantees for random inputs")
{
  SECTION("each request receives exactly one decision, no later than its deadline")
  {
    CHECK(rc::check(CheckDeadlines));
  }
  SECTION("an account with waiting requests receives at least its weight's share")
  {
    CHECK(rc::check(CheckFairness));
  }
  SECTION("deferrable work exceeds the granted headroom by at most one request")
  {
    CHECK(rc::check(CheckPeakBudget));
  }
  SECTION("the hosts together stay below 1.5 times a limit although gossip is lost")
  {
    CHECK(rc::check(CheckLimitOverHosts));
  }
}

} // namespace
} // namespace trefoil
