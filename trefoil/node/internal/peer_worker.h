// Executes the control thread's calls to other entry hosts and its polls of backend servers in a
// thread pool.
//
//   PeerWorker worker{ { .mQueue = &queue } };
//   worker.Submit(PollServer{ .mPoll = poll });
//   // the queue receives ServerPolled
//
// Thread-safe. The destructor drops the calls that are still queued.
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
  // Receives the results. Must outlive the worker.
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

  // Queues a call. The queue is unbounded, but the control state has at most one pending poll per
  // server and one pending fetch.
  void Submit(PeerCall aCall);

private:
  // Ends the threads and waits for them.
  void Close();
  void Run();
  // Blocks until a call is queued and removes it. Returns std::nullopt once the worker is closed.
  std::optional<PeerCall> NextCall();

  const PeerWorkerOptions mOptions;
  absl::Mutex mMutex;
  std::deque<PeerCall> mQueuedCalls ABSL_GUARDED_BY(mMutex);
  bool mClosed ABSL_GUARDED_BY(mMutex) = false;
  std::vector<std::thread> mThreads;
};

} // namespace trefoil
