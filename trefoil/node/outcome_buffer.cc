#include "trefoil/node/outcome_buffer.h"

namespace trefoil {
namespace {

constexpr std::size_t kMaxBatchSize = 64;

} // namespace

void
OutcomeBuffer::Add(AttemptOutcome aOutcome)
{
  const bool flushNow = aOutcome.mKind != OutcomeKind::kGood;
  bool full = false;
  {
    const absl::MutexLock lock{ &mMutex };
    mOutcomes.push_back(std::move(aOutcome));
    full = mOutcomes.size() >= kMaxBatchSize;
  }
  if (flushNow || full) {
    Flush();
  }
}

void
OutcomeBuffer::Flush()
{
  AttemptsCompleted batch;
  {
    const absl::MutexLock lock{ &mMutex };
    batch.mOutcomes.swap(mOutcomes);
  }
  if (!batch.mOutcomes.empty()) {
    mQueue.Push(std::move(batch));
  }
}

} // namespace trefoil
