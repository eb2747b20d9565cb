// Points in time. Code that makes decisions receives the current time as an argument and stores
// deadlines, so that tests and simulations can control time.
//
//   Instant deadline = aNow + kStallTimeout;
//   bool late = HasPassed(deadline, aNow);
#pragma once

#include <chrono>
#include <cstdint>

namespace trefoil {

// Monotonic time of this process. Must not be compared between hosts.
using Instant = std::chrono::steady_clock::time_point;

// Wall-clock time, for documents and the audit trail.
using WallTime = std::chrono::system_clock::time_point;

using Milliseconds = std::chrono::milliseconds;

// Returns the current monotonic time. Must not be called in code that makes decisions.
inline Instant
Now()
{
  return std::chrono::steady_clock::now();
}

// Returns the current monotonic time including the time for which the host was suspended. For code
// whose deadlines must pass while the host is suspended. Such an Instant must not be combined with
// one from Now().
Instant
SuspendAwareNow();

// Returns the current wall-clock time. Must not be called in code that makes decisions.
inline WallTime
WallNow()
{
  return std::chrono::system_clock::now();
}

// Returns whether `aNow` has reached `aDeadline`.
inline bool
HasPassed(Instant aDeadline, Instant aNow)
{
  return aNow >= aDeadline;
}

// Returns the time from `aNow` until `aDeadline`, rounded down to milliseconds; zero if the
// deadline has passed.
inline Milliseconds
Remaining(Instant aDeadline, Instant aNow)
{
  if (HasPassed(aDeadline, aNow)) {
    return Milliseconds{ 0 };
  }
  return std::chrono::duration_cast<Milliseconds>(aDeadline - aNow);
}

// Returns the milliseconds from the Unix epoch to `aTime`.
inline std::int64_t
UnixMilliseconds(WallTime aTime)
{
  return std::chrono::duration_cast<Milliseconds>(aTime.time_since_epoch()).count();
}

// Returns the time `aMilliseconds` after the Unix epoch.
inline WallTime
FromUnixMilliseconds(std::int64_t aMilliseconds)
{
  return WallTime{ Milliseconds{ aMilliseconds } };
}

} // namespace trefoil
