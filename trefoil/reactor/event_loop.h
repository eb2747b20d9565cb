// One thread that waits on many sockets, timers and posted tasks.
//
//   EventLoop loop;
//   loop.CallAt(SuspendAwareNow() + kIdleLimit, [&] { CloseIdle(); });
//   loop.Watch(socket, kReadable, [&](unsigned aReady) { ... });
//   loop.Run();                              // until Stop()
//
// All times are those of SuspendAwareNow. Only Post and Stop may be called by other threads. Waits
// in the system without spinning.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/instant.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace trefoil {

// What a socket is ready for; combined by `|`.
inline constexpr unsigned kReadable = 1;
inline constexpr unsigned kWritable = 2;
inline constexpr unsigned kFailed = 4;

class EventLoop
{
public:
  using Task = std::function<void()>;
  using Handler = std::function<void(unsigned aReady)>;
  using TimerId = std::uint64_t;

  EventLoop();

  // Runs tasks, timers and handlers until Stop is called.
  void Run();
  void Stop();

  // Runs a task on the loop's thread soon. Thread-safe.
  void Post(Task aTask);

  // Runs a task at a time. Returns an id for Cancel, never 0.
  TimerId CallAt(Instant aTime, Task aTask);
  // Drops a timer; one that has run, or 0, is ignored.
  void Cancel(TimerId aTimer);

  // Calls the handler while the socket is ready for what `aEvents` names. A second call for the
  // same socket replaces the first. The socket stays watched until Unwatch.
  void Watch(const Poco::Net::Socket& aSocket, unsigned aEvents, Handler aHandler);
  void Unwatch(const Poco::Net::Socket& aSocket);

private:
  void WakeUp();
  void RunTasks();
  void RunTimers();
  void Wait();

  Poco::Net::PollSet mSockets;
  // An event descriptor that other threads write to.
  Poco::Net::StreamSocket mWakeUp;
  std::unordered_map<const void*, Handler> mHandlers;
  std::map<std::pair<Instant, TimerId>, Task> mTimers;
  std::unordered_map<TimerId, Instant> mTimerTimes;
  TimerId mLastTimer = 0;
  std::atomic<bool> mStopped{ false };
  absl::Mutex mMutex;
  std::vector<Task> mTasks ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
