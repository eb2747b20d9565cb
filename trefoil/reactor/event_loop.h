// A single-threaded event loop for sockets, timers and posted tasks.
//
//   EventLoop loop;
//   loop.CallAt(SuspendAwareNow() + kIdleTimeout, [&] { CloseIdle(); });
//   loop.Watch(socket, kReadable, [&](unsigned aReady) { ... });
//   loop.Run();                              // until Stop()
//
// All times are values of SuspendAwareNow. Only Post and Stop are thread-safe; all other functions
// must be called on the thread that runs the loop, or before Run. The thread blocks in the kernel
// while it waits and does not spin.
//
// An exception that leaves a task, a timer or a handler ends only that call. It is passed to the
// failure handler, and the loop goes on. A socket whose handler has failed is not polled for a
// moment, since the cause may still be there. A call that throws, for want of memory too, changes
// nothing, except that Watch leaves the socket unwatched.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/instant.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace trefoil {

// Socket events, combined by `|`. kFailed is always reported, even if it is not requested.
inline constexpr unsigned kReadable = 1;
inline constexpr unsigned kWritable = 2;
inline constexpr unsigned kFailed = 4;

class EventLoop
{
public:
  using Task = std::function<void()>;
  using Handler = std::function<void(unsigned aReady)>;
  using FailureHandler = std::function<void(std::string_view aReason)>;
  using TimerId = std::uint64_t;

  EventLoop();

  // Sets what is called on the thread of the loop with the text of each exception. Its own
  // exceptions are dropped.
  void SetFailureHandler(FailureHandler aHandler) { mFailureHandler = std::move(aHandler); }

  // Runs tasks, timers and handlers until Stop is called.
  void Run();
  // Makes Run return at the end of the current iteration at the latest. Thread-safe.
  void Stop();

  // Queues a task for the next iteration of the loop, on the thread of the loop. Thread-safe.
  void Post(Task aTask);

  // Runs the task now. Passes an exception to the failure handler and returns false. For calls
  // after which the caller has to go on in any case: it allocates no memory of its own.
  template<typename Callable>
  bool RunGuarded(const Callable& aTask)
  {
    try {
      aTask();
      return true;
    } catch (const std::exception& error) {
      ReportFailure(error);
    }
    return false;
  }

  // Schedules a task to run once at `aTime`. Returns an id for Cancel, never 0.
  TimerId CallAt(Instant aTime, Task aTask);
  // Cancels a timer. Does nothing if the timer has already run or the id is 0.
  void Cancel(TimerId aTimer);

  // Calls the handler in each iteration in which the socket is ready for any of `aEvents`
  // (level-triggered) until Unwatch is called. A second call for the same socket replaces its
  // events and handler. Throws Poco::Exception if the system refuses, or another std::exception if
  // it lacks memory; the socket is not watched then.
  void Watch(const Poco::Net::Socket& aSocket, unsigned aEvents, Handler aHandler);
  void Unwatch(const Poco::Net::Socket& aSocket);
  // Does not poll a watched socket until `aUntil`, or later if the system refuses to poll it then.
  // Does not throw.
  void Pause(const Poco::Net::Socket& aSocket, Instant aUntil);

private:
  void WakeUp();
  void RunTasks();
  void RunTimers();
  void PollSockets();
  void ReportFailure(const std::exception& aError) const;

  struct WatchedSocket
  {
    // Keeps the address of the socket from being used by another one.
    Poco::Net::Socket mSocket;
    Handler mHandler;
    unsigned mEvents = 0;
    // Until when the socket is not polled, if it is paused.
    std::optional<Instant> mPausedUntil;
  };

  void ResumeSockets();
  void Resume(WatchedSocket& aWatched, Instant aNow);
  void HandleEvents(const Poco::Net::Socket& aSocket, unsigned aEvents);
  Milliseconds TimeToWait() const;

  Poco::Net::PollSet mSockets;
  // An eventfd that Post and Stop write to in order to wake up the loop.
  Poco::Net::StreamSocket mWakeUpEvent;
  std::unordered_map<const void*, WatchedSocket> mWatched;
  // When the next paused socket is polled again, if there is one.
  std::optional<Instant> mNextResume;
  std::map<std::pair<Instant, TimerId>, Task> mTimers;
  std::unordered_map<TimerId, Instant> mTimerTimes;
  TimerId mLastTimer = 0;
  FailureHandler mFailureHandler;
  std::atomic<bool> mStopped{ false };
  absl::Mutex mMutex;
  std::vector<Task> mTasks ABSL_GUARDED_BY(mMutex);
};

// Returns whether bytes, a connection or an end can be read from the socket now. Opens no
// descriptor, unlike the poll function of the library, so it works when none is left.
bool
IsReadable(const Poco::Net::Socket& aSocket);

} // namespace trefoil
