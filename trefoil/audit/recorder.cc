#include "trefoil/audit/recorder.h"

#include <algorithm>
#include <numeric>

namespace trefoil {
namespace {

// The least time between two appends, and the pause after a call that failed.
constexpr Milliseconds kAppendPace{ 200 };
constexpr Milliseconds kFailurePause{ 2'000 };

std::size_t
CountWaiting(const AuditRecorder& aRecorder)
{
  return std::accumulate(
    aRecorder.mWaiting.begin(),
    aRecorder.mWaiting.end(),
    std::size_t{ 0 },
    [](std::size_t aSum, const auto& aEntry) { return aSum + aEntry.second.size(); });
}

// Ends the append under way; a failed one is begun anew after a pause.
void
EndAppend(AuditRecorder& aRecorder, bool aFailed, Instant aNow)
{
  aRecorder.mState = RecorderState::kIdle;
  aRecorder.mNextCallAt = aNow + (aFailed ? kFailurePause : kAppendPace);
}

// Forgets the records that the trail holds.
void
ForgetHeld(AuditRecorder& aRecorder, const AuditPiece& aPiece)
{
  auto& waiting = aRecorder.mWaiting[aRecorder.mService];
  std::erase_if(waiting, [&aPiece](const AuditRecord& aRecord) { return Holds(aPiece, aRecord); });
  if (waiting.empty()) {
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
OnHead(AuditRecorder& aRecorder, const StoredPiece& aHead, Instant aNow)
{
  const auto plan =
    PlanAppend(aRecorder.mOptions, aHead.mPiece, aRecorder.mWaiting[aRecorder.mService]);
  ForgetHeld(aRecorder, aHead.mPiece);
  if (!plan.has_value()) {
    EndAppend(aRecorder, false, aNow);
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
OnSealed(AuditRecorder& aRecorder, const StoredPiece& aStanding)
{
  const AuditPiece& sealed = *aRecorder.mPlan.mSealed;
  if (aStanding.mRevision != 0 && aStanding.mPiece.mNumber >= sealed.mNumber) {
    return WriteHead(aRecorder);
  }
  aRecorder.mState = RecorderState::kWritingSealed;
  return { PieceWriteWanted{ .mService = aRecorder.mService,
                             .mPiece = sealed,
                             .mSealed = true,
                             .mExpected = aStanding.mRevision } };
}

AuditEffects
On(AuditRecorder& aRecorder, const RecordWanted& aEvent, Instant)
{
  auto& waiting = aRecorder.mWaiting[aEvent.mService];
  const AuditPiece waitingPiece{ .mRecords = waiting };
  if (Holds(waitingPiece, aEvent.mRecord)) {
    return {};
  }
  waiting.push_back(aEvent.mRecord);
  if (CountWaiting(aRecorder) > aRecorder.mMaxWaiting) {
    waiting.erase(waiting.begin());
    ++aRecorder.mDropped;
  }
  return {};
}

AuditEffects
On(AuditRecorder& aRecorder, const PieceReadEnded& aEvent, Instant aNow)
{
  if (!aEvent.mStored.has_value()) {
    EndAppend(aRecorder, true, aNow);
    return {};
  }
  return aRecorder.mState == RecorderState::kReadingSealed
           ? OnSealed(aRecorder, *aEvent.mStored)
           : OnHead(aRecorder, *aEvent.mStored, aNow);
}

AuditEffects
On(AuditRecorder& aRecorder, const PieceWriteEnded& aEvent, Instant aNow)
{
  if (aEvent.mWritten && aRecorder.mState == RecorderState::kWritingSealed) {
    return WriteHead(aRecorder);
  }
  if (aEvent.mWritten) {
    ForgetHeld(aRecorder, aRecorder.mPlan.mHead);
  }
  EndAppend(aRecorder, !aEvent.mWritten, aNow);
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
  const bool waits = aRecorder.mState == RecorderState::kIdle && !aRecorder.mWaiting.empty();
  return waits ? std::min(aLatest, aRecorder.mNextCallAt) : aLatest;
}

} // namespace trefoil
