#include "trefoil/eventlog/event_log.h"

#include "trefoil/eventlog/pipe_sink.h"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <unistd.h>
#include <utility>

namespace trefoil {
namespace {

// Lines that wait for the writer; at 300 bytes each they are under 160 kB.
constexpr std::size_t kQueueLines = 512;
// Lines a second: twice the requests a second that one host of the target serves at its peak (46).
constexpr int kRoutineLinesPerSecond = 100;
// Lines a second: failures come in bursts of all requests in flight.
constexpr int kNotableLinesPerSecond = 200;
constexpr std::chrono::seconds kBudgetPeriod{ 1 };

int
LinesPerSecond(LogWeight aWeight)
{
  return aWeight == LogWeight::kRoutine ? kRoutineLinesPerSecond : kNotableLinesPerSecond;
}

} // namespace

EventLog::EventLog(std::string aHost)
  : mHost(std::move(aHost))
  , mPool(std::make_shared<spdlog::details::thread_pool>(kQueueLines, 1))
  , mLogger(std::make_shared<spdlog::async_logger>("events",
                                                   std::make_shared<PipeSink>(STDOUT_FILENO),
                                                   mPool,
                                                   spdlog::async_overflow_policy::overrun_oldest))
{
  mLogger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %v");
  mLogger->flush_on(spdlog::level::info);
}

EventLog::~EventLog() = default;

bool
EventLog::Admit(LogWeight aWeight)
{
  std::string dropped;
  bool admitted = false;
  {
    const absl::MutexLock lock{ &mMutex };
    const Instant now = SuspendAwareNow();
    if (now - mSecond >= kBudgetPeriod) {
      mSecond = now;
      for (const auto& [weight, name] : kLogWeightNames) {
        Budget& budget = mBudgets.at(static_cast<std::size_t>(weight));
        budget.mLines = 0;
        if (budget.mDropped > 0) {
          dropped += fmt::format("{}={} ", name, std::exchange(budget.mDropped, 0));
        }
      }
    }
    Budget& budget = mBudgets.at(static_cast<std::size_t>(aWeight));
    admitted = budget.mLines < LinesPerSecond(aWeight);
    if (admitted) {
      ++budget.mLines;
    } else {
      ++budget.mDropped;
    }
  }
  if (!dropped.empty()) {
    Put(LogEvent::kLinesDropped, dropped);
  }
  return admitted;
}

void
EventLog::Put(LogEvent aEvent, const std::string& aFields)
{
  mLogger->info("host={} event={} {}", mHost, NameOf(kLogEventNames, aEvent), aFields);
}

} // namespace trefoil
