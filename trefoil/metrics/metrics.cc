#include "trefoil/metrics/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace trefoil {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.95, 0.99 };
constexpr double kMicrosecondsPerSecond = 1e6;

using LatencyAccumulator =
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

double
SecondsOf(const timeval& aTime)
{
  return static_cast<double>(aTime.tv_sec) +
         static_cast<double>(aTime.tv_usec) / kMicrosecondsPerSecond;
}

std::uint64_t
ResidentBytes()
{
  std::ifstream file{ "/proc/self/statm" };
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::string
RenderProcess()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return fmt::format(
    "# TYPE process_resident_memory_bytes gauge\nprocess_resident_memory_bytes {}\n"
    "# TYPE process_cpu_seconds_total counter\nprocess_cpu_seconds_total {:.6f}\n",
    ResidentBytes(),
    SecondsOf(usage.ru_utime) + SecondsOf(usage.ru_stime));
}

template<typename Enum>
std::size_t
IndexOf(Enum aValue)
{
  return static_cast<std::size_t>(aValue);
}

} // namespace

struct Metrics::Accumulator
{
  LatencyAccumulator mSeconds{ acc::extended_p_square_probabilities = kQuantiles };
};

Metrics::Metrics()
{
  for (auto& summary : mSummaries) {
    summary = std::make_unique<Accumulator>();
  }
}

Metrics::~Metrics() = default;

void
Metrics::Add(Counter aCounter, std::uint64_t aCount)
{
  mCounters[IndexOf(aCounter)].fetch_add(aCount, std::memory_order_relaxed);
}

std::uint64_t
Metrics::Count(Counter aCounter) const
{
  return mCounters[IndexOf(aCounter)].load(std::memory_order_relaxed);
}

void
Metrics::Observe(Summary aSummary, Instant::duration aLatency)
{
  const double seconds = std::chrono::duration<double>(aLatency).count();
  const absl::MutexLock lock{ &mMutex };
  mSummaries[IndexOf(aSummary)]->mSeconds(seconds);
}

std::string
Metrics::Render() const
{
  std::string page;
  for (const auto& [counter, name] : kCounterNames) {
    page += fmt::format("# TYPE {0} counter\n{0} {1}\n", name, Count(counter));
  }
  const absl::MutexLock lock{ &mMutex };
  for (const auto& [summary, name] : kSummaryNames) {
    const LatencyAccumulator& seconds = mSummaries[IndexOf(summary)]->mSeconds;
    page += fmt::format("# TYPE {} summary\n", name);
    for (std::size_t i = 0; i < kQuantiles.size() && acc::count(seconds) > 0; ++i) {
      page += fmt::format("{}{{quantile=\"{}\"}} {:.6f}\n",
                          name,
                          kQuantiles[i],
                          acc::extended_p_square(seconds)[static_cast<std::ptrdiff_t>(i)]);
    }
    page +=
      fmt::format("{0}_sum {1:.6f}\n{0}_count {2}\n", name, acc::sum(seconds), acc::count(seconds));
  }
  return page + RenderProcess();
}

} // namespace trefoil
