#include "trefoil/steering/internal/move_calls.h"

#include "trefoil/base/store_revision.h"
#include "trefoil/steering/internal/duties.h"
#include "trefoil/steering/internal/move_messages.h"
#include "trefoil/steering/internal/store_updates.h"
#include "trefoil/steering/route_counters.h"

#include <utility>

namespace trefoil {
namespace {

// Timeout of a call. A write that is executed later changes nothing, since its key has another
// revision by then.
constexpr Milliseconds kCallTimeout{ 1'000 };

// Returns the item of an answer, or that of a key that does not exist.
StoredText
StoredTextOf(const StoreAnswer& aAnswer)
{
  if (aAnswer.mItems.empty()) {
    return {};
  }
  const StoreItem& item = aAnswer.mItems.front();
  return { .mText = item.mValue, .mRevision = NumberOf(item.mRevision) == 0 ? 0 : item.mRevision };
}

// Makes a call for a move. `aOnAnswer` returns whether the stage of the move changed. It is not
// called if the order was replaced meanwhile.
template<typename OnAnswer>
void
Call(SteeringState& aState, const VersionMove& aMove, const StoreCall& aCall, OnAnswer aOnAnswer)
{
  aState.mStore.Call(
    aCall,
    SuspendAwareNow() + kCallTimeout,
    [&aState, order = aMove.mOrder, onAnswer = std::move(aOnAnswer)](const StoreAnswer& aAnswer) {
      const auto found = aState.mMoves.mMoves.find(order.mService);
      if (found == aState.mMoves.mMoves.end() || found->second.mOrder != order) {
        return;
      }
      if (onAnswer(found->second, aAnswer)) {
        OnMoveStageChanged(aState, order.mService, "store");
      }
      RunDuties(aState);
    });
}

bool
OnFailed(VersionMove& aMove, const StoreAnswer& aAnswer)
{
  OnMoveCallFailed(aMove, aAnswer.mOutcome == StoreOutcome::kUnknown, SuspendAwareNow());
  return false;
}

void
Perform(SteeringState& aState, VersionMove& aMove, const ReadMoveStage& /*aCall*/)
{
  Call(aState,
       aMove,
       ReadKey{ .mKey = MoveRecordKey(aMove.mOrder.mService) },
       [&aState](VersionMove& aCurrent, const StoreAnswer& aAnswer) {
         const bool isAnswered =
           aAnswer.mOutcome == StoreOutcome::kDone || aAnswer.mOutcome == StoreOutcome::kNotFound;
         return isAnswered ? OnMoveStageRead(aCurrent, StoredTextOf(aAnswer), ReadClocks(aState))
                           : OnFailed(aCurrent, aAnswer);
       });
}

void
Perform(SteeringState& aState, VersionMove& aMove, const WriteMoveStage& aCall)
{
  const std::string key = MoveRecordKey(aMove.mOrder.mService);
  Call(aState,
       aMove,
       Commit{ .mExpected = { { .mKey = key, .mRevision = aCall.mExpected } },
               .mWrites = { { .mKey = key, .mValue = RenderMoveStageRecord(aCall.mRecord) } } },
       [&aState, record = aCall.mRecord](VersionMove& aCurrent, const StoreAnswer& aAnswer) {
         if (aAnswer.mOutcome == StoreOutcome::kDone) {
           return OnMoveStageWritten(aCurrent, record, aAnswer.mRevision, SuspendAwareNow());
         }
         return aAnswer.mOutcome == StoreOutcome::kConflict
                  ? OnMoveStageRead(aCurrent, StoredTextOf(aAnswer), ReadClocks(aState))
                  : OnFailed(aCurrent, aAnswer);
       });
}

void
Perform(SteeringState& aState, VersionMove& aMove, const WriteMoveStatus& aCall)
{
  KeyWrite write = aState.mOptions.mCodec.mEncodeVersionStatus(aMove.mOrder, aCall.mState);
  const std::string text = write.mValue;
  Call(aState,
       aMove,
       Commit{ .mExpected = { { .mKey = write.mKey, .mRevision = aCall.mExpected } },
               .mWrites = { std::move(write) } },
       [state = aCall.mState, text](VersionMove& aCurrent, const StoreAnswer& aAnswer) {
         if (aAnswer.mOutcome == StoreOutcome::kDone) {
           OnMoveStatusWritten(aCurrent, state, aAnswer.mRevision);
         } else if (aAnswer.mOutcome == StoreOutcome::kConflict) {
           OnMoveStatusConflict(aCurrent, state, text, StoredTextOf(aAnswer));
         } else {
           return OnFailed(aCurrent, aAnswer);
         }
         return false;
       });
}

} // namespace

std::map<VersionId, VersionOutcomes>
SumOutcomes(const SteeringState& aState, const ServiceId& aService)
{
  std::map<VersionId, VersionOutcomes> sums;
  const auto own = aState.mReport.mOutcomes.find(aService);
  if (own != aState.mReport.mOutcomes.end()) {
    sums = own->second;
  }
  for (const auto& [key, total] : CountersOfOthers(aState.mPeers, aState.mAggregation)) {
    AddRouteTotal(sums, aService, key, total);
    if (key.mVersion.empty() || key.mSubject != aService.Value()) {
      continue;
    }
    VersionOutcomes& sum = sums[VersionId{ key.mVersion }];
    switch (key.mKind) {
      case CounterKind::kServed:
        sum.mServed += static_cast<std::int64_t>(total);
        break;
      case CounterKind::kFailed:
        sum.mFailed += static_cast<std::int64_t>(total);
        break;
      case CounterKind::kLatencyMs:
        sum.mLatencyMs += static_cast<double>(total);
        break;
      case CounterKind::kQuotaUsed:
      case CounterKind::kQuotaAsked:
      case CounterKind::kPromptTokens:
      case CounterKind::kPrefillTokens:
      case CounterKind::kPrefillMs:
      case CounterKind::kBusyMs:
      case CounterKind::kRouteServed:
      case CounterKind::kRouteSpentMs:
        break;
    }
  }
  return sums;
}

void
RunVersionMoves(SteeringState& aState, bool aMayAct)
{
  for (auto& entry : aState.mMoves.mMoves) {
    const ServiceId& service = entry.first;
    VersionMove& move = entry.second;
    if (aMayAct && move.mRecordKnown && !IsDecided(move.mStage) &&
        EvaluateMove(move, SumOutcomes(aState, service), SuspendAwareNow())) {
      OnMoveStageChanged(aState, service, "decided");
    }
    if (const auto call = NextMoveCall(move, aMayAct, ReadClocks(aState))) {
      std::visit([&aState, &move](const auto& aKind) { Perform(aState, move, aKind); }, *call);
    }
  }
}

} // namespace trefoil
