#include "trefoil/startup/signals.h"

#include <cerrno>
#include <ctime>

namespace trefoil {
namespace {

timespec
ToTimespec(Milliseconds aDuration)
{
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aDuration);
  return { .tv_sec = seconds.count(),
           .tv_nsec = std::chrono::nanoseconds{ aDuration - seconds }.count() };
}

} // namespace

std::optional<int>
AwaitSignal(const sigset_t& aSignals, Instant aDeadline)
{
  for (;;) {
    const timespec timeout = ToTimespec(Remaining(aDeadline, SuspendAwareNow()));
    const int signal = sigtimedwait(&aSignals, nullptr, &timeout);
    if (signal > 0) {
      return signal;
    }
    // EINTR after the process was stopped and continued.
    if (errno != EINTR) {
      return std::nullopt;
    }
  }
}

bool
IsStopSignal(int aSignal)
{
  return aSignal == SIGTERM || aSignal == SIGINT;
}

} // namespace trefoil
