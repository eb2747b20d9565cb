#include "trefoil/steering/internal/move_messages.h"

#include "trefoil/steering/internal/datagrams.h"
#include "trefoil/steering/internal/store_updates.h"
#include "trefoil/wire/codec.h"

namespace trefoil {
namespace {

// How long a decision is told with each update, and how often afterwards.
constexpr Milliseconds kNewsTime{ 10'000 };
constexpr Milliseconds kReminderInterval{ 5'000 };

// The stages of messages and those of moves have the same names.
ToldMoveStage
ToldStageOf(MoveStage aStage)
{
  return ValueOf(kToldMoveStageNames, NameOf(kMoveStageNames, aStage))
    .value_or(ToldMoveStage::kTrial);
}

// Returns kTrial, which changes nothing, for a stage that this version does not know.
MoveStage
StageOf(ToldMoveStage aStage)
{
  return ValueOf(kMoveStageNames, NameOf(kToldMoveStageNames, aStage)).value_or(MoveStage::kTrial);
}

void
TellMoveDecisions(SteeringState& aState, Instant aNow)
{
  aState.mDecisionsToldAt = aNow;
  MoveDecisionMessage message{ .mHost = aState.mOptions.mHost };
  for (const MoveDecision& decision : DecisionsToTell(aState.mMoves)) {
    message.mEntries.push_back({ .mService = decision.mOrder.mService,
                                 .mTarget = decision.mOrder.mTarget,
                                 .mTimeLimitMilliseconds = decision.mOrder.mTimeLimit.count(),
                                 .mOrderRevision = decision.mRevision,
                                 .mStage = ToldStageOf(decision.mStage) });
  }
  if (message.mEntries.empty()) {
    return;
  }
  const std::string bytes = Encode(message);
  // In a fleet with aggregators only these and the host that decides tell it. In a small one all
  // do, so that it spreads if that host is lost.
  const bool isOwn = aState.mHoldsDuties || !UsesAggregation(aState.mPeers);
  for (const Endpoint& to : NewsRecipients(aState.mPeers, aState.mAggregation, isOwn, aNow)) {
    SendBytes(aState, to, bytes);
  }
}

} // namespace

void
SendMoveDecisions(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  const bool isNews = !HasPassed(aState.mDecisionsChangedAt + kNewsTime, now);
  if (isNews || HasPassed(aState.mDecisionsToldAt + kReminderInterval, now)) {
    TellMoveDecisions(aState, now);
  }
}

void
OnMoveStageChanged(SteeringState& aState, const ServiceId& aService, std::string_view aSource)
{
  const VersionMove& move = aState.mMoves.mMoves.at(aService);
  const Instant now = SuspendAwareNow();
  aState.mLog.Write(LogSeverity::kNotable,
                    LogEvent::kVersionMove,
                    "service={} target={} state={} source={} ms={}",
                    aService.Value(),
                    move.mOrder.mTarget.Value(),
                    NameOf(kMoveStageNames, move.mStage),
                    aSource,
                    (now - move.mSeenAt) / Milliseconds{ 1 });
  aState.mDecisionsChangedAt = now;
  PublishView(aState);
  TellMoveDecisions(aState, now);
}

void
OnMoveDecisionMessage(SteeringState& aState, const MoveDecisionMessage& aMessage)
{
  for (const MoveDecisionEntry& entry : aMessage.mEntries) {
    const MoveDecision decision{ .mOrder = { .mService = entry.mService,
                                             .mTarget = entry.mTarget,
                                             .mTimeLimit =
                                               Milliseconds{ entry.mTimeLimitMilliseconds } },
                                 .mRevision = entry.mOrderRevision,
                                 .mStage = StageOf(entry.mStage) };
    if (ApplyDecision(aState.mMoves, decision, SuspendAwareNow())) {
      OnMoveStageChanged(aState, entry.mService, "told");
    }
  }
}

} // namespace trefoil
