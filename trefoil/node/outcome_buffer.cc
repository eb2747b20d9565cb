#include "trefoil/node/outcome_buffer.h"

namespace trefoil {
namespace {

constexpr std::size_t kBatch = 64;

} // namespace

void
OutcomeBuffer::Add(AttemptOutcome aOutcome)
{
  const bool atOnce = aOutcome.mKind != OutcomeKind::kGood;
  bool full = false;
  {
    const absl::MutexLock lock{ &mMutex };
    mOutcomes.push_back(std::move(aOutcome));
    full = mOutcomes.size() >= kBatch;
  }
  if (atOnce || full) {
    Flush();
  }
}

void
OutcomeBuffer::Flush()
{
  OutcomesSeen seen;
  {
    const absl::MutexLock lock{ &mMutex };
    seen.mOutcomes.swap(mOutcomes);
  }
  if (!seen.mOutcomes.empty()) {
    mQueue.Push(std::move(seen));
  }
}

} // namespace trefoil
