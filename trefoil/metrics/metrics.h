// Counters, gauges and latency histograms of a process, in Prometheus' text format.
//
//   Metrics metrics;
//   metrics.Add(Counter::kRequests, 1);
//   metrics.IncrementLabelled(LabelledCounter::kRefusals, "over_quota");
//   metrics.Set(Gauge::kConfigurationAge, 1.2);
//   metrics.Observe(Latency::kFirstToken, Now() - start);
//   std::string text = metrics.Render();
//
// Memory use does not depend on the number of observations. Label values must come from fixed
// tables of names, so that their number is bounded. Thread-safe.
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
  // Selections that left out a server that warms up, since this host had no permit for it.
  kWarmUpPermitsRefused,
};

inline constexpr NameTable<Counter, 9> kCounterNames{ {
  { Counter::kRequests, "trefoil_requests_total" },
  { Counter::kRequestsNotRun, "trefoil_requests_not_run_total" },
  { Counter::kRequestsMayHaveRun, "trefoil_requests_may_have_run_total" },
  { Counter::kAttempts, "trefoil_attempts_total" },
  { Counter::kAttemptsFailed, "trefoil_attempts_failed_total" },
  { Counter::kStreamsResumed, "trefoil_streams_resumed_total" },
  { Counter::kTokens, "trefoil_tokens_total" },
  { Counter::kStoreFailures, "trefoil_store_failures_total" },
  { Counter::kWarmUpPermitsRefused, "trefoil_warm_up_permits_refused_total" },
} };

enum class LabelledCounter
{
  // Requests that the host refused, by reason.
  kRefusals,
  // Attempts to run a request on a backend server, by outcome.
  kAttemptEnds,
  // Connections that this host has asked other hosts to carry, by outcome.
  kRelayRequests,
  // Connections that this host was asked to carry, by its answer.
  kRelaysCarried,
  // Requests sent to backend servers, by whether the server is in the host's own zone.
  kDispatchesByZone,
  // Calls that this host has sent to the store, by kind.
  kStoreCalls,
  // What happened to the records of the store's keys, by event (RecordEvent).
  kStoreRecordEvents,
  // Clients that were refused or ended for lack of memory or connections, by reason.
  kMemoryRefusals,
  // Requests, by the decision on their access (AccessDecision).
  kRequestAccess,
  // Entries that were left out of the lists of crashes for lack of room, by list (CrashList).
  kCrashListEntriesLeftOut,
};

// The metric name and the label name of a LabelledCounter.
struct LabelledName
{
  const char* mName;
  const char* mLabel;
};

inline constexpr std::array<LabelledName, 10> kLabelledCounterNames{ {
  { "trefoil_refusals_total", "reason" },
  { "trefoil_attempt_ends_total", "end" },
  { "trefoil_relay_requests_total", "outcome" },
  { "trefoil_relays_total", "status" },
  { "trefoil_dispatches_total", "zone" },
  { "trefoil_store_calls_total", "kind" },
  { "trefoil_store_record_events_total", "event" },
  { "trefoil_memory_refusals_total", "reason" },
  { "trefoil_request_access_total", "access" },
  { "trefoil_crash_list_entries_left_out_total", "list" },
} };

enum class Gauge
{
  // Seconds since the configuration was last confirmed to be current.
  kConfigurationAge,
  kConfigurationVersion,
  // Seconds since the registered servers were last confirmed to be current.
  kServersAge,
  kHosts,
  kHostsReachable,
  // Backend servers of all services that accept requests.
  kServersReady,
  // Availability zones that operators have ordered to be evacuated.
  kZonesEvacuated,
  // Bytes that the process may hold for others, and those that it holds, by kind (MemoryKind).
  kMemoryLimit,
  kHeldIncompleteRequests,
  kHeldRequests,
  kHeldServerAnswers,
  kHeldUnsentAnswers,
  kHeldCarried,
  kHeldConnections,
};

inline constexpr NameTable<Gauge, 14> kGaugeNames{ {
  { Gauge::kConfigurationAge, "trefoil_configuration_age_seconds" },
  { Gauge::kConfigurationVersion, "trefoil_configuration_version" },
  { Gauge::kServersAge, "trefoil_servers_age_seconds" },
  { Gauge::kHosts, "trefoil_hosts" },
  { Gauge::kHostsReachable, "trefoil_hosts_in_touch" },
  { Gauge::kServersReady, "trefoil_servers_ready" },
  { Gauge::kZonesEvacuated, "trefoil_zones_evacuated" },
  { Gauge::kMemoryLimit, "trefoil_memory_limit_bytes" },
  { Gauge::kHeldIncompleteRequests, "trefoil_held_incomplete_requests_bytes" },
  { Gauge::kHeldRequests, "trefoil_held_requests_bytes" },
  { Gauge::kHeldServerAnswers, "trefoil_held_server_answers_bytes" },
  { Gauge::kHeldUnsentAnswers, "trefoil_held_unsent_answers_bytes" },
  { Gauge::kHeldCarried, "trefoil_held_carried_bytes" },
  { Gauge::kHeldConnections, "trefoil_held_connections_bytes" },
} };

enum class Latency
{
  kFirstToken,
  kTokenGap,
  kPlainResponse,
};

inline constexpr NameTable<Latency, 3> kLatencyNames{ {
  { Latency::kFirstToken, "trefoil_first_token_seconds" },
  { Latency::kTokenGap, "trefoil_token_gap_seconds" },
  { Latency::kPlainResponse, "trefoil_plain_answer_seconds" },
} };

class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds `aCount` to a counter.
  void Add(Counter aCounter, std::uint64_t aCount);
  // Adds one to the counter with the label value `aLabel`, which must come from a fixed table of
  // names.
  void IncrementLabelled(LabelledCounter aCounter, std::string_view aLabel);
  // Adds `aCount` in the same way.
  void AddLabelled(LabelledCounter aCounter, std::string_view aLabel, std::uint64_t aCount);
  void Set(Gauge aGauge, double aValue);
  // Adds one observation to a latency histogram.
  void Observe(Latency aKind, Instant::duration aLatency);
  // Returns the value of a counter.
  std::uint64_t Count(Counter aCounter) const;

  // Returns all metrics, and the resident memory and CPU time of the process, in Prometheus' text
  // format.
  std::string Render() const;

private:
  struct Histogram;

  std::array<std::atomic<std::uint64_t>, kCounterNames.size()> mCounters{};
  std::array<std::atomic<double>, kGaugeNames.size()> mGauges{};
  mutable absl::Mutex mMutex;
  std::array<std::map<std::string, std::uint64_t, std::less<>>, kLabelledCounterNames.size()>
    mLabelledCounts ABSL_GUARDED_BY(mMutex);
  std::array<std::unique_ptr<Histogram>, kLatencyNames.size()> mHistograms ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
