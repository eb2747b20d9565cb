// One line of key=value text on standard output for each decision.
//
//   EventLog log{ "host-1" };
//   log.Write(LogWeight::kNotable, LogEvent::kAttemptFailed, "id={} server={}", id, server);
//
// Lines are written by a thread of their own from a bounded queue whose oldest lines give way, so
// that a reader that stops reading costs lines and never a request. Each weight has a budget of
// lines a second; what exceeds it is counted and told once a second. Thread-safe.
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

namespace spdlog {
class logger;
namespace details {
class thread_pool;
}
}

namespace trefoil {

enum class LogEvent
{
  kStart,
  kStop,
  kReload,
  kDependencyLost,
  kDependencyRegained,
  kRequestDone,
  kRequestRefused,
  kRequestFailed,
  kRequestCancelled,
  kAttemptFailed,
  kServerAvoided,
  kConfigurationInForce,
  kServersChanged,
  kPeersChanged,
  kDutyTaken,
  kDutyLost,
  kUsageReported,
  kServersOrdered,
  kVersionMove,
  kRequestMalformed,
  kInputRejected,
  kLinesDropped,
};

inline constexpr NameTable<LogEvent, 22> kLogEventNames{ {
  { LogEvent::kStart, "start" },
  { LogEvent::kStop, "stop" },
  { LogEvent::kReload, "reload" },
  { LogEvent::kDependencyLost, "dependency_lost" },
  { LogEvent::kDependencyRegained, "dependency_regained" },
  { LogEvent::kRequestDone, "request_done" },
  { LogEvent::kRequestRefused, "request_refused" },
  { LogEvent::kRequestFailed, "request_failed" },
  { LogEvent::kRequestCancelled, "request_cancelled" },
  { LogEvent::kAttemptFailed, "attempt_failed" },
  { LogEvent::kServerAvoided, "server_avoided" },
  { LogEvent::kConfigurationInForce, "configuration_in_force" },
  { LogEvent::kServersChanged, "servers_changed" },
  { LogEvent::kPeersChanged, "peers_changed" },
  { LogEvent::kDutyTaken, "duty_taken" },
  { LogEvent::kDutyLost, "duty_lost" },
  { LogEvent::kUsageReported, "usage_reported" },
  { LogEvent::kServersOrdered, "servers_ordered" },
  { LogEvent::kVersionMove, "version_move" },
  { LogEvent::kRequestMalformed, "request_malformed" },
  { LogEvent::kInputRejected, "input_rejected" },
  { LogEvent::kLinesDropped, "lines_dropped" },
} };

// Which budget a line is taken from.
enum class LogWeight
{
  // What goes as expected.
  kRoutine,
  // Failures and changes of what the host believes.
  kNotable,
};

inline constexpr NameTable<LogWeight, 2> kLogWeightNames{ {
  { LogWeight::kRoutine, "routine" },
  { LogWeight::kNotable, "notable" },
} };

class EventLog
{
public:
  explicit EventLog(std::string aHost);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  template<typename... Fields>
  void Write(LogWeight aWeight,
             LogEvent aEvent,
             fmt::format_string<Fields...> aFormat,
             Fields&&... aFields)
  {
    if (Admit(aWeight)) {
      Put(aEvent, fmt::format(aFormat, std::forward<Fields>(aFields)...));
    }
  }

private:
  struct Budget
  {
    int mLines = 0;
    std::uint64_t mDropped = 0;
  };

  bool Admit(LogWeight aWeight);
  void Put(LogEvent aEvent, const std::string& aFields);

  std::string mHost;
  std::shared_ptr<spdlog::details::thread_pool> mPool;
  std::shared_ptr<spdlog::logger> mLogger;
  absl::Mutex mMutex;
  Instant mSecond ABSL_GUARDED_BY(mMutex);
  std::array<Budget, kLogWeightNames.size()> mBudgets ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
