#include "trefoil/eventlog/event_log.h"

#include "trefoil/eventlog/pipe_sink.h"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <unistd.h>
#include <utility>

namespace trefoil {
namespace {

// At 300 bytes per line, the queue takes less than 160 kB, and at kMaxLineBytes 2 MB. Lines contain
// parts of requests, such as their ids, which may be as long as the head of a request.
constexpr std::size_t kMaxLineBytes = 4'096;
constexpr std::size_t kMaxQueuedLines = 512;
// Twice the number of requests per second that one host serves at the peak of the target load (46).
constexpr int kRoutineLinesPerSecond = 100;
// Higher, because failures come in bursts that affect all current requests.
constexpr int kNotableLinesPerSecond = 200;
constexpr std::chrono::seconds kBudgetPeriod{ 1 };

int
LinesPerSecond(LogSeverity aSeverity)
{
  return aSeverity == LogSeverity::kRoutine ? kRoutineLinesPerSecond : kNotableLinesPerSecond;
}

std::string_view
Shortened(std::string_view aFields)
{
  return aFields.substr(0, kMaxLineBytes);
}

} // namespace

EventLog::EventLog(std::string aHost)
  : mHost(std::move(aHost))
  , mThreadPool(std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1))
  , mLogger(std::make_shared<spdlog::async_logger>("events",
                                                   std::make_shared<PipeSink>(STDOUT_FILENO),
                                                   mThreadPool,
                                                   spdlog::async_overflow_policy::overrun_oldest))
{
  mLogger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %v");
  mLogger->flush_on(spdlog::level::info);
}

EventLog::~EventLog() = default;

bool
EventLog::ConsumeBudget(LogSeverity aSeverity)
{
  std::string dropped;
  bool admitted = false;
  {
    const absl::MutexLock lock{ &mMutex };
    const Instant now = SuspendAwareNow();
    if (now - mPeriodStart >= kBudgetPeriod) {
      mPeriodStart = now;
      for (const auto& [severity, name] : kLogSeverityNames) {
        Budget& budget = mBudgets.at(static_cast<std::size_t>(severity));
        budget.mLines = 0;
        if (budget.mDropped > 0) {
          dropped += fmt::format("{}={} ", name, std::exchange(budget.mDropped, 0));
        }
      }
    }
    Budget& budget = mBudgets.at(static_cast<std::size_t>(aSeverity));
    admitted = budget.mLines < LinesPerSecond(aSeverity);
    if (admitted) {
      ++budget.mLines;
    } else {
      ++budget.mDropped;
    }
  }
  if (!dropped.empty()) {
    Enqueue(LogEvent::kLinesDropped, dropped);
  }
  return admitted;
}

void
EventLog::Enqueue(LogEvent aEvent, const std::string& aFields)
{
  mLogger->info("host={} event={} {}", mHost, NameOf(kLogEventNames, aEvent), Shortened(aFields));
}

} // namespace trefoil
