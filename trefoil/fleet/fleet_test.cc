#include "trefoil/fleet/capacity.h"
#include "trefoil/fleet/order.h"
#include "trefoil/fleet/purchase.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

namespace trefoil {
namespace {

const Instant kStart{};

TEST_CASE("A server is ordered to run a version")
{
  const ServerTask wanted{ .mVersion = VersionId{ "v2" } };
  OrderState order = MakeOrder(BackendServerId{ "engine-1" }, wanted, 1);
  const OrderTick tick{ .mMayAct = true, .mFencing = 7 };
  REQUIRE(std::holds_alternative<ReadIntent>(Step(order, tick, kStart).at(0)));
  Step(order, IntentRead{}, kStart);
  const auto write = Step(order, tick, kStart);
  REQUIRE(std::get<WriteIntent>(write.at(0)).mIntent.mFencing == 7);

  SECTION("only after its intent stands in the store")
  {
    CHECK(Step(order, tick, kStart).empty());
    Step(order, IntentWritten{ .mRevision = 3 }, kStart);
    CHECK(std::get<SendOrder>(Step(order, tick, kStart).at(0)).mIntent.mTask == wanted);

    SECTION("and not again while it may still obey")
    {
      CHECK(Step(order, tick, kStart + Milliseconds{ 1000 }).empty());
    }
    SECTION("and no more once it reports the version")
    {
      Step(order, TaskReported{ .mTask = wanted }, kStart);
      CHECK(Step(order, tick, kStart + Milliseconds{ 90'000 }).empty());
    }
  }
  SECTION("not by a host that may not act")
  {
    Step(order, IntentWritten{ .mRevision = 3 }, kStart);
    CHECK(Step(order, OrderTick{ .mMayAct = false }, kStart).empty());
    SECTION("which reads the intent anew before it acts again")
    {
      CHECK(std::holds_alternative<ReadIntent>(Step(order, tick, kStart).at(0)));
    }
  }
  SECTION("and a successor writes its own intent with its own number")
  {
    OrderState successor = MakeOrder(BackendServerId{ "engine-1" }, wanted, 2);
    const OrderTick later{ .mMayAct = true, .mFencing = 9 };
    Step(successor, later, kStart);
    Step(successor,
         IntentRead{ .mIntent = { .mNumber = 1, .mFencing = 7, .mTask = wanted }, .mRevision = 3 },
         kStart);
    const auto effects = Step(successor, later, kStart);
    const auto& intent = std::get<WriteIntent>(effects.at(0)).mIntent;
    CHECK(intent.mFencing == 9);
    CHECK(intent.mNumber == 2);
  }
}

enum class Answer
{
  kArrives,
  // The call takes effect and its answer is lost.
  kLost,
  // The call does not arrive.
  kNotSent,
  // The cloud API starts no host.
  kRefused,
};

// The store and the cloud API.
struct Platform
{
  PurchaseRecord mRecord;
  std::uint64_t mRevision = 0;
  // Hosts started by token.
  std::map<std::uint64_t, int> mStarted;
};

std::optional<PurchaseEvent>
Serve(Platform& aPlatform, const ReadPurchase&, Answer)
{
  return PurchaseRead{ .mRecord = aPlatform.mRecord, .mRevision = aPlatform.mRevision };
}

std::optional<PurchaseEvent>
Serve(Platform& aPlatform, const WritePurchase& aWrite, Answer)
{
  if (aWrite.mExpected != aPlatform.mRevision) {
    return PurchaseUnknown{};
  }
  aPlatform.mRecord = aWrite.mRecord;
  return PurchaseWritten{ .mRecord = aWrite.mRecord, .mRevision = ++aPlatform.mRevision };
}

std::optional<PurchaseEvent>
Serve(Platform& aPlatform, const StartHosts& aCall, Answer aAnswer)
{
  const bool refused = aAnswer == Answer::kRefused && !aPlatform.mStarted.contains(aCall.mToken);
  const int count = refused ? 0 : aCall.mCount;
  if (!refused) {
    aPlatform.mStarted.try_emplace(aCall.mToken, count);
  }
  return HostsStarted{ .mToken = aCall.mToken, .mCount = count };
}

int
StartedOf(const Platform& aPlatform)
{
  int started = 0;
  for (const auto& [token, count] : aPlatform.mStarted) {
    started += count;
  }
  return started;
}

TEST_CASE("No host is bought twice")
{
  std::uint64_t bought = 0;
  const bool holds = rc::check([&bought] {
    Platform platform;
    // Two hosts that take turns as the holder, each from what it last knew.
    std::vector<PurchaseState> holders(2);
    std::uint64_t token = 0;
    constexpr int kWanted = 5;
    const auto answers = *rc::gen::container<std::vector<Answer>>(
      60, rc::gen::element(Answer::kArrives, Answer::kLost, Answer::kNotSent, Answer::kRefused));
    const auto turns =
      *rc::gen::container<std::vector<std::size_t>>(60, rc::gen::inRange<std::size_t>(0, 2));
    Instant now = kStart;
    for (std::size_t i = 0; i < answers.size(); ++i) {
      now += Milliseconds{ 4'000 };
      PurchaseState& holder = holders[turns[i]];
      const PurchaseTick tick{ .mMayAct = true, .mWanted = kWanted, .mFreshToken = ++token };
      auto effects = Step(holder, tick, now);
      while (!effects.empty() && answers[i] != Answer::kNotSent) {
        const auto event = std::visit(
          [&](const auto& aKind) { return Serve(platform, aKind, answers[i]); }, effects.front());
        effects.clear();
        if (answers[i] != Answer::kLost && event.has_value()) {
          effects = Step(holder, *event, now);
        }
      }
      RC_ASSERT(StartedOf(platform) <= kWanted);
    }
    bought += static_cast<std::uint64_t>(StartedOf(platform));
  });
  CHECK(holds);
  CHECK(bought > 100);
}

TEST_CASE("Hosts are wanted so that a wave leaves enough")
{
  std::vector<HostOffer> offers;
  for (const char* zone : { "zone-a", "zone-b", "zone-c", "zone-d" }) {
    offers.push_back({ .mZone = AvailabilityZoneId{ zone }, .mPricePerHour = 1.0, .mMax = 20 });
    offers.push_back({ .mZone = AvailabilityZoneId{ zone },
                       .mPriceClass = PriceClass::kOnDemand,
                       .mPricePerHour = 2.5,
                       .mMax = 20 });
  }
  SECTION("urgent work is served after a zone's worth or 53 in 100 are gone")
  {
    const auto hosts = PlanCapacity(offers, { .mUrgentHosts = 8, .mAllHosts = 20 });
    CHECK(HostsAfterWave(hosts) >= 8);
    SECTION("and no zone holds much more than its part")
    {
      for (const HostCount& host : hosts) {
        CHECK(host.mCount <= 7);
      }
    }
  }
  SECTION("whatever the prices, as far as the offers reach")
  {
    const bool holds = rc::check([&offers] {
      auto priced = offers;
      for (HostOffer& offer : priced) {
        offer.mPricePerHour = *rc::gen::inRange(50, 400) / 100.0;
      }
      const int urgent = *rc::gen::inRange(1, 20);
      const int all = *rc::gen::inRange(1, 40);
      const auto hosts = PlanCapacity(priced, { .mUrgentHosts = urgent, .mAllHosts = all });
      RC_ASSERT(HostsAfterWave(hosts) >= urgent);
    });
    CHECK(holds);
  }
}

} // namespace
} // namespace trefoil
