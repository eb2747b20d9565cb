// Counters, gauges and latency histograms of a process, in Prometheus' text format.
//
//   Metrics metrics;
//   metrics.Add(Counter::kRequests, 1);
//   metrics.AddLabelled(LabelledCounter::kRefusals, "over_quota");
//   metrics.Set(Gauge::kConfigurationAge, 1.2);
//   metrics.Observe(Latency::kFirstToken, Now() - start);
//   std::string page = metrics.Render();
//
// Memory does not grow with the number of observations; labels must come from fixed tables of
// names. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace trefoil {

enum class Counter
{
  kRequests,
  kRequestsNotRun,
  kRequestsMayHaveRun,
  kAttempts,
  kAttemptsFailed,
  kStreamsResumed,
  kTokens,
  kStoreFailures,
};

inline constexpr NameTable<Counter, 8> kCounterNames{ {
  { Counter::kRequests, "trefoil_requests_total" },
  { Counter::kRequestsNotRun, "trefoil_requests_not_run_total" },
  { Counter::kRequestsMayHaveRun, "trefoil_requests_may_have_run_total" },
  { Counter::kAttempts, "trefoil_attempts_total" },
  { Counter::kAttemptsFailed, "trefoil_attempts_failed_total" },
  { Counter::kStreamsResumed, "trefoil_streams_resumed_total" },
  { Counter::kTokens, "trefoil_tokens_total" },
  { Counter::kStoreFailures, "trefoil_store_failures_total" },
} };

enum class LabelledCounter
{
  // Requests that the host refused, by reason.
  kRefusals,
  // Attempts at servers, by how they ended.
  kAttemptEnds,
};

struct LabelledName
{
  const char* mName;
  const char* mLabel;
};

inline constexpr std::array<LabelledName, 2> kLabelledCounterNames{ {
  { "trefoil_refusals_total", "reason" },
  { "trefoil_attempt_ends_total", "end" },
} };

enum class Gauge
{
  // How long ago the configuration was known to be the newest, in seconds.
  kConfigurationAge,
  kConfigurationVersion,
  kHosts,
  kHostsInTouch,
  // Servers of all services that take requests.
  kServersReady,
};

inline constexpr NameTable<Gauge, 5> kGaugeNames{ {
  { Gauge::kConfigurationAge, "trefoil_configuration_age_seconds" },
  { Gauge::kConfigurationVersion, "trefoil_configuration_version" },
  { Gauge::kHosts, "trefoil_hosts" },
  { Gauge::kHostsInTouch, "trefoil_hosts_in_touch" },
  { Gauge::kServersReady, "trefoil_servers_ready" },
} };

enum class Latency
{
  kFirstToken,
  kTokenGap,
  kPlainAnswer,
};

inline constexpr NameTable<Latency, 3> kLatencyNames{ {
  { Latency::kFirstToken, "trefoil_first_token_seconds" },
  { Latency::kTokenGap, "trefoil_token_gap_seconds" },
  { Latency::kPlainAnswer, "trefoil_plain_answer_seconds" },
} };

class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Add(Counter aCounter, std::uint64_t aCount);
  // `aLabel` is one of a fixed table of names.
  void AddLabelled(LabelledCounter aCounter, std::string_view aLabel);
  void Set(Gauge aGauge, double aValue);
  void Observe(Latency aKind, Instant::duration aLatency);
  std::uint64_t Count(Counter aCounter) const;

  // Renders all of them, and the process's own memory and processor time.
  std::string Render() const;

private:
  struct Histogram;

  std::array<std::atomic<std::uint64_t>, kCounterNames.size()> mCounters{};
  std::array<std::atomic<double>, kGaugeNames.size()> mGauges{};
  mutable absl::Mutex mMutex;
  std::array<std::map<std::string, std::uint64_t, std::less<>>, kLabelledCounterNames.size()>
    mLabelled ABSL_GUARDED_BY(mMutex);
  std::array<std::unique_ptr<Histogram>, kLatencyNames.size()> mHistograms ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
