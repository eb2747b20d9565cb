// Carries out the control thread's calls to other entry hosts and its polls of backend servers on
// threads of their own.
//
//   PeerWorker worker{ { .mQueue = &queue } };
//   worker.Submit(PollServer{ .mPoll = poll });
//   // the queue receives ServerPolled
//
// Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/node/event.h"
#include "trefoil/node/event_queue.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <thread>
#include <variant>
#include <vector>

namespace trefoil {

struct PeerWorkerOptions
{
  // Receives the results. Outlives the worker.
  EventQueue* mQueue = nullptr;
  std::size_t mThreads = 4;
};

class PeerWorker
{
public:
  using PeerCall = std::variant<FetchDocuments, PollServer>;

  explicit PeerWorker(const PeerWorkerOptions& aOptions);
  ~PeerWorker();
  PeerWorker(const PeerWorker&) = delete;
  PeerWorker& operator=(const PeerWorker&) = delete;

  // Takes a call. The control state bounds how many are underway: one a server and one fetch.
  void Submit(PeerCall aCall);

private:
  void Run();
  std::optional<PeerCall> Take();

  const PeerWorkerOptions mOptions;
  absl::Mutex mMutex;
  std::deque<PeerCall> mWaiting ABSL_GUARDED_BY(mMutex);
  bool mClosed ABSL_GUARDED_BY(mMutex) = false;
  std::vector<std::thread> mThreads;
};

} // namespace trefoil
