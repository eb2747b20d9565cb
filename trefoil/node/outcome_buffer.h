// Carries the outcomes of attempts from the traffic threads to the control thread, in batches.
//
//   OutcomeBuffer outcomes{ queue };
//   outcomes.Add(outcome);
//   outcomes.Flush();
//
// A bad outcome goes at once, good ones together. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/node/event_queue.h"
#include "trefoil/rollout/evidence.h"

#include <vector>

namespace trefoil {

class OutcomeBuffer
{
public:
  explicit OutcomeBuffer(EventQueue& aQueue)
    : mQueue(aQueue)
  {
  }

  void Add(AttemptOutcome aOutcome);

  // Sends what waits.
  void Flush();

private:
  EventQueue& mQueue;
  absl::Mutex mMutex;
  std::vector<AttemptOutcome> mOutcomes ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
