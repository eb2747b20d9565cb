#include "trefoil/node/internal/shared_request_state.h"

#include "trefoil/node/internal/guarded_step.h"

namespace trefoil {

ContinuedStreams::~ContinuedStreams()
{
  std::list<Worker> workers;
  {
    const absl::MutexLock lock{ &mMutex };
    workers.splice(workers.end(), mWorkers);
  }
  for (Worker& worker : workers) {
    worker.mThread.join();
  }
}

void
ContinuedStreams::Start(std::function<void()> aWork)
{
  const absl::MutexLock lock{ &mMutex };
  for (auto worker = mWorkers.begin(); worker != mWorkers.end();) {
    if (worker->mDone.load()) {
      worker->mThread.join();
      worker = mWorkers.erase(worker);
    } else {
      ++worker;
    }
  }
  Worker& added = mWorkers.emplace_back();
  try {
    added.mThread = std::thread{ [work = std::move(aWork), &added] {
      RunGuardedStep("stream", work);
      added.mDone = true;
    } };
  } catch (const std::exception&) {
    // A worker without a thread could not be joined.
    mWorkers.pop_back();
    throw;
  }
}

} // namespace trefoil
