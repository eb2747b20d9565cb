#include "trefoil/routing/routing_state.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>
#include <string>

namespace trefoil {
namespace {

const Instant kStart{ Milliseconds{ 1'000'000 } };
// When a prompt sent at kStart has been processed.
const Instant kLater = kStart + Milliseconds{ 1000 };

BackendServerId
ServerNumber(std::size_t aNumber)
{
  return BackendServerId{ "engine-" + std::to_string(aNumber) };
}

std::vector<RoutableServer>
Servers(std::size_t aCount)
{
  std::vector<RoutableServer> servers;
  for (std::size_t i = 0; i < aCount; ++i) {
    servers.push_back(
      { .mServer = ServerNumber(i), .mVersion = VersionId{ "v1" }, .mNear = i % 4 == 0 });
  }
  return servers;
}

RoutingState
StateOf(const std::vector<RoutableServer>& aServers)
{
  RoutingState state = MakeRoutingState({ .mMaxPrefixMarks = 1024 });
  SetServers(state, aServers);
  return state;
}

TEST_CASE("A long prompt is routed")
{
  const std::size_t count = GENERATE(20, 500);
  RoutingState state = StateOf(Servers(count));
  const PrefixMarks marks = MarkPrefixes(std::string(40 * kPrefixBlockBytes, 'x'));
  const RoutingRequest request{ .mMarks = &marks,
                                .mPromptTokens = 40 * kPrefixBlockTokens,
                                .mExpectedTokens = 100 };
  const ServerSlot first = ChooseServer(state, RoutingPolicy::kScored, request, 5, kStart).value();
  RecordPlacement(state, first, request, kStart);

  SECTION("a request with the same prefix follows it, whatever the random number")
  {
    for (std::uint64_t random = 0; random < 50; ++random) {
      CHECK(ChooseServer(state, RoutingPolicy::kScored, request, random, kLater) == first);
    }
    SECTION("unless the server says that it dropped the prefix")
    {
      Drop(state.mPrefixes, marks, first);
      CHECK(ExpectedCachedTokens(state.mPrefixes, marks, first, kLater) == 0);
      // Hosts without news agree on a server by its name, which may be the same one again.
      state.mOptions.mWeights.mAgreementWeight = 0;
      CHECK(ChooseServer(state, RoutingPolicy::kScored, request, 1, kLater) != first);
    }
    SECTION("unless its queue is longer than the prefix is worth")
    {
      ApplyReport(state.mServers[first].mLoad, { .mRunning = 9, .mQueuedTokens = 90'000 }, kLater);
      CHECK(ChooseServer(state, RoutingPolicy::kScored, request, 1, kLater) != first);
    }
    SECTION("unless it may take no new work")
    {
      auto servers = Servers(count);
      servers[first].mAvailable = false;
      SetServers(state, servers);
      CHECK(ChooseServer(state, RoutingPolicy::kScored, request, 1, kLater) != first);
    }
  }
  SECTION("while it is still being processed there, one goes elsewhere rather than wait for it")
  {
    CHECK(ChooseServer(state, RoutingPolicy::kScored, request, 1, kStart) != first);
  }
  SECTION("another host that has no news of it agrees on the server, among all it compares")
  {
    const RoutingState other = StateOf(Servers(20));
    const auto chosen = ChooseServer(other, RoutingPolicy::kScored, request, 1, kStart);
    CHECK(ChooseServer(other, RoutingPolicy::kScored, request, 99, kStart) == chosen);
  }
  SECTION("old news of the prefix count less")
  {
    const double fresh = ExpectedCachedTokens(state.mPrefixes, marks, first, kStart);
    const double old =
      ExpectedCachedTokens(state.mPrefixes, marks, first, kStart + Milliseconds{ 600'000 });
    CHECK(fresh > 32 * kPrefixBlockTokens * 0.8);
    CHECK(old < fresh / 50);
  }
}

TEST_CASE("A server's late load report is corrected by the host's own requests")
{
  TrackedLoad load;
  for (const int startMs : { 0, 50 }) {
    RecordOwnStart(load, kStart + Milliseconds{ startMs });
    RecordOwnQueued(load, 1000, kStart + Milliseconds{ startMs });
  }

  SECTION("before any report only they count")
  {
    CHECK(EstimateLoad(load, 10, kStart + Milliseconds{ 50 }).mRunning == Approx(2));
    CHECK(EstimateLoad(load, 10, kStart + Milliseconds{ 50 }).mQueuedTokens == Approx(1500));
  }
  SECTION("a report includes those that started before it was measured, and no others")
  {
    ApplyReport(load, { .mRunning = 5, .mQueuedTokens = 400 }, kStart + Milliseconds{ 20 });
    CHECK(EstimateLoad(load, 10, kStart + Milliseconds{ 50 }).mRunning == Approx(6));
    CHECK(EstimateLoad(load, 10, kStart + Milliseconds{ 50 }).mQueuedTokens == Approx(1100));

    SECTION("an older report changes nothing")
    {
      ApplyReport(load, { .mRunning = 50 }, kStart + Milliseconds{ 10 });
      CHECK(EstimateLoad(load, 10, kStart + Milliseconds{ 50 }).mRunning == Approx(6));
    }
    SECTION("it expires")
    {
      CHECK(EstimateLoad(load, 10, kStart + Milliseconds{ 60'000 }).mRunning == Approx(2));
    }
  }
}

TEST_CASE("What a request costs on a server")
{
  const ScoreWeights weights;
  const RequestCost review{ .mUncachedTokens = 8000, .mExpectedTokens = 1500 };
  const RequestCost query{ .mUncachedTokens = 200, .mExpectedTokens = 20 };

  SECTION("long work pays for a server that is not reclaimed, short work does not")
  {
    const ServerCost risky{ .mReclaimsPerHour = 40 };
    const ServerCost safe{ .mPrice = 2 };
    CHECK(Score(weights, review, safe) < Score(weights, review, risky));
    CHECK(Score(weights, query, safe) > Score(weights, query, risky));
  }
  SECTION("a nearer server is better, other things being equal")
  {
    CHECK(Score(weights, query, {}) < Score(weights, query, { .mDistanceMs = 3 }));
  }
}

TEST_CASE("Versions receive their weights")
{
  auto servers = Servers(40);
  for (std::size_t i = 0; i < 10; ++i) {
    servers[i].mVersion = VersionId{ "v2" };
  }
  RoutingState state = StateOf(servers);
  std::vector<VersionWeight> weights{ { .mVersion = VersionId{ "v1" }, .mWeight = 99 },
                                      { .mVersion = VersionId{ "v2" }, .mWeight = 1 } };

  SECTION("one in a hundred means one in a hundred")
  {
    int second = 0;
    for (std::uint64_t random = 0; random < 10'000; ++random) {
      const auto slot =
        ChooseServer(state, RoutingPolicy::kScored, { .mVersions = weights }, random, kStart);
      second += state.mServers[slot.value()].mSpec.mVersion == VersionId{ "v2" } ? 1 : 0;
    }
    CHECK(second > 60);
    CHECK(second < 140);
  }
  SECTION("a version without a weight receives nothing, even if the other is down")
  {
    weights[1].mWeight = 0;
    for (RoutableServer& server : servers) {
      server.mAvailable = server.mVersion == VersionId{ "v2" };
    }
    SetServers(state, servers);
    CHECK_FALSE(
      ChooseServer(state, RoutingPolicy::kScored, { .mVersions = weights }, 1, kStart).has_value());
  }
}

TEST_CASE("Servers come and go")
{
  RoutingState state = StateOf(Servers(3));
  const ServerSlot kept = FindSlot(state, ServerNumber(2)).value();
  RecordOwnStart(state.mServers[kept].mLoad, kStart);
  RecordOwnStart(state.mServers[FindSlot(state, ServerNumber(0)).value()].mLoad, kStart);
  auto servers = Servers(6);
  servers.erase(servers.begin(), servers.begin() + 2);
  SetServers(state, servers);

  CHECK(FindSlot(state, ServerNumber(2)) == kept);
  CHECK(state.mServers[kept].mLoad.mOwnInFlight == 1);
  CHECK_FALSE(FindSlot(state, ServerNumber(1)).has_value());
  SECTION("one that left keeps its slot until its requests have ended")
  {
    const ServerSlot leaving = FindSlot(state, ServerNumber(0)).value();
    RecordOwnEnd(state.mServers[leaving].mLoad, kStart);
    SetServers(state, servers);
    CHECK_FALSE(FindSlot(state, ServerNumber(0)).has_value());
  }
}

// A choice among servers of which some may not be chosen.
void
CheckChoice(RoutingPolicy aPolicy)
{
  std::vector<RoutableServer> servers = Servers(*rc::gen::inRange<std::size_t>(1, 80));
  const auto available =
    *rc::gen::container<std::vector<int>>(servers.size(), rc::gen::inRange(0, 2));
  for (std::size_t i = 0; i < servers.size(); ++i) {
    servers[i].mAvailable = available[i] == 1;
    servers[i].mVersion = VersionId{ i % 3 == 0 ? "v2" : "v1" };
  }
  RoutingState state = StateOf(servers);
  const PrefixMarks marks = MarkPrefixes(std::string(5 * kPrefixBlockBytes, 'p'));
  const auto holders = *rc::gen::container<std::vector<ServerSlot>>(
    3, rc::gen::inRange<ServerSlot>(0, static_cast<ServerSlot>(servers.size())));
  for (const ServerSlot slot : holders) {
    Hold(state.mPrefixes, marks, { .mSlot = slot }, kStart);
  }
  const std::vector<VersionWeight> weights{ { .mVersion = VersionId{ "v1" }, .mWeight = 1 } };
  const RoutingRequest request{ .mMarks = &marks,
                                .mPromptTokens = 320,
                                .mExcluded = std::span{ holders }.first(1),
                                .mVersions = weights };
  const auto allowed = [&](const RoutedServer& aServer) {
    return aServer.mSpec.mAvailable && aServer.mSpec.mVersion == VersionId{ "v1" } &&
           &aServer != &state.mServers[holders.front()];
  };
  const auto slot =
    ChooseServer(state, aPolicy, request, *rc::gen::arbitrary<std::uint64_t>(), kStart);
  RC_ASSERT(slot.has_value() == std::ranges::any_of(state.mServers, allowed));
  if (slot.has_value()) {
    RC_ASSERT(allowed(state.mServers[*slot]));
  }
}

TEST_CASE("A choice is among the allowed servers, and is made if there is one")
{
  for (const auto& policy : kRoutingPolicyNames) {
    CHECK(rc::check([&policy] { CheckChoice(policy.mValue); }));
  }
}

} // namespace
} // namespace trefoil
