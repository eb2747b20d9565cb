// Carries out the control thread's calls to the store on threads of its own.
//
//   StoreWorker worker{ { .mStore = client, .mQueue = &queue } };
//   worker.Submit(StoreReadWanted{ .mTopic = StoreTopic::kClaims, .mTag = 7, .mKey = key,
//   .mDeadline = deadline });
//   // the queue receives StoreReadDone with the same topic and tag
//
// Calls wait in line; one whose deadline passes in line is not sent and ends as "not written".
// Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/node/event.h"
#include "trefoil/node/event_queue.h"
#include "trefoil/platform/store_client.h"

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
  // Receives the results. Outlives the worker.
  EventQueue* mQueue = nullptr;
  std::size_t mThreads = 2;
  // Further calls are answered at once as not sent.
  std::size_t mMaxWaiting = 256;
};

class StoreWorker
{
public:
  using StoreCall = std::variant<StoreReadWanted, StoreWriteWanted, LeaseCallWanted>;

  explicit StoreWorker(const StoreWorkerOptions& aOptions);
  ~StoreWorker();
  StoreWorker(const StoreWorker&) = delete;
  StoreWorker& operator=(const StoreWorker&) = delete;

  void Submit(StoreCall aCall);

private:
  void Run();
  std::optional<StoreCall> Take();

  const StoreWorkerOptions mOptions;
  absl::Mutex mMutex;
  std::deque<StoreCall> mWaiting ABSL_GUARDED_BY(mMutex);
  bool mClosed ABSL_GUARDED_BY(mMutex) = false;
  std::vector<std::thread> mThreads;
};

} // namespace trefoil
