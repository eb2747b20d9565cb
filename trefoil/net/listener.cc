#include "trefoil/net/listener.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>
#include <algorithm>
#include <atomic>
#include <map>
#include <optional>
#include <thread>

namespace trefoil {
namespace {

constexpr int kThreadStackBytes = 256 * 1024;
constexpr int kThreadIdleSeconds = 60;
// Threads that have just served a connection and are not idle again yet.
constexpr std::int64_t kSpareThreads = 16;
constexpr int kListenBacklog = 1024;
// How often the accepting thread and waiting connections look whether the listener stops.
constexpr Milliseconds kStopCheck{ 100 };
// How long a connection without a request may stay once the listener drains.
constexpr Milliseconds kFirstRequestGrace{ 1000 };

Poco::Timespan
TimespanOf(Milliseconds aTime)
{
  return Poco::Timespan{ std::chrono::microseconds{ aTime }.count() };
}

bool
IsReadable(Poco::Net::StreamSocket& aSocket, Milliseconds aLimit)
{
  try {
    return aSocket.poll(TimespanOf(aLimit), Poco::Net::Socket::SELECT_READ);
  } catch (const Poco::Exception&) {
    // The read that follows tells what is wrong.
    return true;
  }
}

} // namespace

Connection::Connection(const Poco::Net::StreamSocket& aSocket,
                       const std::function<bool()>& aIsDraining)
  : mSocket(aSocket)
  , mIsDraining(aIsDraining)
{
}

bool
Connection::AwaitRequest(Instant aDeadline)
{
  std::optional<Instant> graceEndsAt;
  while (true) {
    if (mIsDraining() && !graceEndsAt.has_value()) {
      graceEndsAt = Now() + (mServed ? Milliseconds{ 0 } : kFirstRequestGrace);
    }
    const Instant until = std::min(aDeadline, graceEndsAt.value_or(aDeadline));
    if (IsReadable(mSocket, std::min(Remaining(until, Now()), kStopCheck))) {
      mServed = true;
      return true;
    }
    if (HasPassed(until, Now())) {
      return false;
    }
  }
}

struct Listener::State
{
  // Serves one connection on a thread of the pool.
  class Task : public Poco::Runnable
  {
  public:
    Task(State& aState, const Poco::Net::StreamSocket& aSocket)
      : mState(aState)
      , mConnection(aSocket, aState.mIsDraining)
    {
    }

    void run() override
    {
      mState.mOptions.mServe(mConnection);
      mState.End(this);
    }

    Poco::Net::StreamSocket& Socket() { return mConnection.Socket(); }

  private:
    State& mState;
    Connection mConnection;
  };

  explicit State(ListenerOptions aOptions)
    : mOptions(std::move(aOptions))
    , mThreads(2,
               static_cast<int>(mOptions.mMaxConnections + kSpareThreads),
               kThreadIdleSeconds,
               kThreadStackBytes)
    , mIsDraining([this] { return mDraining.load(); })
  {
  }

  void Run();
  void AwaitSlot();
  void StartTask(const Poco::Net::StreamSocket& aSocket);
  void End(Task* aTask);
  bool AwaitEmpty(Instant aDeadline);
  std::int64_t Count();
  void BreakAll();

  const ListenerOptions mOptions;
  Poco::Net::ServerSocket mSocket;
  std::uint16_t mPort = 0;
  Poco::ThreadPool mThreads;
  const std::function<bool()> mIsDraining;
  std::atomic<bool> mDraining = false;
  std::atomic<bool> mBroken = false;
  std::thread mAcceptThread;
  absl::Mutex mMutex;
  std::map<Task*, std::unique_ptr<Task>> mTasks ABSL_GUARDED_BY(mMutex);
};

void
Listener::State::Run()
{
  while (true) {
    AwaitSlot();
    // Once it drains, what has come up is taken in before the socket is closed.
    const bool last = mDraining.load();
    try {
      if (mSocket.poll(TimespanOf(last ? Milliseconds{ 0 } : kStopCheck),
                       Poco::Net::Socket::SELECT_READ)) {
        StartTask(mSocket.acceptConnection());
        continue;
      }
    } catch (const Poco::Exception&) {
      // The peer was gone before it was accepted, or the system has no descriptor left.
      absl::SleepFor(absl::FromChrono(kStopCheck));
      continue;
    }
    if (last) {
      break;
    }
  }
  mSocket.close();
}

void
Listener::State::AwaitSlot()
{
  const auto hasSlot = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) {
    return static_cast<std::int64_t>(mTasks.size()) < mOptions.mMaxConnections || mBroken.load();
  };
  const absl::MutexLock lock{ &mMutex };
  mMutex.Await(absl::Condition(&hasSlot));
}

void
Listener::State::StartTask(const Poco::Net::StreamSocket& aSocket)
{
  auto task = std::make_unique<Task>(*this, aSocket);
  Task* raw = task.get();
  {
    const absl::MutexLock lock{ &mMutex };
    mTasks.emplace(raw, std::move(task));
  }
  try {
    mThreads.start(*raw);
  } catch (const Poco::Exception&) {
    // The system gives no thread: the connection is closed.
    End(raw);
  }
}

void
Listener::State::End(Task* aTask)
{
  std::unique_ptr<Task> ended;
  const absl::MutexLock lock{ &mMutex };
  const auto found = mTasks.find(aTask);
  ended = std::move(found->second);
  mTasks.erase(found);
}

std::int64_t
Listener::State::Count()
{
  const absl::MutexLock lock{ &mMutex };
  return static_cast<std::int64_t>(mTasks.size());
}

bool
Listener::State::AwaitEmpty(Instant aDeadline)
{
  const auto empty = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) { return mTasks.empty(); };
  const absl::MutexLock lock{ &mMutex };
  return mMutex.AwaitWithTimeout(absl::Condition(&empty), absl::FromChrono(aDeadline - Now()));
}

void
Listener::State::BreakAll()
{
  const absl::MutexLock lock{ &mMutex };
  mBroken = true;
  for (const auto& [raw, task] : mTasks) {
    try {
      task->Socket().shutdown();
    } catch (const Poco::Exception&) {
      // The peer closed it already.
      continue;
    }
  }
}

Listener::Listener(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

Listener::Listener(Listener&&) noexcept = default;
Listener&
Listener::operator=(Listener&&) noexcept = default;

Listener::~Listener()
{
  if (mState == nullptr) {
    return;
  }
  mState->mDraining = true;
  mState->BreakAll();
  if (mState->mAcceptThread.joinable()) {
    mState->mAcceptThread.join();
  }
  mState->BreakAll();
  mState->mThreads.joinAll();
}

absl::StatusOr<Listener>
Listener::Start(ListenerOptions aOptions)
{
  try {
    auto state = std::make_unique<State>(std::move(aOptions));
    const Endpoint& listen = state->mOptions.mListen;
    state->mSocket.bind(Poco::Net::SocketAddress{ listen.mAddress, listen.mPort }, true);
    state->mSocket.listen(kListenBacklog);
    state->mPort = state->mSocket.address().port();
    State* raw = state.get();
    state->mAcceptThread = std::thread{ [raw] { raw->Run(); } };
    return Listener{ std::move(state) };
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

std::int64_t
Listener::Drain(Instant aDeadline)
{
  mState->mDraining = true;
  if (!mState->AwaitEmpty(aDeadline)) {
    return mState->Count();
  }
  if (mState->mAcceptThread.joinable()) {
    mState->mAcceptThread.join();
  }
  mState->AwaitEmpty(aDeadline);
  return mState->Count();
}

std::uint16_t
Listener::Port() const
{
  return mState->mPort;
}

} // namespace trefoil
