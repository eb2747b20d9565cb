// Writes one line of key=value text to standard output for each logged event.
//
//   EventLog log{ "host-1" };
//   log.Write(LogSeverity::kNotable, LogEvent::kAttemptFailed, "id={} server={}", id, server);
//
// A separate thread writes the lines from a bounded queue. When the queue is full, the oldest lines
// are dropped, so that a slow or stopped reader never delays a request. Each severity has a budget
// of lines per second; lines that exceed it are dropped, and their number is logged with the first
// line of a later second. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <fmt/format.h>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace spdlog {
class logger;
namespace details {
class thread_pool;
}
}

namespace trefoil {

// The types of events. The name of the type is the value of the line's "event" field.
enum class LogEvent
{
  kStart,
  kStartDelayed,
  kStop,
  kReload,
  kDependencyLost,
  kDependencyRegained,
  kStoreReplaced,
  kStoreRecord,
  kRequestDone,
  kRequestRefused,
  kRequestFailed,
  kRequestCancelled,
  kAttemptFailed,
  kServerAvoided,
  kServerLimited,
  kServerWarmUp,
  kCutOff,
  kCutOffEnded,
  kRelayFailed,
  kRelayAnswered,
  kPromptPartRefused,
  kCrashingRequestRefused,
  kCrashListCut,
  kConfigurationApplied,
  kServersChanged,
  kPeersChanged,
  kDutyAcquired,
  kDutyLost,
  kUsageReported,
  kScalingRequested,
  kVersionMove,
  kZoneEvacuated,
  kRequestMalformed,
  kInputRejected,
  kInternalError,
  kLinesDropped,
  kMemoryExhausted,
};

inline constexpr NameTable<LogEvent, 37> kLogEventNames{ {
  { LogEvent::kStart, "start" },
  { LogEvent::kStartDelayed, "start_delayed" },
  { LogEvent::kStop, "stop" },
  { LogEvent::kReload, "reload" },
  { LogEvent::kDependencyLost, "dependency_lost" },
  { LogEvent::kDependencyRegained, "dependency_regained" },
  { LogEvent::kStoreReplaced, "store_replaced" },
  { LogEvent::kStoreRecord, "store_record" },
  { LogEvent::kRequestDone, "request_done" },
  { LogEvent::kRequestRefused, "request_refused" },
  { LogEvent::kRequestFailed, "request_failed" },
  { LogEvent::kRequestCancelled, "request_cancelled" },
  { LogEvent::kAttemptFailed, "attempt_failed" },
  { LogEvent::kServerAvoided, "server_avoided" },
  { LogEvent::kServerLimited, "server_limited" },
  { LogEvent::kServerWarmUp, "server_warm_up" },
  { LogEvent::kCutOff, "cut_off" },
  { LogEvent::kCutOffEnded, "cut_off_ended" },
  { LogEvent::kRelayFailed, "relay_failed" },
  { LogEvent::kRelayAnswered, "relay_answered" },
  { LogEvent::kPromptPartRefused, "prompt_part_refused" },
  { LogEvent::kCrashingRequestRefused, "crashing_request_refused" },
  { LogEvent::kCrashListCut, "crash_list_cut" },
  { LogEvent::kConfigurationApplied, "configuration_in_force" },
  { LogEvent::kServersChanged, "servers_changed" },
  { LogEvent::kPeersChanged, "peers_changed" },
  { LogEvent::kDutyAcquired, "duty_taken" },
  { LogEvent::kDutyLost, "duty_lost" },
  { LogEvent::kUsageReported, "usage_reported" },
  { LogEvent::kScalingRequested, "servers_ordered" },
  { LogEvent::kVersionMove, "version_move" },
  { LogEvent::kZoneEvacuated, "zone_evacuated" },
  { LogEvent::kRequestMalformed, "request_malformed" },
  { LogEvent::kInputRejected, "input_rejected" },
  { LogEvent::kInternalError, "internal_error" },
  { LogEvent::kLinesDropped, "lines_dropped" },
  { LogEvent::kMemoryExhausted, "memory_exhausted" },
} };

// The severity of a line. Each severity has a line budget of its own.
enum class LogSeverity
{
  // Events of normal operation.
  kRoutine,
  // Failures, and changes of the host's view of the system.
  kNotable,
};

inline constexpr NameTable<LogSeverity, 2> kLogSeverityNames{ {
  { LogSeverity::kRoutine, "routine" },
  { LogSeverity::kNotable, "notable" },
} };

class EventLog
{
public:
  // `aHost` is the value of the "host" field of each line.
  explicit EventLog(std::string aHost);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Changes the value of the "host" field of later lines. Must not be called while other threads
  // may write.
  void SetHost(std::string aHost) { mHost = std::move(aHost); }

  // Formats the fields and queues the line if the budget of `aSeverity` permits it. Does not wait
  // for the reader.
  template<typename... Fields>
  void Write(LogSeverity aSeverity,
             LogEvent aEvent,
             fmt::format_string<Fields...> aFormat,
             Fields&&... aFields)
  {
    if (ConsumeBudget(aSeverity)) {
      Enqueue(aEvent, fmt::format(aFormat, std::forward<Fields>(aFields)...));
    }
  }

private:
  // The use of a budget in the current period.
  struct Budget
  {
    int mLines = 0;
    std::uint64_t mDropped = 0;
  };

  // Returns whether another line may be logged now, and counts it as logged or dropped.
  bool ConsumeBudget(LogSeverity aSeverity);
  void Enqueue(LogEvent aEvent, const std::string& aFields);

  std::string mHost;
  std::shared_ptr<spdlog::details::thread_pool> mThreadPool;
  std::shared_ptr<spdlog::logger> mLogger;
  absl::Mutex mMutex;
  Instant mPeriodStart ABSL_GUARDED_BY(mMutex);
  std::array<Budget, kLogSeverityNames.size()> mBudgets ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
