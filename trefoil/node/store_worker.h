// Executes the control thread's calls to the store in a thread pool.
//
//   StoreWorker worker{ { .mStore = client, .mQueue = &queue } };
//   worker.Submit(ReadStoreEntry{ .mTopic = StoreTopic::kClaims, .mTag = 7, ... });
//   // the queue receives StoreReadCompleted with the same topic and tag
//
// Calls are queued. A call whose deadline passes in the queue is not sent: a read completes with
// Unavailable, a write with kNotWritten, a lease call with kUnknown. The destructor drops the calls
// that are still queued. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/node/event.h"
#include "trefoil/node/event_queue.h"
#include "trefoil/store_client/store_client.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <thread>
#include <variant>
#include <vector>

namespace trefoil {

struct StoreWorkerOptions
{
  StoreClient mStore;
  // Receives the results. Must outlive the worker.
  EventQueue* mQueue = nullptr;
  std::size_t mThreads = 2;
  // Further calls complete immediately as not sent.
  std::size_t mMaxQueuedCalls = 256;
};

class StoreWorker
{
public:
  using StoreCall = std::variant<ReadStoreEntry, WriteStoreEntry, SendLeaseCall>;

  explicit StoreWorker(const StoreWorkerOptions& aOptions);
  ~StoreWorker();
  StoreWorker(const StoreWorker&) = delete;
  StoreWorker& operator=(const StoreWorker&) = delete;

  // Queues a call. Its result is pushed to the event queue.
  void Submit(StoreCall aCall);

private:
  // Ends the threads and waits for them.
  void Close();
  void Run();
  // Blocks until a call is queued and removes it. Returns std::nullopt once the worker is closed.
  std::optional<StoreCall> NextCall();

  const StoreWorkerOptions mOptions;
  absl::Mutex mMutex;
  std::deque<StoreCall> mQueuedCalls ABSL_GUARDED_BY(mMutex);
  bool mClosed ABSL_GUARDED_BY(mMutex) = false;
  std::vector<std::thread> mThreads;
};

} // namespace trefoil
