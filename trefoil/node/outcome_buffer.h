// Batches the outcomes of attempts on the traffic threads and sends them to the control thread.
//
//   OutcomeBuffer outcomes{ queue };
//   outcomes.Add(outcome);
//   outcomes.Flush();
//
// Any outcome other than OutcomeKind::kGood flushes the buffer immediately; good outcomes are
// sent when a batch is full or on Flush. Thread-safe.
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

  // Sends the buffered outcomes, if any, as one event.
  void Flush();

private:
  EventQueue& mQueue;
  absl::Mutex mMutex;
  std::vector<AttemptOutcome> mOutcomes ABSL_GUARDED_BY(mMutex);
};

} // namespace trefoil
