#include "trefoil/audit/recorder.h"

#include <algorithm>
#include <numeric>

namespace trefoil {
namespace {

// Minimum time between two appends.
constexpr Milliseconds kMinAppendInterval{ 200 };
// Delay of the next append after a failed call.
constexpr Milliseconds kFailureBackoff{ 2'000 };

std::size_t
CountPending(const AuditRecorder& aRecorder)
{
  return std::accumulate(
    aRecorder.mPendingRecords.begin(),
    aRecorder.mPendingRecords.end(),
    std::size_t{ 0 },
    [](std::size_t aSum, const auto& aEntry) { return aSum + aEntry.second.size(); });
}

// Ends the append in progress. Records that are still pending are appended again later, after a
// longer delay if this append failed.
void
FinishAppend(AuditRecorder& aRecorder, bool aFailed, Instant aNow)
{
  aRecorder.mState = RecorderState::kIdle;
  aRecorder.mNextCallAt = aNow + (aFailed ? kFailureBackoff : kMinAppendInterval);
}

// Removes the pending records that `aSegment` contains.
void
RemoveStored(AuditRecorder& aRecorder, const AuditSegment& aSegment)
{
  auto& pending = aRecorder.mPendingRecords[aRecorder.mService];
  std::erase_if(
    pending, [&aSegment](const AuditRecord& aRecord) { return ContainsRecord(aSegment, aRecord); });
  if (pending.empty()) {
    aRecorder.mPendingRecords.erase(aRecorder.mService);
  }
}

AuditEffects
WriteHead(AuditRecorder& aRecorder)
{
  aRecorder.mState = RecorderState::kWritingHead;
  return { WriteSegment{ .mService = aRecorder.mService,
                         .mSegment = aRecorder.mPlan.mHead,
                         .mExpected = aRecorder.mHeadRevision } };
}

AuditEffects
OnHeadRead(AuditRecorder& aRecorder, const StoredSegment& aHead, Instant aNow)
{
  const auto plan =
    PlanAppend(aRecorder.mOptions, aHead.mSegment, aRecorder.mPendingRecords[aRecorder.mService]);
  RemoveStored(aRecorder, aHead.mSegment);
  if (!plan.has_value()) {
    FinishAppend(aRecorder, false, aNow);
    return {};
  }
  aRecorder.mPlan = *plan;
  aRecorder.mHeadRevision = aHead.mRevision;
  if (!plan->mSealed.has_value()) {
    return WriteHead(aRecorder);
  }
  aRecorder.mState = RecorderState::kReadingSealed;
  return { ReadSealedSegment{ .mService = aRecorder.mService, .mNumber = plan->mSealed->mNumber } };
}

AuditEffects
OnSealedRead(AuditRecorder& aRecorder, const StoredSegment& aStored)
{
  const AuditSegment& sealed = *aRecorder.mPlan.mSealed;
  if (aStored.mRevision != 0 && aStored.mSegment.mNumber >= sealed.mNumber) {
    return WriteHead(aRecorder);
  }
  aRecorder.mState = RecorderState::kWritingSealed;
  return { WriteSegment{ .mService = aRecorder.mService,
                         .mSegment = sealed,
                         .mSealed = true,
                         .mExpected = aStored.mRevision } };
}

AuditEffects
On(AuditRecorder& aRecorder, const AppendRequested& aEvent, Instant)
{
  auto& pending = aRecorder.mPendingRecords[aEvent.mService];
  const AuditSegment pendingSegment{ .mRecords = pending };
  if (ContainsRecord(pendingSegment, aEvent.mRecord)) {
    return {};
  }
  pending.push_back(aEvent.mRecord);
  if (CountPending(aRecorder) > aRecorder.mMaxPending) {
    pending.erase(pending.begin());
    ++aRecorder.mDroppedRecords;
  }
  return {};
}

AuditEffects
On(AuditRecorder& aRecorder, const SegmentReadCompleted& aEvent, Instant aNow)
{
  if (!aEvent.mStored.has_value()) {
    FinishAppend(aRecorder, true, aNow);
    return {};
  }
  return aRecorder.mState == RecorderState::kReadingSealed
           ? OnSealedRead(aRecorder, *aEvent.mStored)
           : OnHeadRead(aRecorder, *aEvent.mStored, aNow);
}

AuditEffects
On(AuditRecorder& aRecorder, const SegmentWriteCompleted& aEvent, Instant aNow)
{
  if (aEvent.mWritten && aRecorder.mState == RecorderState::kWritingSealed) {
    return WriteHead(aRecorder);
  }
  if (aEvent.mWritten) {
    RemoveStored(aRecorder, aRecorder.mPlan.mHead);
  }
  FinishAppend(aRecorder, !aEvent.mWritten, aNow);
  return {};
}

} // namespace

AuditEffects
Step(AuditRecorder& aRecorder, const AuditEvent& aEvent, Instant aNow)
{
  return std::visit([&](const auto& aKind) { return On(aRecorder, aKind, aNow); }, aEvent);
}

AuditEffects
Tick(AuditRecorder& aRecorder, Instant aNow)
{
  const bool busy = aRecorder.mState != RecorderState::kIdle || aRecorder.mPendingRecords.empty();
  if (busy || !HasPassed(aRecorder.mNextCallAt, aNow)) {
    return {};
  }
  aRecorder.mService = aRecorder.mPendingRecords.begin()->first;
  aRecorder.mState = RecorderState::kReadingHead;
  return { ReadHeadSegment{ .mService = aRecorder.mService } };
}

Instant
NextTimer(const AuditRecorder& aRecorder, Instant aLatest)
{
  const bool hasPending =
    aRecorder.mState == RecorderState::kIdle && !aRecorder.mPendingRecords.empty();
  return hasPending ? std::min(aLatest, aRecorder.mNextCallAt) : aLatest;
}

} // namespace trefoil
