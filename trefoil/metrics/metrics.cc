#include "trefoil/metrics/metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace trefoil {
namespace {

// Upper bounds of the histogram buckets, in seconds. The resolution is finer around the latency
// goals of plain responses (0.1 s) and of first tokens (0.5 to 2 s).
constexpr std::array<double, 15> kBucketBoundsSeconds{ 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5,
                                                       0.8,   1.0,  1.5,   2.0,  3.0, 5.0, 10.0 };
constexpr double kMicrosecondsPerSecond = 1e6;

double
ToSeconds(const timeval& aTime)
{
  return static_cast<double>(aTime.tv_sec) +
         static_cast<double>(aTime.tv_usec) / kMicrosecondsPerSecond;
}

std::uint64_t
ResidentMemoryBytes()
{
  std::ifstream file{ "/proc/self/statm" };
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::string
RenderProcessMetrics()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return fmt::format(
    "# TYPE process_resident_memory_bytes gauge\nprocess_resident_memory_bytes {}\n"
    "# TYPE process_cpu_seconds_total counter\nprocess_cpu_seconds_total {:.6f}\n",
    ResidentMemoryBytes(),
    ToSeconds(usage.ru_utime) + ToSeconds(usage.ru_stime));
}

template<typename Enum>
std::size_t
IndexOf(Enum aValue)
{
  return static_cast<std::size_t>(aValue);
}

} // namespace

struct Metrics::Histogram
{
  Histogram()
    : mCounts(boost::histogram::make_histogram(
        boost::histogram::axis::variable<>(kBucketBoundsSeconds.begin(),
                                           kBucketBoundsSeconds.end())))
  {
  }

  // The bins of the axis lie between two bucket bounds. Values below the first bound are counted in
  // the underflow bin, values from the last bound on in the overflow bin.
  decltype(boost::histogram::make_histogram(boost::histogram::axis::variable<>{})) mCounts;
  double mSum = 0;
};

Metrics::Metrics()
{
  for (auto& histogram : mHistograms) {
    histogram = std::make_unique<Histogram>();
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
Metrics::IncrementLabelled(LabelledCounter aCounter, std::string_view aLabel)
{
  AddLabelled(aCounter, aLabel, 1);
}

void
Metrics::AddLabelled(LabelledCounter aCounter, std::string_view aLabel, std::uint64_t aCount)
{
  const absl::MutexLock lock{ &mMutex };
  auto& counts = mLabelledCounts[IndexOf(aCounter)];
  const auto found = counts.find(aLabel);
  if (found != counts.end()) {
    found->second += aCount;
  } else {
    counts.emplace(aLabel, aCount);
  }
}

void
Metrics::Set(Gauge aGauge, double aValue)
{
  mGauges[IndexOf(aGauge)].store(aValue, std::memory_order_relaxed);
}

void
Metrics::Observe(Latency aKind, Instant::duration aLatency)
{
  const double seconds = std::chrono::duration<double>(aLatency).count();
  const absl::MutexLock lock{ &mMutex };
  Histogram& histogram = *mHistograms[IndexOf(aKind)];
  histogram.mCounts(seconds);
  histogram.mSum += seconds;
}

std::string
Metrics::Render() const
{
  std::string text;
  for (const auto& [counter, name] : kCounterNames) {
    text += fmt::format("# TYPE {0} counter\n{0} {1}\n", name, Count(counter));
  }
  for (const auto& [gauge, name] : kGaugeNames) {
    text += fmt::format(
      "# TYPE {0} gauge\n{0} {1}\n", name, mGauges[IndexOf(gauge)].load(std::memory_order_relaxed));
  }
  const absl::MutexLock lock{ &mMutex };
  for (std::size_t i = 0; i < kLabelledCounterNames.size(); ++i) {
    const auto& [name, label] = kLabelledCounterNames[i];
    text += fmt::format("# TYPE {} counter\n", name);
    for (const auto& [value, count] : mLabelledCounts[i]) {
      text += fmt::format("{}{{{}=\"{}\"}} {}\n", name, label, value, count);
    }
  }
  for (const auto& [kind, name] : kLatencyNames) {
    const Histogram& histogram = *mHistograms[IndexOf(kind)];
    text += fmt::format("# TYPE {} histogram\n", name);
    double cumulativeCount = 0;
    for (std::size_t i = 0; i < kBucketBoundsSeconds.size(); ++i) {
      cumulativeCount += histogram.mCounts.at(static_cast<int>(i) - 1);
      text += fmt::format(
        "{}_bucket{{le=\"{}\"}} {:.0f}\n", name, kBucketBoundsSeconds[i], cumulativeCount);
    }
    cumulativeCount += histogram.mCounts.at(static_cast<int>(kBucketBoundsSeconds.size()) - 1);
    text += fmt::format("{0}_bucket{{le=\"+Inf\"}} {1:.0f}\n{0}_sum {2:.6f}\n{0}_count {1:.0f}\n",
                        name,
                        cumulativeCount,
                        histogram.mSum);
  }
  return text + RenderProcessMetrics();
}

} // namespace trefoil
