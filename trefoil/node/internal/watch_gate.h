// Lets the store's thread wait until this host is to watch the store.
//
//   gate.SetWanted(true);                    // control thread
//   if (gate.Wait()) { ... }                 // store thread
//
// Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "trefoil/base/instant.h"

namespace trefoil {

class WatchGate
{
public:
  void SetWanted(bool aWanted)
  {
    const absl::MutexLock lock{ &mMutex };
    mWanted = aWanted;
  }

  // Ends all waiting for good.
  void Close()
  {
    const absl::MutexLock lock{ &mMutex };
    mClosed = true;
  }

  // Waits until a watch is wanted. Returns false once the gate is closed.
  bool Wait()
  {
    const auto ready = [this]()
                         ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) { return mClosed || mWanted; };
    const absl::MutexLock lock{ &mMutex };
    mMutex.Await(absl::Condition(&ready));
    return !mClosed;
  }

  // Waits until `aUntil` or until the gate is closed.
  void Pause(Instant aUntil)
  {
    const absl::MutexLock lock{ &mMutex };
    mMutex.AwaitWithTimeout(absl::Condition(&mClosed), absl::FromChrono(aUntil - Now()));
  }

private:
  absl::Mutex mMutex;
  // A host asks the store once before it can be ready.
  bool mWanted ABSL_GUARDED_BY(mMutex) = true;
  bool mClosed ABSL_GUARDED_BY(mMutex) = false;
};

} // namespace trefoil
