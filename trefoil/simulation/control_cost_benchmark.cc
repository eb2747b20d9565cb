// Measures the cost of the control plane on one entry host (CPU, bytes and polls per second) and
// the time until a change has reached every host, by number of hosts and backend servers.
//
//   simulation_benchmark --benchmark_counters_tabular=true
//
// All hosts run in this process on a simulated clock. The CPU time covers the decision code and the
// codec, measured around the steps of one host. It does not include sockets, HTTP and thread
// switches.
#include "trefoil/simulation/control_network.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <ctime>
#include <malloc.h>

namespace trefoil {
namespace {

constexpr Milliseconds kSettlingTime{ 20'000 };
constexpr Milliseconds kMeasurementDuration{ 20'000 };
constexpr Milliseconds kMaxWait{ 60'000 };
constexpr std::size_t kMeasuredHost = 0;
constexpr double kNanosecondsPerSecond = 1e9;
constexpr double kHundredPercent = 100;
constexpr double kBytesPerKilobyte = 1e3;
constexpr double kMillisecondsPerSecond = 1e3;

double
ThreadCpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNanosecondsPerSecond;
}

double
SecondsOf(Instant::duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// Returns the seconds of simulated time until `aDone` returns true, -1 if that takes longer than
// `kMaxWait`.
double
SecondsUntil(ControlNetwork& aNetwork, const std::function<bool()>& aDone)
{
  const Instant begin = aNetwork.Now();
  return aNetwork.RunUntil(aDone, kMaxWait) ? SecondsOf(aNetwork.Now() - begin) : -1;
}

bool
AllHostsHaveRevision(ControlNetwork& aNetwork, std::uint64_t aRevision)
{
  for (std::size_t i = 0; i < aNetwork.HostCount(); ++i) {
    if (aNetwork.RevisionOn(i) < aRevision) {
      return false;
    }
  }
  return true;
}

bool
AllHostsAvoid(ControlNetwork& aNetwork, const BackendServerId& aServer)
{
  for (std::size_t i = 0; i < aNetwork.HostCount(); ++i) {
    if (!aNetwork.Host(i).mSnapshot->mNotUp->contains(aServer)) {
      return false;
    }
  }
  return true;
}

bool
HasSeenRevisionOnAllHosts(ControlNetwork& aNetwork, std::size_t aHost, std::uint64_t aRevision)
{
  const auto& services = aNetwork.Host(aHost).mSnapshot->mServices;
  const auto found = services.find(ServiceId{ "rules" });
  return found != services.end() && found->second.mRevision == aRevision &&
         found->second.mPropagation.mReachedAllHostsAt.has_value();
}

// CPU time of the steps of the measured host, in seconds.
struct StepCpu
{
  double mSeconds = 0;
  double mStepStart = 0;
};

void
MeasureStepCpu(ControlNetwork& aNetwork, StepCpu& aCpu)
{
  aNetwork.mOnStep = [&aCpu](std::size_t aHost, bool aIsStart) {
    if (aHost != kMeasuredHost) {
      return;
    }
    if (aIsStart) {
      aCpu.mStepStart = ThreadCpuSeconds();
    } else {
      aCpu.mSeconds += ThreadCpuSeconds() - aCpu.mStepStart;
    }
  };
}

void
MeasureSteadyState(ControlNetwork& aNetwork, benchmark::State& aState)
{
  StepCpu cpu;
  MeasureStepCpu(aNetwork, cpu);
  const TrafficCounts before = aNetwork.Host(kMeasuredHost).mTraffic;
  aNetwork.Run(kMeasurementDuration);
  const TrafficCounts after = aNetwork.Host(kMeasuredHost).mTraffic;
  aNetwork.mOnStep = nullptr;
  const double seconds = SecondsOf(kMeasurementDuration);
  const auto rate = [seconds](std::uint64_t aBefore, std::uint64_t aAfter) {
    return static_cast<double>(aAfter - aBefore) / seconds;
  };
  aState.counters["cpu_percent"] = kHundredPercent * cpu.mSeconds / seconds;
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

// Arguments: zones, hosts per zone, backend servers per zone, extra servers of the last zone.
void
BenchmarkControl(benchmark::State& aState)
{
  for (auto unused : aState) {
    const std::size_t heapBefore = HeapBytes();
    ControlNetwork network{ { .mZones = static_cast<std::size_t>(aState.range(0)),
                              .mHostsPerZone = static_cast<std::size_t>(aState.range(1)),
                              .mServersPerZone = static_cast<std::size_t>(aState.range(2)),
                              .mLastZoneExtraServers =
                                static_cast<std::size_t>(aState.range(3)) } };
    network.PutDocument();
    network.Run(kSettlingTime);
    MeasureSteadyState(network, aState);
    aState.counters["heap_kB_host"] = static_cast<double>(HeapBytes() - heapBefore) /
                                      kBytesPerKilobyte / static_cast<double>(network.HostCount());
    StepCpu changeCpu;
    MeasureStepCpu(network, changeCpu);
    const std::uint64_t revision = network.PutDocument();
    aState.counters["in_force_s"] =
      SecondsUntil(network, [&] { return AllHostsHaveRevision(network, revision); });
    aState.counters["change_cpu_ms"] = changeCpu.mSeconds * kMillisecondsPerSecond;
    network.mOnStep = nullptr;
    aState.counters["known_s"] = SecondsUntil(
      network, [&] { return HasSeenRevisionOnAllHosts(network, kMeasuredHost, revision); });
    network.Run(kSettlingTime);
    network.Server(0).mLeaving = true;
    aState.counters["leaving_s"] =
      SecondsUntil(network, [&] { return AllHostsAvoid(network, network.Server(0).mServer); });
  }
}

// The first five cases increase the number of hosts, the others the number of servers.
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
