// Sends requests through entry hosts to backend servers that warm up.
#include "tests/forward_path/test_gateway.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace trefoil {
namespace {

// The rate that a cold server bears, and what the platform tolerates in a second beyond it.
constexpr double kPerSecond = 4;
constexpr double kMostInASecond = 1.5 * kPerSecond + 5;
constexpr Milliseconds kWarmUpTime{ 2'500 };

// A backend server that keeps the time of each request.
class TimedServer
{
public:
  const ScriptedServer& Server() const { return mServer; }

  std::size_t Received() const
  {
    const absl::MutexLock lock{ &mMutex };
    return mArrivals.size();
  }

  // Returns the largest number of requests in a second.
  std::size_t LargestSecond() const
  {
    const absl::MutexLock lock{ &mMutex };
    std::size_t largest = 0;
    for (const Instant start : mArrivals) {
      largest = std::max(
        largest, static_cast<std::size_t>(std::ranges::count_if(mArrivals, [start](Instant aAt) {
          return aAt >= start && aAt - start <= Milliseconds{ 1'000 };
        })));
    }
    return largest;
  }

private:
  mutable absl::Mutex mMutex;
  std::vector<Instant> mArrivals ABSL_GUARDED_BY(mMutex);
  ScriptedServer mServer{ [this](const ReceivedRequest& aRequest) {
    const absl::MutexLock lock{ &mMutex };
    mArrivals.push_back(SuspendAwareNow());
    return AnswerSuccess(aRequest);
  } };
};

// Publishes that the server has restarted and is cold.
void
Restart(Gateway& aGateway, const char* aName, Milliseconds aWarmUpTime = kWarmUpTime)
{
  RegisteredServer& server = aGateway.mServers.mServers.at(BackendServerId{ aName });
  ++server.mRevision;
  ++server.mIncarnation;
  server.mRemainingWarmUp = aWarmUpTime;
  aGateway.Publish();
}

void
LimitColdServers(Gateway& aGateway)
{
  aGateway.mCatalogue.mServices[ServiceId{ "s" }] = { .mName = ServiceId{ "s" },
                                                      .mWarmUpTime = kWarmUpTime,
                                                      .mWarmUpPerSecond = kPerSecond };
}

// Sends requests one after the other, to the gateways in turn, for `aTime`, and returns the
// answers.
std::vector<ReceivedAnswer>
AskFor(const std::vector<Gateway*>& aGateways, Milliseconds aTime, const char* aRoute = "write")
{
  std::vector<ReceivedAnswer> answers;
  const Instant end = SuspendAwareNow() + aTime;
  while (!HasPassed(end, SuspendAwareNow())) {
    const Gateway& gateway = *aGateways[answers.size() % aGateways.size()];
    answers.push_back(gateway.Ask(aRoute, fmt::format("id-{}", answers.size())));
  }
  return answers;
}

bool
AreServed(const std::vector<ReceivedAnswer>& aAnswers)
{
  return std::ranges::all_of(aAnswers,
                             [](const ReceivedAnswer& aAnswer) { return aAnswer.mStatus == 200; });
}

// Guards against a cold server that crashes, because the entry hosts send it more requests than it
// bears (COLD).
SCENARIO("a backend server restarts and warms up")
{
  const TimedServer cold;
  const TimedServer warm;
  Gateway gateway;
  LimitColdServers(gateway);
  gateway.AddServer("e1", cold.Server());
  gateway.Publish();
  GIVEN("another server that is warm")
  {
    gateway.AddServer("e2", warm.Server());
    Restart(gateway, "e1");
    THEN("all requests are served, and the cold server gets few of them")
    {
      CHECK(AreServed(AskFor({ &gateway }, Milliseconds{ 2'000 })));
      CHECK(static_cast<double>(cold.LargestSecond()) <= kMostInASecond);
    }
    THEN("it gets its share again when it is warm")
    {
      AskFor({ &gateway }, kWarmUpTime);
      const std::size_t before = cold.Received();
      CHECK(AreServed(AskFor({ &gateway }, Milliseconds{ 300 })));
      CHECK(cold.Received() - before > 10);
    }
  }
  GIVEN("no other server")
  {
    REQUIRE(AreServed(AskFor({ &gateway }, Milliseconds{ 200 })));
    Restart(gateway, "e1");
    const std::size_t before = cold.Received();
    WHEN("clients go on sending requests")
    {
      const std::vector<ReceivedAnswer> answers = AskFor({ &gateway }, Milliseconds{ 2'000 });
      THEN("the server gets what it bears, and the rest is rejected as not run")
      {
        const std::size_t received = cold.Received() - before;
        CHECK(received >= 1);
        CHECK(static_cast<double>(received) <= 2 * kMostInASecond);
        CHECK(static_cast<std::size_t>(
                std::ranges::count(answers, 200, &ReceivedAnswer::mStatus)) == received);
        CHECK(gateway.Metric("trefoil_warm_up_permits_refused_total") > 0);
      }
      THEN("the rejected clients are told when to return")
      {
        const auto rejected = std::ranges::find(answers, 503, &ReceivedAnswer::mStatus);
        REQUIRE(rejected != answers.end());
        CHECK(rejected->mBody == "servers_limited\n");
        CHECK_FALSE(HeaderValue(rejected->mHeaders, "Retry-After").empty());
      }
    }
    WHEN("a later entry states that the server is warm")
    {
      Restart(gateway, "e1", Milliseconds{ 0 });
      THEN("all requests are served at once")
      {
        CHECK(AreServed(AskFor({ &gateway }, Milliseconds{ 200 })));
      }
    }
    WHEN("the configuration states no rate any more")
    {
      gateway.mCatalogue.mServices.clear();
      gateway.Publish();
      THEN("all requests are served at once")
      {
        CHECK(AreServed(AskFor({ &gateway }, Milliseconds{ 200 })));
      }
    }
  }
  GIVEN("another server that breaks off all requests")
  {
    const ScriptedServer broken{ [](const ReceivedRequest& /*aRequest*/) {
      return Reply{ .mClose = true };
    } };
    gateway.AddServer("e2", broken);
    Restart(gateway, "e1");
    AskFor({ &gateway }, Milliseconds{ 2'000 }, "read");
    THEN("repeats do not exceed the limit of the cold one, either")
    {
      CHECK(static_cast<double>(cold.LargestSecond()) <= kMostInASecond);
    }
  }
}

// Guards against hosts that each keep to the limit, but not all together (COLD).
SCENARIO("entry hosts that do not reach each other use a server that warms up")
{
  const TimedServer cold;
  std::vector<std::unique_ptr<Gateway>> hosts;
  std::vector<Gateway*> gateways;
  for (const char* name : { "host-1", "host-2", "host-3" }) {
    gateways.push_back(
      hosts.emplace_back(std::make_unique<Gateway>(GatewayOptions{ .mHost = name })).get());
    LimitColdServers(*gateways.back());
    gateways.back()->mHostList = { HostId{ "host-1" }, HostId{ "host-2" }, HostId{ "host-3" } };
    gateways.back()->AddServer("e1", cold.Server());
  }
  // Ends before the first host takes the server for warm, however long the others take to start.
  const Instant askedUntil = SuspendAwareNow() + Milliseconds{ 6'000 };
  for (Gateway* gateway : gateways) {
    Restart(*gateway, "e1", Milliseconds{ 8'000 });
  }
  THEN("no second exceeds the limit of all together")
  {
    AskFor(gateways, Remaining(askedUntil, SuspendAwareNow()));
    CHECK(cold.Received() > 0);
    CHECK(static_cast<double>(cold.LargestSecond()) <= kMostInASecond);
  }
}

} // namespace
} // namespace trefoil
