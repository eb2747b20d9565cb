// What the traffic threads of a host share about the requests in progress.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/node/internal/crash_board.h"
#include "trefoil/node/internal/resume_gate.h"
#include "trefoil/node/internal/stream_record.h"

#include <atomic>
#include <functional>
#include <list>
#include <thread>

namespace trefoil {

// Threads that go on with streams which other hosts handed over. Thread-safe.
class AdoptedStreams
{
public:
  AdoptedStreams() = default;
  AdoptedStreams(const AdoptedStreams&) = delete;
  AdoptedStreams& operator=(const AdoptedStreams&) = delete;
  // Waits for the threads.
  ~AdoptedStreams();

  void Start(std::function<void()> aWork);

private:
  // A thread and whether its work is done.
  struct Worker
  {
    std::thread mThread;
    std::atomic<bool> mDone = false;
  };

  absl::Mutex mMutex;
  std::list<Worker> mWorkers ABSL_GUARDED_BY(mMutex);
};

struct RequestLife
{
  RequestLife(const HostId& aHost, TellHosts aTellHosts)
    : mCrashes(aHost, std::move(aTellHosts))
  {
  }

  StreamTable mStreams;
  ResumeGate mResumes;
  CrashBoard mCrashes;
  // Set once the host gives its streams away: it takes none in.
  std::atomic<bool> mLeaving = false;
  // Held while a stream of another host is taken in, so that a repeated message takes it in once.
  absl::Mutex mAdoptMutex;
  AdoptedStreams mAdopted;
};

} // namespace trefoil
