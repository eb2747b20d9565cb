// Switches the thread that watches the store on and off.
//
//   watchSwitch.SetEnabled(true);               // control thread
//   while (watchSwitch.AwaitEnabled()) { ... }  // store thread
//
// Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "trefoil/base/instant.h"

namespace trefoil {

class StoreWatchSwitch
{
public:
  void SetEnabled(bool aEnabled)
  {
    const absl::MutexLock lock{ &mMutex };
    mEnabled = aEnabled;
  }

  // Ends all current and later waits.
  void Close()
  {
    const absl::MutexLock lock{ &mMutex };
    mClosed = true;
  }

  // Blocks until the watch is enabled. Returns false once the switch is closed.
  bool AwaitEnabled()
  {
    const auto ready = [this]()
                         ABSL_EXCLUSIVE_LOCKS_REQUIRED(mMutex) { return mClosed || mEnabled; };
    const absl::MutexLock lock{ &mMutex };
    mMutex.Await(absl::Condition(&ready));
    return !mClosed;
  }

  // Blocks until `aUntil` or until the switch is closed.
  void SleepUntil(Instant aUntil)
  {
    const absl::MutexLock lock{ &mMutex };
    mMutex.AwaitWithTimeout(absl::Condition(&mClosed), absl::FromChrono(aUntil - Now()));
  }

private:
  absl::Mutex mMutex;
  // Starts as true since a new host reads the store before it is ready.
  bool mEnabled ABSL_GUARDED_BY(mMutex) = true;
  bool mClosed ABSL_GUARDED_BY(mMutex) = false;
};

} // namespace trefoil
