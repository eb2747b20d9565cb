// Points in time. Decision code receives the current time as an argument and stores deadlines.
//
//   Instant deadline = aNow + kStallLimit;
//   bool late = HasPassed(deadline, aNow);
#pragma once

#include <chrono>
#include <cstdint>

namespace trefoil {

// Monotonic time of this process. Never compared between hosts.
using Instant = std::chrono::steady_clock::time_point;

// Calendar time, for documents and the audit trail.
using WallTime = std::chrono::system_clock::time_point;

using Milliseconds = std::chrono::milliseconds;

// Returns the current monotonic time. Called at the edges only, never in decision code.
inline Instant
Now()
{
  return std::chrono::steady_clock::now();
}

// Returns the monotonic time including the time that the host was suspended. It is used alone, or
// throughout, by a process whose deadlines must go on while the host is suspended, and never mixed
// with Now().
Instant
SuspendAwareNow();

// Returns the current calendar time. Called at the edges only, never in decision code.
inline WallTime
WallNow()
{
  return std::chrono::system_clock::now();
}

inline bool
HasPassed(Instant aDeadline, Instant aNow)
{
  return aNow >= aDeadline;
}

// Returns the time left before `aDeadline`, zero once it has passed.
inline Milliseconds
Remaining(Instant aDeadline, Instant aNow)
{
  if (HasPassed(aDeadline, aNow)) {
    return Milliseconds{ 0 };
  }
  return std::chrono::duration_cast<Milliseconds>(aDeadline - aNow);
}

inline std::int64_t
UnixMilliseconds(WallTime aTime)
{
  return std::chrono::duration_cast<Milliseconds>(aTime.time_since_epoch()).count();
}

inline WallTime
FromUnixMilliseconds(std::int64_t aMilliseconds)
{
  return WallTime{ Milliseconds{ aMilliseconds } };
}

} // namespace trefoil
