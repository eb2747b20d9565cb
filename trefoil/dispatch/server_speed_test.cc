#include "trefoil/dispatch/server_choice.h"
#include "trefoil/dispatch/server_speed.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace trefoil {
namespace {

const Instant kNow{ std::chrono::hours{ 1 } };

// Guards against long prompts at slow servers, whose streams then pause for longer than the goal
// (late in calm, skrb: a quarter of the servers has half of the others' speed).
SCENARIO("a quarter of a service's servers take twice as long for an event")
{
  ServerSpeed slow;
  ServerSpeed fast;
  const auto observe = [&](double aEvents, Instant aNow) {
    RecordEvents(slow, { .mEvents = aEvents, .mSeconds = aEvents * 0.1 }, aNow);
    RecordEvents(fast, { .mEvents = aEvents, .mSeconds = aEvents * 0.05 }, aNow);
  };
  const EventTotals service{ .mEvents = 10'000, .mSeconds = 625 };
  GIVEN("no observation")
  {
    CHECK(Slowness(slow, service, kNow) == Approx(1));
    CHECK(Slowness(slow, {}, kNow) == Approx(1));
  }
  GIVEN("few events of each")
  {
    observe(3, kNow);
    THEN("they are hardly told apart")
    {
      CHECK(Slowness(slow, service, kNow) < 1.1);
      CHECK(Slowness(fast, service, kNow) > 0.9);
    }
  }
  GIVEN("many events of each")
  {
    observe(2'000, kNow);
    THEN("the slow one is known to take 1.6 times as long as the mean")
    {
      CHECK(Slowness(slow, service, kNow) == Approx(1.6).margin(0.02));
      CHECK(Slowness(fast, service, kNow) == Approx(0.8).margin(0.02));
    }
    WHEN("it has become fast")
    {
      const Instant later = kNow + std::chrono::seconds{ 40 };
      RecordEvents(slow, { .mEvents = 2'000, .mSeconds = 100 }, later);
      THEN("the old observations hardly count")
      {
        CHECK(Slowness(slow, service, later) < 0.85);
      }
    }
    WHEN("nothing is observed for a minute")
    {
      const Instant later = kNow + std::chrono::minutes{ 2 };
      THEN("it is taken to be like the others again")
      {
        CHECK(Slowness(slow, service, later) == Approx(1).margin(0.01));
      }
    }
  }
}

SCENARIO("a session's first server is slow")
{
  std::vector<RegisteredServer> servers(12);
  std::vector<ServerStatus> statuses(servers.size());
  std::vector<ServerCandidate> candidates;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    servers[i].mId = BackendServerId{ fmt::format("engine-{}", i) };
    candidates.push_back({ .mServer = &servers[i], .mServerStatus = &statuses[i] });
  }
  ChoiceParameters parameters{ .mCacheKey = "session", .mSharedTokens = 350, .mOwnTokens = 1'100 };
  const std::size_t preferred = *ChooseServer(candidates, parameters, kNow);
  candidates[preferred].mSlowness = 2;
  WHEN("a short prompt arrives")
  {
    THEN("it stays, since its prefill takes little time there")
    {
      CHECK(ChooseServer(candidates, parameters, kNow) == preferred);
    }
  }
  WHEN("a long prompt arrives")
  {
    parameters.mSharedTokens = 13'000;
    parameters.mOwnTokens = 4'000;
    THEN("it goes to a faster server")
    {
      CHECK(ChooseServer(candidates, parameters, kNow) != preferred);
    }
    THEN("it stays if its shared parts are cached there and nowhere else")
    {
      candidates[preferred].mHoldsCache = true;
      CHECK(ChooseServer(candidates, parameters, kNow) == preferred);
    }
  }
}

} // namespace
} // namespace trefoil
