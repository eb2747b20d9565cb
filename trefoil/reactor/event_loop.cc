#include "trefoil/reactor/event_loop.h"

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <poll.h>
#include <sys/eventfd.h>
#include <utility>

namespace trefoil {
namespace {

// Maximum wait if no timer is due earlier. A posted task or a socket event ends the wait.
constexpr Milliseconds kMaxWait{ 5'000 };
// How long a socket is not polled after its handler failed.
constexpr Milliseconds kFailurePause{ 20 };

int
PollMode(unsigned aEvents)
{
  int mode = Poco::Net::PollSet::POLL_ERROR;
  if ((aEvents & kReadable) != 0) {
    mode |= Poco::Net::PollSet::POLL_READ;
  }
  if ((aEvents & kWritable) != 0) {
    mode |= Poco::Net::PollSet::POLL_WRITE;
  }
  return mode;
}

unsigned
ReadyEvents(int aMode)
{
  unsigned ready = 0;
  if ((aMode & Poco::Net::PollSet::POLL_READ) != 0) {
    ready |= kReadable;
  }
  if ((aMode & Poco::Net::PollSet::POLL_WRITE) != 0) {
    ready |= kWritable;
  }
  if ((aMode & Poco::Net::PollSet::POLL_ERROR) != 0) {
    ready |= kFailed;
  }
  return ready;
}

} // namespace

EventLoop::EventLoop()
  : mWakeUpEvent(new Poco::Net::StreamSocketImpl(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)))
{
  Watch(mWakeUpEvent, kReadable, [this](unsigned /*aReady*/) {
    eventfd_t count = 0;
    eventfd_read(mWakeUpEvent.impl()->sockfd(), &count);
  });
}

void
EventLoop::WakeUp()
{
  eventfd_write(mWakeUpEvent.impl()->sockfd(), 1);
}

void
EventLoop::Run()
{
  while (!mStopped.load()) {
    RunTasks();
    RunTimers();
    ResumeSockets();
    if (!mStopped.load()) {
      PollSockets();
    }
  }
}

void
EventLoop::Stop()
{
  mStopped.store(true);
  WakeUp();
}

void
EventLoop::Post(Task aTask)
{
  {
    const absl::MutexLock lock{ &mMutex };
    mTasks.push_back(std::move(aTask));
    if (mTasks.size() > 1) {
      return;
    }
  }
  WakeUp();
}

EventLoop::TimerId
EventLoop::CallAt(Instant aTime, Task aTask)
{
  const TimerId id = ++mLastTimer;
  const auto time = mTimerTimes.emplace(id, aTime).first;
  try {
    mTimers.emplace(std::make_pair(aTime, id), std::move(aTask));
  } catch (const std::exception&) {
    mTimerTimes.erase(time);
    throw;
  }
  return id;
}

void
EventLoop::Cancel(TimerId aTimer)
{
  const auto found = mTimerTimes.find(aTimer);
  if (found != mTimerTimes.end()) {
    mTimers.erase({ found->second, aTimer });
    mTimerTimes.erase(found);
  }
}

void
EventLoop::ReportFailure(const std::exception& aError) const
{
  if (!mFailureHandler) {
    return;
  }
  try {
    const auto* libraryError = dynamic_cast<const Poco::Exception*>(&aError);
    mFailureHandler(libraryError == nullptr ? aError.what() : libraryError->displayText());
  } catch (const std::exception&) {
    // The loop goes on without the report.
    return;
  }
}

void
EventLoop::Watch(const Poco::Net::Socket& aSocket, unsigned aEvents, Handler aHandler)
{
  const auto [entry, inserted] =
    mWatched.try_emplace(aSocket.impl(), WatchedSocket{ .mSocket = aSocket });
  WatchedSocket& watched = entry->second;
  try {
    if (inserted || watched.mPausedUntil.has_value()) {
      mSockets.add(aSocket, PollMode(aEvents));
    } else {
      mSockets.update(aSocket, PollMode(aEvents));
    }
  } catch (const std::exception&) {
    Unwatch(aSocket);
    throw;
  }
  watched.mHandler = std::move(aHandler);
  watched.mEvents = aEvents;
  watched.mPausedUntil.reset();
}

void
EventLoop::Unwatch(const Poco::Net::Socket& aSocket)
{
  if (mWatched.erase(aSocket.impl()) == 0) {
    return;
  }
  try {
    mSockets.remove(aSocket);
  } catch (const std::exception&) {
    // The socket was not polled, because it is paused or the system refused to poll it.
    return;
  }
}

void
EventLoop::Pause(const Poco::Net::Socket& aSocket, Instant aUntil)
{
  const auto found = mWatched.find(aSocket.impl());
  if (found == mWatched.end()) {
    return;
  }
  found->second.mPausedUntil = aUntil;
  mNextResume = std::min(mNextResume.value_or(aUntil), aUntil);
  try {
    mSockets.remove(aSocket);
  } catch (const std::exception&) {
    // The socket was not polled.
    return;
  }
}

// Polls the paused sockets again whose time has come. Allocates no memory of its own: nobody else
// would poll them again.
void
EventLoop::ResumeSockets()
{
  const Instant now = SuspendAwareNow();
  if (!mNextResume.has_value() || !HasPassed(*mNextResume, now)) {
    return;
  }
  mNextResume.reset();
  for (auto& [key, watched] : mWatched) {
    if (watched.mPausedUntil.has_value()) {
      Resume(watched, now);
    }
    if (watched.mPausedUntil.has_value()) {
      mNextResume = std::min(mNextResume.value_or(*watched.mPausedUntil), *watched.mPausedUntil);
    }
  }
}

void
EventLoop::Resume(WatchedSocket& aWatched, Instant aNow)
{
  if (!HasPassed(*aWatched.mPausedUntil, aNow)) {
    return;
  }
  try {
    mSockets.add(aWatched.mSocket, PollMode(aWatched.mEvents));
    aWatched.mPausedUntil.reset();
  } catch (const std::exception&) {
    aWatched.mPausedUntil = aNow + kFailurePause;
  }
}

void
EventLoop::RunTasks()
{
  std::vector<Task> tasks;
  {
    const absl::MutexLock lock{ &mMutex };
    tasks.swap(mTasks);
  }
  for (const Task& task : tasks) {
    RunGuarded(task);
  }
}

void
EventLoop::RunTimers()
{
  const Instant now = SuspendAwareNow();
  while (!mTimers.empty() && mTimers.begin()->first.first <= now) {
    auto timer = mTimers.extract(mTimers.begin());
    mTimerTimes.erase(timer.key().second);
    RunGuarded(timer.mapped());
  }
}

Milliseconds
EventLoop::TimeToWait() const
{
  Instant until = SuspendAwareNow() + kMaxWait;
  if (!mTimers.empty()) {
    until = std::min(until, mTimers.begin()->first.first);
  }
  until = std::min(until, mNextResume.value_or(until));
  return std::max(Milliseconds{ 0 }, std::chrono::ceil<Milliseconds>(until - SuspendAwareNow()));
}

void
EventLoop::PollSockets()
{
  {
    const absl::MutexLock lock{ &mMutex };
    if (!mTasks.empty()) {
      return;
    }
  }
  const Milliseconds wait = TimeToWait();
  Poco::Net::PollSet::SocketModeMap ready;
  const auto poll = [&] {
    ready = mSockets.poll(Poco::Timespan{ std::chrono::microseconds{ wait }.count() });
  };
  if (!RunGuarded(poll)) {
    absl::SleepFor(absl::FromChrono(kFailurePause));
  }
  for (const auto& [socket, mode] : ready) {
    HandleEvents(socket, ReadyEvents(mode));
  }
}

void
EventLoop::HandleEvents(const Poco::Net::Socket& aSocket, unsigned aEvents)
{
  // An earlier handler of this iteration may have closed the socket.
  const auto watched = mWatched.find(aSocket.impl());
  if (watched == mWatched.end()) {
    return;
  }
  const bool isHandled = RunGuarded([&] {
    // The handler may replace itself.
    const Handler handler = watched->second.mHandler;
    handler(aEvents);
  });
  if (!isHandled) {
    Pause(aSocket, SuspendAwareNow() + kFailurePause);
  }
}

bool
IsReadable(const Poco::Net::Socket& aSocket)
{
  pollfd entry{ .fd = aSocket.impl()->sockfd(), .events = POLLIN };
  return ::poll(&entry, 1, 0) > 0;
}

} // namespace trefoil
