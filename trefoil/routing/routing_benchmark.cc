// Measures the time of one choice for several numbers of backend servers.
#include "trefoil/routing/routing_state.h"

#include <benchmark/benchmark.h>
#include <string>

namespace trefoil {
namespace {

constexpr std::int64_t kPromptBlocks = 48;

RoutingState
MakeState(std::int64_t aServers, Instant aNow)
{
  RoutingState state = MakeRoutingState({});
  std::vector<RoutableServer> servers;
  for (std::int64_t i = 0; i < aServers; ++i) {
    servers.push_back({ .mServer = BackendServerId{ std::to_string(i) },
                        .mVersion = VersionId{ "v1" },
                        .mSameZone = i % 14 == 0 });
  }
  SetServers(state, servers);
  for (RoutedServer& server : state.mServers) {
    ApplyReport(server.mLoad, { .mRunning = 4, .mQueuedTokens = 100 }, aNow);
  }
  return state;
}

void
BenchmarkChoice(benchmark::State& aBenchmark, RoutingPolicy aPolicy)
{
  const Instant now{ Milliseconds{ 1'000'000 } };
  RoutingState state = MakeState(aBenchmark.range(0), now);
  std::string prompt(kPromptBlocks * kPrefixBlockBytes, 'p');
  std::uint64_t random = 0;
  for (auto _ : aBenchmark) {
    prompt[prompt.size() / 2] = static_cast<char>('a' + random % 16);
    const PrefixDigests digests = DigestPrefixes(prompt);
    const RoutingRequest request{ .mPrefixDigests = &digests,
                                  .mPromptTokens = kPromptBlocks * kPrefixBlockTokens,
                                  .mExpectedTokens = 200 };
    const auto slot = ChooseServer(state, aPolicy, request, ++random, now);
    RecordPlacement(state, *slot, request, now);
    RecordOwnStart(state.mServers[*slot].mLoad, now);
    RecordOwnEnd(state.mServers[*slot].mLoad, now);
  }
}

BENCHMARK_CAPTURE(BenchmarkChoice, random, RoutingPolicy::kRandom)->Arg(20)->Arg(500)->Arg(7500);
BENCHMARK_CAPTURE(BenchmarkChoice, least_in_flight, RoutingPolicy::kLeastInFlight)
  ->Arg(20)
  ->Arg(500)
  ->Arg(7500);
BENCHMARK_CAPTURE(BenchmarkChoice, power_of_two, RoutingPolicy::kPowerOfTwo)
  ->Arg(20)
  ->Arg(500)
  ->Arg(7500);
BENCHMARK_CAPTURE(BenchmarkChoice, scored, RoutingPolicy::kScored)->Arg(20)->Arg(500)->Arg(7500);

// Measures the time of replacing the list of servers, which happens when the service document
// or the availability of a server changes.
void
BenchmarkSetServers(benchmark::State& aBenchmark)
{
  const Instant now{ Milliseconds{ 1'000'000 } };
  RoutingState state = MakeState(aBenchmark.range(0), now);
  std::vector<RoutableServer> servers;
  for (const RoutedServer& server : state.mServers) {
    servers.push_back(server.mSpec);
  }
  for (auto _ : aBenchmark) {
    SetServers(state, servers);
  }
}

BENCHMARK(BenchmarkSetServers)->Arg(20)->Arg(500)->Arg(7500);

} // namespace
} // namespace trefoil
