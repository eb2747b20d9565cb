#include "trefoil/admission/admission.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const Instant kStart{ Milliseconds{ 1'000'000 } };

Instant
At(std::int64_t aMs)
{
  return kStart + Milliseconds{ aMs };
}

HostId
HostNumber(int aNumber)
{
  return HostId{ "h" + std::to_string(aNumber) };
}

std::set<HostId>
Hosts(int aFirst, int aLast)
{
  std::set<HostId> hosts;
  for (int i = aFirst; i <= aLast; ++i) {
    hosts.insert(HostNumber(i));
  }
  return hosts;
}

AdmissionState
StateWith(AdmissionOptions aOptions)
{
  aOptions.mSelf = HostNumber(1);
  return MakeAdmissionState(std::move(aOptions), kStart);
}

RequestArrived
Arrival(QueueTicket aTicket, Priority aPriority, std::int64_t aDeadlineMs)
{
  return { .mTicket = aTicket,
           .mAccount = ClientAccountId{ "directors" },
           .mPriority = aPriority,
           .mDeadline = At(aDeadlineMs),
           .mWork = 100 };
}

std::vector<QueueTicket>
AdmittedIn(const AdmissionEffects& aEffects)
{
  std::vector<QueueTicket> tickets;
  for (const AdmissionEffect& effect : aEffects) {
    if (const auto* admit = std::get_if<AdmitRequest>(&effect)) {
      tickets.push_back(admit->mTicket);
    }
  }
  return tickets;
}

std::vector<RefuseRequest>
RefusedIn(const AdmissionEffects& aEffects)
{
  std::vector<RefuseRequest> refusals;
  for (const AdmissionEffect& effect : aEffects) {
    if (const auto* refusal = std::get_if<RefuseRequest>(&effect)) {
      refusals.push_back(*refusal);
    }
  }
  return refusals;
}

TEST_CASE("One slot is free")
{
  AdmissionState state = StateWith({ .mSlots = 1 });
  REQUIRE(AdmittedIn(Step(state, Arrival(1, Priority::kNormal, 60'000), kStart)) ==
          std::vector<QueueTicket>{ 1 });

  SECTION("further requests wait")
  {
    CHECK(Step(state, Arrival(2, Priority::kDeferrable, 60'000), kStart).empty());
    CHECK(Step(state, Arrival(3, Priority::kNormal, 50'000), kStart).empty());
    CHECK(Step(state, Arrival(4, Priority::kNormal, 40'000), kStart).empty());
    CHECK(Step(state, Arrival(5, Priority::kUrgent, 60'000), kStart).empty());

    SECTION("the urgent one runs first, then those with earlier deadlines, the deferrable one last")
    {
      std::vector<QueueTicket> order;
      for (QueueTicket ended = 1; order.size() < 4; ended = order.back()) {
        const auto admitted = AdmittedIn(Step(state, RequestEnded{ .mTicket = ended }, At(10)));
        REQUIRE(admitted.size() == 1);
        order.push_back(admitted.front());
      }
      CHECK(order == std::vector<QueueTicket>{ 5, 4, 3, 2 });
    }
    SECTION("one that has not started by its latest start is refused at that time")
    {
      REQUIRE(NextTimer(state, At(39'500)) == At(40'000));
      const auto refused = RefusedIn(Step(state, AdmissionTimerExpired{}, At(40'000)));
      REQUIRE(refused.size() == 1);
      CHECK(refused.front().mTicket == 4);
      CHECK(refused.front().mReason == AdmissionRefusal::kDeadline);
      CHECK(refused.front().mRetryAt > At(40'000));
    }
    SECTION("one whose caller has cancelled is removed from the queue")
    {
      CHECK(Step(state, RequestEnded{ .mTicket = 5 }, At(1)).empty());
      CHECK(AdmittedIn(Step(state, RequestEnded{ .mTicket = 1 }, At(10))) ==
            std::vector<QueueTicket>{ 4 });
    }
  }
  SECTION("a request whose expected wait exceeds its deadline is refused on arrival")
  {
    for (QueueTicket ticket = 2; ticket < 12; ++ticket) {
      REQUIRE(Step(state, Arrival(ticket, Priority::kNormal, 60'000), kStart).empty());
    }
    // Ten requests of 100 tokens take 20 s at 50 tokens per second.
    CHECK(RefusedIn(Step(state, Arrival(12, Priority::kNormal, 61'000), kStart)).empty());
    const auto refused = RefusedIn(Step(state, Arrival(13, Priority::kDeferrable, 15'000), kStart));
    CHECK(refused.empty());
    const auto late = Arrival(14, Priority::kNormal, 60'000);
    state.mWorkPerSlotMs /= 10;
    CHECK(RefusedIn(Step(state, late, kStart)).size() == 1);
  }
}

TEST_CASE("The queue is full")
{
  AdmissionState state = StateWith({ .mSlots = 1, .mMaxQueued = 4 });
  for (QueueTicket ticket = 1; ticket <= 5; ++ticket) {
    Step(state, Arrival(ticket, Priority::kNormal, 60'000), kStart);
  }
  SECTION("the account that filled it is refused")
  {
    const auto refused = RefusedIn(Step(state, Arrival(6, Priority::kNormal, 60'000), kStart));
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().mTicket == 6);
    CHECK(refused.front().mReason == AdmissionRefusal::kQueueFull);
  }
  SECTION("a request of another account replaces one of that account")
  {
    RequestArrived other = Arrival(6, Priority::kNormal, 60'000);
    other.mAccount = ClientAccountId{ "clubs" };
    const auto refused = RefusedIn(Step(state, other, kStart));
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().mTicket == 5);
    CHECK(state.mQueue.mPlaces.contains(6));
  }
}

TEST_CASE("An account has a limit over all hosts")
{
  AdmissionState state = StateWith({ .mSlots = 1000 });
  Step(state, HostViewChanged{ { .mAlive = Hosts(2, 9) } }, kStart);
  RequestArrived arrival = Arrival(1, Priority::kNormal, 60'000);
  arrival.mAccountLimit = 18;
  // This host's share of 18 requests per second is two per second.
  CHECK(AdmittedIn(Step(state, arrival, kStart)).size() == 1);
  CHECK(AdmittedIn(Step(state, arrival, kStart)).size() == 1);
  const auto refused = RefusedIn(Step(state, arrival, kStart));
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().mReason == AdmissionRefusal::kAccountLimit);
  CHECK(refused.front().mRetryAt <= At(502));

  SECTION("a request at the retry time of the refusal is admitted")
  {
    CHECK(AdmittedIn(Step(state, arrival, refused.front().mRetryAt)).size() == 1);
  }
  SECTION("the share grows when a few hosts disappear")
  {
    Step(state, HostViewChanged{ { .mAlive = Hosts(2, 6) } }, kStart);
    CHECK(ShareOf(state.mShare, kStart) == Approx(1.0 / 6));
  }
  SECTION("a host that is cut off from most others keeps its last share")
  {
    Step(state, HostViewChanged{ { .mAlive = Hosts(2, 3) } }, kStart);
    CHECK(ShareOf(state.mShare, kStart) == Approx(1.0 / 9));
    SECTION("even if whole zones are missing")
    {
      state.mShare.mOtherZones[AvailabilityZoneId{ "zone-b" }] = 9;
      Step(state, HostViewChanged{ { .mAlive = Hosts(2, 9) } }, kStart);
      CHECK(ShareOf(state.mShare, kStart) == Approx(1.0 / 18));
    }
    SECTION("and updates its share when it is in contact with them again")
    {
      Step(state, HostViewChanged{ { .mAlive = Hosts(2, 8), .mLeaving = Hosts(9, 9) } }, kStart);
      CHECK(ShareOf(state.mShare, kStart) == Approx(1.0 / 8));
    }
  }
}

TEST_CASE("The busiest minute has a budget")
{
  AdmissionState state = StateWith({ .mSlots = 1000, .mPeakWorkPerMinute = 6000 });
  REQUIRE(AdmittedIn(Step(state, Arrival(1, Priority::kUrgent, 60'000), kStart)).size() == 1);
  REQUIRE(Step(state, Arrival(2, Priority::kDeferrable, 60'000), kStart).empty());

  SECTION("deferrable requests wait for headroom and urgent ones do not")
  {
    REQUIRE(AdmittedIn(Step(state, AdmissionTimerExpired{}, At(10))) ==
            std::vector<QueueTicket>{ 2 });
    REQUIRE(Step(state, Arrival(3, Priority::kDeferrable, 60'000), At(10)).empty());
    CHECK(AdmittedIn(Step(state, Arrival(4, Priority::kUrgent, 60'000), At(10))) ==
          std::vector<QueueTicket>{ 4 });
    CHECK(NextTimer(state, At(10)) < At(2000));
    // The headroom is about 90 tokens per second, and request 2 consumed 100.
    CHECK(AdmittedIn(Step(state, AdmissionTimerExpired{}, At(500))).empty());
    CHECK(AdmittedIn(Step(state, AdmissionTimerExpired{}, At(2000))) ==
          std::vector<QueueTicket>{ 3 });
  }
  SECTION("a deferrable request waits while the other hosts use the whole budget")
  {
    Step(state, HostViewChanged{ { .mAlive = Hosts(2, 2) } }, kStart);
    Step(state,
         DemandReceived{ .mDemand = { .mHost = HostNumber(2), .mUndeferredPerMinute = 7000 } },
         kStart);
    Step(state, AdmissionTimerExpired{}, kStart);
    CHECK(AdmittedIn(Step(state, AdmissionTimerExpired{}, At(30'000))).empty());
    SECTION("until it must run to meet its deadline")
    {
      CHECK(AdmittedIn(Step(state, AdmissionTimerExpired{}, At(36'500))) ==
            std::vector<QueueTicket>{ 2 });
    }
  }
}

TEST_CASE("Retries are limited to a fraction of the requests")
{
  HostRetryBudget budget;
  int retries = 0;
  while (ConsumeRetry(budget)) {
    ++retries;
  }
  CHECK(retries == 50);
  for (int i = 0; i < 100; ++i) {
    CountHostRequest(budget);
    retries += ConsumeRetry(budget) ? 1 : 0;
  }
  CHECK(retries >= 69);
  CHECK(retries <= 70);
}

} // namespace
} // namespace trefoil
