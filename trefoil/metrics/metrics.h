// Counters and latency summaries of a process, in Prometheus' text format.
//
//   Metrics metrics;
//   metrics.Add(Counter::kRequests, 1);
//   metrics.Observe(Summary::kFirstToken, Now() - start);
//   std::string page = metrics.Render();
//
// Quantiles are estimated with Boost.Accumulators (P-square: Jain and Chlamtac, 1985), so that
// memory does not grow with the number of observations. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

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

enum class Summary
{
  kFirstToken,
  kTokenGap,
  kPlainAnswer,
};

inline constexpr NameTable<Summary, 3> kSummaryNames{ {
  { Summary::kFirstToken, "trefoil_first_token_seconds" },
  { Summary::kTokenGap, "trefoil_token_gap_seconds" },
  { Summary::kPlainAnswer, "trefoil_plain_answer_seconds" },
} };

class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Add(Counter aCounter, std::uint64_t aCount);
  void Observe(Summary aSummary, Instant::duration aLatency);
  std::uint64_t Count(Counter aCounter) const;

  // Renders all counters and summaries, and the process's own memory and processor time.
  std::string Render() const;

private:
  struct Accumulator;

  std::array<std::atomic<std::uint64_t>, kCounterNames.size()> mCounters{};
  mutable absl::Mutex mMutex;
  std::array<std::unique_ptr<Accumulator>, kSummaryNames.size()> mSummaries ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
