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
    aRecorder.mWaiting.begin(),
    aRecorder.mWaiting.end(),
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
  auto& pending = aRecorder.mWaiting[aRecorder.mService];
  std::erase_if(pending,
                [&aSegment](const AuditRecord& aRecord) { return Holds(aSegment, aRecord); });
  if (pending.empty()) {
    aRecorder.mWaiting.erase(aRecorder.mService);
  }
}

AuditEffects
WriteHead(AuditRecorder& aRecorder)
{
  aRecorder.mState = RecorderState::kWritingHead;
  return { PieceWriteWanted{ .mService = aRecorder.mService,
                             .mPiece = aRecorder.mPlan.mHead,
                             .mExpected = aRecorder.mHeadRevision } };
}

AuditEffects
OnHeadRead(AuditRecorder& aRecorder, const StoredPiece& aHead, Instant aNow)
{
  const auto plan =
    PlanAppend(aRecorder.mOptions, aHead.mPiece, aRecorder.mWaiting[aRecorder.mService]);
  RemoveStored(aRecorder, aHead.mPiece);
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
  return { SealedReadWanted{ .mService = aRecorder.mService, .mNumber = plan->mSealed->mNumber } };
}

AuditEffects
OnSealedRead(AuditRecorder& aRecorder, const StoredPiece& aStored)
{
  const AuditSegment& sealed = *aRecorder.mPlan.mSealed;
  if (aStored.mRevision != 0 && aStored.mPiece.mNumber >= sealed.mNumber) {
    return WriteHead(aRecorder);
  }
  aRecorder.mState = RecorderState::kWritingSealed;
  return { PieceWriteWanted{ .mService = aRecorder.mService,
                             .mPiece = sealed,
                             .mSealed = true,
                             .mExpected = aStored.mRevision } };
}

AuditEffects
On(AuditRecorder& aRecorder, const RecordWanted& aEvent, Instant)
{
  auto& pending = aRecorder.mWaiting[aEvent.mService];
  const AuditSegment pendingSegment{ .mRecords = pending };
  if (Holds(pendingSegment, aEvent.mRecord)) {
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
On(AuditRecorder& aRecorder, const PieceReadEnded& aEvent, Instant aNow)
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
On(AuditRecorder& aRecorder, const PieceWriteEnded& aEvent, Instant aNow)
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
  const bool busy = aRecorder.mState != RecorderState::kIdle || aRecorder.mWaiting.empty();
  if (busy || !HasPassed(aRecorder.mNextCallAt, aNow)) {
    return {};
  }
  aRecorder.mService = aRecorder.mWaiting.begin()->first;
  aRecorder.mState = RecorderState::kReadingHead;
  return { HeadReadWanted{ .mService = aRecorder.mService } };
}

Instant
NextTimer(const AuditRecorder& aRecorder, Instant aLatest)
{
  const bool hasPending = aRecorder.mState == RecorderState::kIdle && !aRecorder.mWaiting.empty();
  return hasPending ? std::min(aLatest, aRecorder.mNextCallAt) : aLatest;
}

} // namespace trefoil
