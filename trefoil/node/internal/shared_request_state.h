// The state of the requests in progress that the traffic threads of a host share.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/atomic_deadline.h"
#include "trefoil/dispatch/answer_times.h"
#include "trefoil/node/internal/crash_registry.h"
#include "trefoil/node/internal/resume_limiter.h"
#include "trefoil/node/internal/stream_record.h"

#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <thread>

namespace trefoil {

// Threads that continue streams which other hosts handed over. Thread-safe.
class ContinuedStreams
{
public:
  ContinuedStreams() = default;
  ContinuedStreams(const ContinuedStreams&) = delete;
  ContinuedStreams& operator=(const ContinuedStreams&) = delete;
  // Joins the threads.
  ~ContinuedStreams();

  // Runs `aWork` on a new thread and joins the threads that have finished.
  void Start(std::function<void()> aWork);

private:
  // A thread, and whether its work has finished.
  struct Worker
  {
    std::thread mThread;
    std::atomic<bool> mDone = false;
  };

  absl::Mutex mMutex;
  std::list<Worker> mWorkers ABSL_GUARDED_BY(mMutex);
};

// The times of the answers of plain services. Thread-safe.
class PlainAnswerTimes
{
public:
  void Record(const std::string& aRoute, Instant aArrivedAt, Instant aNow)
  {
    const absl::MutexLock lock{ &mMutex };
    RecordAnswerTime(mTimes, aRoute, aArrivedAt, aNow);
  }

  bool CanEndBefore(const PendingRequest& aRequest, Instant aEnd, Instant aNow) const
  {
    const absl::MutexLock lock{ &mMutex };
    return trefoil::CanEndBefore(mTimes, aRequest, aEnd, aNow);
  }

private:
  mutable absl::Mutex mMutex;
  AnswerTimes mTimes ABSL_GUARDED_BY(mMutex);
};

// Thread-safe: each member synchronizes itself.
struct SharedRequestState
{
  SharedRequestState(const HostId& aHost,
                     BroadcastFunction aBroadcast,
                     ApplyArrivedFunction aApplyArrived)
    : mCrashes(aHost, std::move(aBroadcast), std::move(aApplyArrived))
  {
  }

  StreamTable mStreams;
  ResumeLimiter mResumeLimiter;
  CrashRegistry mCrashes;
  // Set once the host hands its streams over; it accepts no streams from then on.
  std::atomic<bool> mLeaving = false;
  // When calls of plain services end, so that their answers are sent before this host ends. Set
  // once the host stops.
  AtomicDeadline mStopsAt;
  PlainAnswerTimes mPlainAnswerTimes;
  // Held while a stream of another host is accepted, so that a repeated message starts it once.
  absl::Mutex mContinueMutex;
  ContinuedStreams mContinuedStreams;
};

} // namespace trefoil
