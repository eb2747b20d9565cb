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

TEST_CASE("An order makes a server run a version")
{
  const ServerTask desired{ .mVersion = VersionId{ "v2" } };
  ServerOrderState order = MakeOrder(BackendServerId{ "engine-1" }, desired, 1);
  const OrderTick tick{ .mMayAct = true, .mFencing = 7 };
  REQUIRE(std::holds_alternative<ReadIntent>(Step(order, tick, kStart).at(0)));
  Step(order, IntentRead{}, kStart);
  const auto write = Step(order, tick, kStart);
  REQUIRE(std::get<WriteIntent>(write.at(0)).mIntent.mFencing == 7);

  SECTION("it is sent only after its intent is stored")
  {
    CHECK(Step(order, tick, kStart).empty());
    Step(order, IntentWritten{ .mRevision = 3 }, kStart);
    CHECK(std::get<SendOrder>(Step(order, tick, kStart).at(0)).mIntent.mTask == desired);

    SECTION("it is not repeated before the server had time to report the task")
    {
      CHECK(Step(order, tick, kStart + Milliseconds{ 1000 }).empty());
    }
    SECTION("it is not repeated after the server reported the task")
    {
      Step(order, TaskReported{ .mTask = desired }, kStart);
      CHECK(Step(order, tick, kStart + Milliseconds{ 90'000 }).empty());
    }
  }
  SECTION("a host that may not act does not send it")
  {
    Step(order, IntentWritten{ .mRevision = 3 }, kStart);
    CHECK(Step(order, OrderTick{ .mMayAct = false }, kStart).empty());
    SECTION("and reads the intent again before it acts again")
    {
      CHECK(std::holds_alternative<ReadIntent>(Step(order, tick, kStart).at(0)));
    }
  }
  SECTION("the next holder writes an intent with its own fencing number")
  {
    ServerOrderState successor = MakeOrder(BackendServerId{ "engine-1" }, desired, 2);
    const OrderTick laterTick{ .mMayAct = true, .mFencing = 9 };
    Step(successor, laterTick, kStart);
    Step(successor,
         IntentRead{ .mIntent = { .mNumber = 1, .mFencing = 7, .mTask = desired }, .mRevision = 3 },
         kStart);
    const auto effects = Step(successor, laterTick, kStart);
    const auto& intent = std::get<WriteIntent>(effects.at(0)).mIntent;
    CHECK(intent.mFencing == 9);
    CHECK(intent.mNumber == 2);
  }
}

enum class CallOutcome
{
  kAnswered,
  // The call takes effect, but its answer is lost.
  kAnswerLost,
  // The call is lost and has no effect.
  kCallLost,
  // The cloud API starts no host.
  kRefused,
};

// A fake of the store and the cloud API.
struct FakePlatform
{
  PurchaseRecord mRecord;
  std::uint64_t mRevision = 0;
  // The number of started hosts by token.
  std::map<std::uint64_t, int> mStarted;
};

std::optional<PurchaseEvent>
HandleCall(FakePlatform& aPlatform, const ReadPurchase&, CallOutcome)
{
  return PurchaseRead{ .mRecord = aPlatform.mRecord, .mRevision = aPlatform.mRevision };
}

std::optional<PurchaseEvent>
HandleCall(FakePlatform& aPlatform, const WritePurchase& aWrite, CallOutcome)
{
  if (aWrite.mExpectedRevision != aPlatform.mRevision) {
    return PurchaseCallFailed{};
  }
  aPlatform.mRecord = aWrite.mRecord;
  return PurchaseWritten{ .mRecord = aWrite.mRecord, .mRevision = ++aPlatform.mRevision };
}

std::optional<PurchaseEvent>
HandleCall(FakePlatform& aPlatform, const StartHosts& aCall, CallOutcome aOutcome)
{
  const bool refused =
    aOutcome == CallOutcome::kRefused && !aPlatform.mStarted.contains(aCall.mToken);
  const int count = refused ? 0 : aCall.mCount;
  if (!refused) {
    aPlatform.mStarted.try_emplace(aCall.mToken, count);
  }
  return HostsStarted{ .mToken = aCall.mToken, .mCount = count };
}

int
TotalStarted(const FakePlatform& aPlatform)
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
    FakePlatform platform;
    // Two hosts hold the duty in random alternation, each with the state that it had before.
    std::vector<PurchaseState> holders(2);
    std::uint64_t token = 0;
    constexpr int kDesiredHosts = 5;
    const auto outcomes =
      *rc::gen::container<std::vector<CallOutcome>>(60,
                                                    rc::gen::element(CallOutcome::kAnswered,
                                                                     CallOutcome::kAnswerLost,
                                                                     CallOutcome::kCallLost,
                                                                     CallOutcome::kRefused));
    const auto holderIndices =
      *rc::gen::container<std::vector<std::size_t>>(60, rc::gen::inRange<std::size_t>(0, 2));
    Instant now = kStart;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      now += Milliseconds{ 4'000 };
      PurchaseState& holder = holders[holderIndices[i]];
      const PurchaseTick tick{ .mMayAct = true,
                               .mDesiredHosts = kDesiredHosts,
                               .mUnusedToken = ++token };
      auto effects = Step(holder, tick, now);
      while (!effects.empty() && outcomes[i] != CallOutcome::kCallLost) {
        const auto event =
          std::visit([&](const auto& aKind) { return HandleCall(platform, aKind, outcomes[i]); },
                     effects.front());
        effects.clear();
        if (outcomes[i] != CallOutcome::kAnswerLost && event.has_value()) {
          effects = Step(holder, *event, now);
        }
      }
      RC_ASSERT(TotalStarted(platform) <= kDesiredHosts);
    }
    bought += static_cast<std::uint64_t>(TotalStarted(platform));
  });
  CHECK(holds);
  CHECK(bought > 100);
}

TEST_CASE("The planned hosts are enough after a wave of reclaims")
{
  std::vector<HostOffer> offers;
  for (const char* zone : { "zone-a", "zone-b", "zone-c", "zone-d" }) {
    offers.push_back(
      { .mZone = AvailabilityZoneId{ zone }, .mPricePerHour = 1.0, .mMaxHosts = 20 });
    offers.push_back({ .mZone = AvailabilityZoneId{ zone },
                       .mPriceClass = PriceClass::kOnDemand,
                       .mPricePerHour = 2.5,
                       .mMaxHosts = 20 });
  }
  SECTION(
    "urgent work is served after the loss of a zone or of 53 percent of the reclaimable hosts")
  {
    const auto hosts = PlanCapacity(offers, { .mUrgentHosts = 8, .mTotalHosts = 20 });
    CHECK(HostsAfterReclaimWave(hosts) >= 8);
    SECTION("and the hosts are spread over the zones")
    {
      for (const HostCount& host : hosts) {
        CHECK(host.mCount <= 7);
      }
    }
  }
  SECTION("for random prices too, while the offers are large enough")
  {
    const bool holds = rc::check([&offers] {
      auto priced = offers;
      for (HostOffer& offer : priced) {
        offer.mPricePerHour = *rc::gen::inRange(50, 400) / 100.0;
      }
      const int urgent = *rc::gen::inRange(1, 20);
      const int total = *rc::gen::inRange(1, 40);
      const auto hosts = PlanCapacity(priced, { .mUrgentHosts = urgent, .mTotalHosts = total });
      RC_ASSERT(HostsAfterReclaimWave(hosts) >= urgent);
    });
    CHECK(holds);
  }
}

} // namespace
} // namespace trefoil
