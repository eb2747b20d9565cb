#include "trefoil/routing/routing_state.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>
#include <string>

namespace trefoil {
namespace {

const Instant kStart{ Milliseconds{ 1'000'000 } };
// A time at which a prompt that was sent at kStart has been prefilled.
const Instant kPrefilledAt = kStart + Milliseconds{ 1000 };

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
      { .mServer = ServerNumber(i), .mVersion = VersionId{ "v1" }, .mSameZone = i % 4 == 0 });
  }
  return servers;
}

RoutingState
StateOf(const std::vector<RoutableServer>& aServers)
{
  RoutingState state = MakeRoutingState({ .mMaxPrefixDigests = 1024 });
  SetServers(state, aServers);
  return state;
}

TEST_CASE("A long prompt is routed")
{
  const std::size_t count = GENERATE(20, 500);
  RoutingState state = StateOf(Servers(count));
  const PrefixDigests digests = DigestPrefixes(std::string(40 * kPrefixBlockBytes, 'x'));
  const RoutingRequest request{ .mPrefixDigests = &digests,
                                .mPromptTokens = 40 * kPrefixBlockTokens,
                                .mExpectedTokens = 100 };
  const ServerSlot first = ChooseServer(state, RoutingPolicy::kScored, request, 5, kStart).value();
  RecordPlacement(state, first, request, kStart);

  SECTION("a request with the same prefix goes to the same server, whatever the random number")
  {
    for (std::uint64_t random = 0; random < 50; ++random) {
      CHECK(ChooseServer(state, RoutingPolicy::kScored, request, random, kPrefilledAt) == first);
    }
    SECTION("unless the server reports that it has evicted the prefix")
    {
      RemovePrefixHolder(state.mPrefixes, digests, first);
      CHECK(ExpectedCachedTokens(state.mPrefixes, digests, first, kPrefilledAt) == 0);
      // Without information about the prefix, the rendezvous hash may choose the same server again.
      state.mOptions.mWeights.mRendezvousWeight = 0;
      CHECK(ChooseServer(state, RoutingPolicy::kScored, request, 1, kPrefilledAt) != first);
    }
    SECTION("unless waiting in its queue costs more than prefilling the prefix")
    {
      ApplyReport(
        state.mServers[first].mLoad, { .mRunning = 9, .mQueuedTokens = 90'000 }, kPrefilledAt);
      CHECK(ChooseServer(state, RoutingPolicy::kScored, request, 1, kPrefilledAt) != first);
    }
    SECTION("unless the server is unavailable")
    {
      auto servers = Servers(count);
      servers[first].mAvailable = false;
      SetServers(state, servers);
      CHECK(ChooseServer(state, RoutingPolicy::kScored, request, 1, kPrefilledAt) != first);
    }
  }
  SECTION("a request during the prefill goes to another server instead of waiting")
  {
    CHECK(ChooseServer(state, RoutingPolicy::kScored, request, 1, kStart) != first);
  }
  SECTION("hosts without information about the prefix choose the same server if all are compared")
  {
    const RoutingState other = StateOf(Servers(20));
    const auto chosen = ChooseServer(other, RoutingPolicy::kScored, request, 1, kStart);
    CHECK(ChooseServer(other, RoutingPolicy::kScored, request, 99, kStart) == chosen);
  }
  SECTION("the confidence in a holder decays with time")
  {
    const double upToDate = ExpectedCachedTokens(state.mPrefixes, digests, first, kStart);
    const double stale =
      ExpectedCachedTokens(state.mPrefixes, digests, first, kStart + Milliseconds{ 600'000 });
    CHECK(upToDate > 32 * kPrefixBlockTokens * 0.8);
    CHECK(stale < upToDate / 50);
  }
}

TEST_CASE("A server's late load report is corrected by this host's own requests")
{
  TrackedLoad load;
  for (const int startMs : { 0, 50 }) {
    RecordOwnStart(load, kStart + Milliseconds{ startMs });
    RecordOwnQueued(load, 1000, kStart + Milliseconds{ startMs });
  }

  SECTION("before the first report only these requests count")
  {
    CHECK(EstimateLoad(load, 10, kStart + Milliseconds{ 50 }).mRunning == Approx(2));
    CHECK(EstimateLoad(load, 10, kStart + Milliseconds{ 50 }).mQueuedTokens == Approx(1500));
  }
  SECTION("a report includes the requests that started before its measurement and no others")
  {
    ApplyReport(load, { .mRunning = 5, .mQueuedTokens = 400 }, kStart + Milliseconds{ 20 });
    CHECK(EstimateLoad(load, 10, kStart + Milliseconds{ 50 }).mRunning == Approx(6));
    CHECK(EstimateLoad(load, 10, kStart + Milliseconds{ 50 }).mQueuedTokens == Approx(1100));

    SECTION("a report with an earlier measurement is ignored")
    {
      ApplyReport(load, { .mRunning = 50 }, kStart + Milliseconds{ 10 });
      CHECK(EstimateLoad(load, 10, kStart + Milliseconds{ 50 }).mRunning == Approx(6));
    }
    SECTION("the report expires")
    {
      CHECK(EstimateLoad(load, 10, kStart + Milliseconds{ 60'000 }).mRunning == Approx(2));
    }
  }
}

TEST_CASE("The expected cost of a request on a server")
{
  const ScoreWeights weights;
  const RequestCost longRequest{ .mUncachedTokens = 8000, .mExpectedTokens = 1500 };
  const RequestCost shortRequest{ .mUncachedTokens = 200, .mExpectedTokens = 20 };

  SECTION("an on-demand server costs less for a long request and more for a short one")
  {
    const ServerCost reclaimable{ .mReclaimsPerHour = 40 };
    const ServerCost onDemand{ .mPrice = 2 };
    CHECK(Score(weights, longRequest, onDemand) < Score(weights, longRequest, reclaimable));
    CHECK(Score(weights, shortRequest, onDemand) > Score(weights, shortRequest, reclaimable));
  }
  SECTION("a nearer server costs less if all else is equal")
  {
    CHECK(Score(weights, shortRequest, {}) < Score(weights, shortRequest, { .mRoundTripMs = 3 }));
  }
}

TEST_CASE("Versions receive requests in proportion to their weights")
{
  auto servers = Servers(40);
  for (std::size_t i = 0; i < 10; ++i) {
    servers[i].mVersion = VersionId{ "v2" };
  }
  RoutingState state = StateOf(servers);
  std::vector<VersionWeight> weights{ { .mVersion = VersionId{ "v1" }, .mWeight = 99 },
                                      { .mVersion = VersionId{ "v2" }, .mWeight = 1 } };

  SECTION("a version with 1 % of the weight receives about 1 % of the requests")
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
  SECTION("a version without a weight receives no requests, even if the other is unavailable")
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

TEST_CASE("Servers are added and removed")
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
  SECTION("a removed server keeps its slot until its requests have ended")
  {
    const ServerSlot leaving = FindSlot(state, ServerNumber(0)).value();
    RecordOwnEnd(state.mServers[leaving].mLoad, kStart);
    SetServers(state, servers);
    CHECK_FALSE(FindSlot(state, ServerNumber(0)).has_value());
  }
}

// Chooses among random servers, some of which are unavailable, excluded or of another version.
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
  const PrefixDigests digests = DigestPrefixes(std::string(5 * kPrefixBlockBytes, 'p'));
  const auto holders = *rc::gen::container<std::vector<ServerSlot>>(
    3, rc::gen::inRange<ServerSlot>(0, static_cast<ServerSlot>(servers.size())));
  for (const ServerSlot slot : holders) {
    AddPrefixHolder(state.mPrefixes, digests, { .mSlot = slot }, kStart);
  }
  const std::vector<VersionWeight> weights{ { .mVersion = VersionId{ "v1" }, .mWeight = 1 } };
  const RoutingRequest request{ .mPrefixDigests = &digests,
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

TEST_CASE("A server is chosen if and only if one is allowed, and it is an allowed one")
{
  for (const auto& policy : kRoutingPolicyNames) {
    CHECK(rc::check([&policy] { CheckChoice(policy.mValue); }));
  }
}

} // namespace
} // namespace trefoil
