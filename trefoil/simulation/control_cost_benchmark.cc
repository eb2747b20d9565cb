// What control costs one entry host: CPU, bytes and polls a second, and time until a change has
// reached every host, by number of hosts and backend servers.
//
//   simulation_benchmark --benchmark_counters_tabular=true
//
// All hosts run in this process on a simulated clock. The CPU is that of decision code and codec,
// measured around the steps of one host; sockets, HTTP and thread switches are not in it.
#include "trefoil/simulation/control_network.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <ctime>
#include <malloc.h>

namespace trefoil {
namespace {

constexpr Milliseconds kSettle{ 20'000 };
constexpr Milliseconds kMeasured{ 20'000 };
constexpr Milliseconds kMaxWait{ 60'000 };
constexpr std::size_t kMeasuredHost = 0;
constexpr double kNanosecondsInSecond = 1e9;
constexpr double kHundred = 100;
constexpr double kBytesInKilobyte = 1e3;
constexpr double kMillisecondsInSecond = 1e3;

double
ThreadCpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNanosecondsInSecond;
}

double
SecondsOf(Instant::duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

// Returns how long it takes until `aDone`, in seconds of simulated time; -1 if it takes too long.
double
TimeUntil(ControlNetwork& aNetwork, const std::function<bool()>& aDone)
{
  const Instant begin = aNetwork.Now();
  return aNetwork.RunUntil(aDone, kMaxWait) ? SecondsOf(aNetwork.Now() - begin) : -1;
}

bool
AllHave(ControlNetwork& aNetwork, std::uint64_t aRevision)
{
  for (std::size_t i = 0; i < aNetwork.HostCount(); ++i) {
    if (aNetwork.RevisionOn(i) < aRevision) {
      return false;
    }
  }
  return true;
}

bool
AllAvoid(ControlNetwork& aNetwork, const BackendServerId& aServer)
{
  for (std::size_t i = 0; i < aNetwork.HostCount(); ++i) {
    if (!aNetwork.Host(i).mSnapshot->mNotUp->contains(aServer)) {
      return false;
    }
  }
  return true;
}

bool
KnowsEverywhere(ControlNetwork& aNetwork, std::size_t aHost, std::uint64_t aRevision)
{
  const auto& services = aNetwork.Host(aHost).mSnapshot->mServices;
  const auto found = services.find(ServiceId{ "rules" });
  return found != services.end() && found->second.mRevision == aRevision &&
         found->second.mPropagation.mReachedAllHostsAt.has_value();
}

// The CPU that the steps of the measured host take.
struct StepCpu
{
  double mSeconds = 0;
  double mBegan = 0;
};

void
CountSteps(ControlNetwork& aNetwork, StepCpu& aCpu)
{
  aNetwork.mOnStep = [&aCpu](std::size_t aHost, bool aBegins) {
    if (aHost != kMeasuredHost) {
      return;
    }
    if (aBegins) {
      aCpu.mBegan = ThreadCpuSeconds();
    } else {
      aCpu.mSeconds += ThreadCpuSeconds() - aCpu.mBegan;
    }
  };
}

void
MeasureSteady(ControlNetwork& aNetwork, benchmark::State& aState)
{
  StepCpu cpu;
  CountSteps(aNetwork, cpu);
  const TrafficCount before = aNetwork.Host(kMeasuredHost).mCount;
  aNetwork.Run(kMeasured);
  const TrafficCount after = aNetwork.Host(kMeasuredHost).mCount;
  aNetwork.mOnStep = nullptr;
  const double seconds = SecondsOf(kMeasured);
  const auto rate = [seconds](std::uint64_t aBefore, std::uint64_t aAfter) {
    return static_cast<double>(aAfter - aBefore) / seconds;
  };
  aState.counters["cpu_percent"] = kHundred * cpu.mSeconds / seconds;
  aState.counters["sent_B_s"] = rate(before.mSentBytes, after.mSentBytes);
  aState.counters["received_B_s"] = rate(before.mReceivedBytes, after.mReceivedBytes);
  aState.counters["datagrams_s"] = rate(before.mSentDatagrams, after.mSentDatagrams);
  aState.counters["polls_s"] = rate(before.mPolls, after.mPolls);
}

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

// Arguments: zones, hosts of a zone, backend servers of a zone, further servers of the last zone.
void
BenchmarkControl(benchmark::State& aState)
{
  for (auto unused : aState) {
    const std::size_t heapBefore = HeapBytes();
    ControlNetwork network{ { .mZones = static_cast<std::size_t>(aState.range(0)),
                              .mHostsOfZone = static_cast<std::size_t>(aState.range(1)),
                              .mServersOfZone = static_cast<std::size_t>(aState.range(2)),
                              .mFurtherServers = static_cast<std::size_t>(aState.range(3)) } };
    network.PutDocument();
    network.Run(kSettle);
    MeasureSteady(network, aState);
    aState.counters["heap_kB_host"] = static_cast<double>(HeapBytes() - heapBefore) /
                                      kBytesInKilobyte / static_cast<double>(network.HostCount());
    StepCpu changeCpu;
    CountSteps(network, changeCpu);
    const std::uint64_t revision = network.PutDocument();
    aState.counters["in_force_s"] = TimeUntil(network, [&] { return AllHave(network, revision); });
    aState.counters["change_cpu_ms"] = changeCpu.mSeconds * kMillisecondsInSecond;
    network.mOnStep = nullptr;
    aState.counters["known_s"] =
      TimeUntil(network, [&] { return KnowsEverywhere(network, kMeasuredHost, revision); });
    network.Run(kSettle);
    network.Server(0).mLeaving = true;
    aState.counters["leaving_s"] =
      TimeUntil(network, [&] { return AllAvoid(network, network.Server(0).mServer); });
  }
}

// More hosts, then more servers.
BENCHMARK(BenchmarkControl)
  ->Name("control")
  ->ArgNames({ "zones", "hosts", "servers", "further" })
  ->Args({ 3, 3, 8, 0 })
  ->Args({ 14, 4, 8, 0 })
  ->Args({ 14, 7, 8, 0 })
  ->Args({ 14, 14, 8, 0 })
  ->Args({ 14, 27, 8, 0 })
  ->Args({ 2, 27, 8, 84 })
  ->Args({ 2, 27, 72, 856 })
  ->Args({ 2, 27, 215, 2570 })
  ->Args({ 2, 27, 536, 6428 })
  ->Iterations(1)
  ->Unit(benchmark::kSecond);

} // namespace
} // namespace trefoil
