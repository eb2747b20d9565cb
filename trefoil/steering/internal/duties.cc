#include "trefoil/steering/internal/duties.h"

#include "trefoil/base/digest.h"
#include "trefoil/duty/holder_record.h"
#include "trefoil/steering/internal/store_news.h"

#include <fmt/format.h>
#include <utility>

namespace trefoil {
namespace {

// The one subject of all duties: a single holder keeps their fencing numbers in one order.
const ServiceId kDuties{ "fleet" };
// The store answers in milliseconds; a slow one within a second.
constexpr Milliseconds kCallLimit{ 1'500 };
// A call that carries out a duty ends within this, or its effect is not waited for.
constexpr Milliseconds kActLimit{ 1'000 };
// After the end of a usage window, the news of all hosts with its last counts have come: their
// longest interval and a margin for late timers.
constexpr Milliseconds kUsageSettle{ 1'400 };
// Hosts that stand ready wait longer the lower they rank; ranks beyond this wait alike.
constexpr int kMaxRank = 8;

void
Apply(ControlState& aState, const DutyEvent& aEvent);

ClaimResult
ResultOf(const StoreAnswer& aAnswer)
{
  switch (aAnswer.mOutcome) {
    case StoreOutcome::kDone:
      return ClaimResult::kWritten;
    case StoreOutcome::kConflict:
      return ClaimResult::kTaken;
    case StoreOutcome::kNotFound:
    case StoreOutcome::kRefused:
      return ClaimResult::kFree;
    case StoreOutcome::kHistoryGone:
    case StoreOutcome::kUnknown:
      break;
  }
  return ClaimResult::kUnknown;
}

// Reads the claim that stands in the store into the event.
void
ReadRecord(ClaimAnswered& aEvent, const StoreAnswer& aAnswer)
{
  if (aAnswer.mItems.empty()) {
    return;
  }
  const StoreItem& item = aAnswer.mItems.front();
  const auto record = ParseHolder(item.mValue);
  if (!record.ok()) {
    aEvent.mResult = ClaimResult::kUnknown;
    return;
  }
  aEvent.mRecord = *record;
  aEvent.mRevision = static_cast<std::uint64_t>(item.mRevision);
}

void
Perform(ControlState& aState, const GrantLease& aEffect)
{
  aState.mStore.Call(GrantStoreLease{ .mTime = kLeaseTime },
                     SuspendAwareNow() + kCallLimit,
                     [&aState, number = aEffect.mCallNumber](const StoreAnswer& aAnswer) {
                       if (aAnswer.mOutcome == StoreOutcome::kDone) {
                         Apply(aState,
                               LeaseAnswered{ .mCallNumber = number, .mLease = aAnswer.mLease });
                       } else {
                         Apply(aState, LeaseCallFailed{ .mCallNumber = number });
                       }
                     });
}

void
Perform(ControlState& aState, const RenewLease& aEffect)
{
  aState.mStore.Call(
    RenewStoreLease{ .mLease = aEffect.mLease },
    SuspendAwareNow() + kCallLimit,
    [&aState, aEffect](const StoreAnswer& aAnswer) {
      if (aAnswer.mOutcome == StoreOutcome::kDone) {
        Apply(aState,
              LeaseAnswered{ .mCallNumber = aEffect.mCallNumber, .mLease = aEffect.mLease });
      } else if (aAnswer.mOutcome == StoreOutcome::kNotFound) {
        Apply(aState, LeaseLost{ .mLease = aEffect.mLease });
      } else {
        Apply(aState, LeaseCallFailed{ .mCallNumber = aEffect.mCallNumber });
      }
    });
}

void
Perform(ControlState& aState, const EndLease& aEffect)
{
  aState.mStore.Call(EndStoreLease{ .mLease = aEffect.mLease },
                     SuspendAwareNow() + kCallLimit,
                     [&aState, held = aState.mHoldsDuties](const StoreAnswer& aAnswer) {
                       if (held) {
                         aState.mLog.Write(LogWeight::kNotable,
                                           LogEvent::kDutyLost,
                                           "reason=leaving lease_end={}",
                                           NameOf(kStoreOutcomeNames, aAnswer.mOutcome));
                       }
                     });
}

void
Perform(ControlState& aState, const WriteClaim& aEffect)
{
  aState.mStore.Call(Commit{ .mExpected = { { .mKey = ClaimKey(aEffect.mService) } },
                             .mWrites = { { .mKey = ClaimKey(aEffect.mService),
                                            .mValue = RenderHolder(aEffect.mRecord),
                                            .mLease = aEffect.mLease } } },
                     SuspendAwareNow() + kCallLimit,
                     [&aState, aEffect](const StoreAnswer& aAnswer) {
                       ClaimAnswered event{ .mService = aEffect.mService,
                                            .mCallNumber = aEffect.mCallNumber,
                                            .mResult = ResultOf(aAnswer) };
                       if (aAnswer.mOutcome == StoreOutcome::kDone) {
                         event.mRecord = aEffect.mRecord;
                         event.mRevision = static_cast<std::uint64_t>(aAnswer.mRevision);
                       } else {
                         ReadRecord(event, aAnswer);
                       }
                       if (aAnswer.mOutcome == StoreOutcome::kNotFound) {
                         Apply(aState, LeaseLost{ .mLease = aEffect.mLease });
                       }
                       Apply(aState, event);
                     });
}

void
Perform(ControlState& aState, const ReadClaim& aEffect)
{
  aState.mStore.Call(ReadKey{ .mKey = ClaimKey(aEffect.mService) },
                     SuspendAwareNow() + kCallLimit,
                     [&aState, aEffect](const StoreAnswer& aAnswer) {
                       ClaimAnswered event{ .mService = aEffect.mService,
                                            .mCallNumber = aEffect.mCallNumber };
                       if (aAnswer.mOutcome == StoreOutcome::kDone) {
                         event.mResult = ClaimResult::kTaken;
                         ReadRecord(event, aAnswer);
                       } else if (aAnswer.mOutcome == StoreOutcome::kNotFound) {
                         event.mResult = ClaimResult::kFree;
                       }
                       Apply(aState, event);
                     });
}

void
ArmTimer(ControlState& aState)
{
  aState.mLoop.Cancel(std::exchange(aState.mDutyTimer, 0));
  const auto next = NextTimer(aState.mDuties);
  if (next.has_value()) {
    aState.mDutyTimer = aState.mLoop.CallAt(*next, [&aState] {
      aState.mDutyTimer = 0;
      Apply(aState, DutyTimer{});
    });
  }
}

void
NoteHolding(ControlState& aState)
{
  const bool holds = Holds(aState.mDuties, kDuties, SuspendAwareNow());
  if (holds != aState.mHoldsDuties) {
    aState.mHoldsDuties = holds;
    if (holds) {
      StartScaling(aState.mScaling, SuspendAwareNow());
    }
    aState.mLog.Write(LogWeight::kNotable,
                      holds ? LogEvent::kDutyTaken : LogEvent::kDutyLost,
                      "fencing={} lease={}",
                      FencingOf(aState.mDuties, kDuties),
                      aState.mDuties.mLease.mLease);
  }
}

void
Apply(ControlState& aState, const DutyEvent& aEvent)
{
  for (const DutyEffect& effect : Step(aState.mDuties, aEvent, SuspendAwareNow())) {
    std::visit([&aState](const auto& aKind) { Perform(aState, aKind); }, effect);
  }
  NoteHolding(aState);
  ArmTimer(aState);
}

DutyStamp
Stamp(const ControlState& aState)
{
  return { .mHolder = aState.mOptions.mHost, .mFencing = FencingOf(aState.mDuties, kDuties) };
}

bool
IsAccepted(const HttpReply& aReply)
{
  return aReply.mKind == ReplyKind::kAnswered && IsSuccess(aReply.mAnswer.mStatus);
}

// Returns the requests of a window over all hosts, as far as they are known here.
std::map<ClientAccountId, std::int64_t>
CountsOf(const ControlState& aState, std::int64_t aWindow)
{
  auto counts = UsageElsewhere(aState.mPeers, aWindow);
  const auto own = aState.mReport.mUsage.find(aWindow);
  if (own != aState.mReport.mUsage.end()) {
    for (const auto& [account, requests] : own->second) {
      counts[account] += requests;
    }
  }
  return counts;
}

void
RecordUsage(ControlState& aState, const UsageReport& aReport)
{
  aState.mStore.Call(
    Commit{ .mExpected = { { .mKey = UsageKey(aReport.mWindow) } },
            .mWrites = { { .mKey = UsageKey(aReport.mWindow), .mValue = RenderUsage(aReport) } } },
    SuspendAwareNow() + kCallLimit,
    [&aState, window = aReport.mWindow](const StoreAnswer& aAnswer) {
      OnUsageRecorded(aState.mUsage, window, aAnswer.mOutcome, SuspendAwareNow());
      WorkOnDuties(aState);
    });
}

void
ReadUsage(ControlState& aState, std::int64_t aWindow)
{
  aState.mStore.Call(
    ReadKey{ .mKey = UsageKey(aWindow) },
    SuspendAwareNow() + kCallLimit,
    [&aState, aWindow](const StoreAnswer& aAnswer) {
      UsageReport report;
      StoreOutcome outcome = aAnswer.mOutcome;
      if (outcome == StoreOutcome::kDone) {
        const auto parsed = ParseUsage(aAnswer.mItems.front().mValue);
        if (parsed.ok()) {
          report = *parsed;
        } else {
          RejectInput(aState, fmt::format("input=usage window={}", aWindow), parsed.status());
          outcome = StoreOutcome::kUnknown;
        }
      }
      OnUsageRead(aState.mUsage, aWindow, outcome, report, SuspendAwareNow());
      WorkOnDuties(aState);
    });
}

void
SendUsage(ControlState& aState, const UsageReport& aReport)
{
  const Instant now = SuspendAwareNow();
  aState.mCloud->Send(aState.mOptions.mCodec.mUsageReport(aReport, Stamp(aState)),
                      now + kActLimit,
                      [&aState, window = aReport.mWindow](const HttpReply& aReply) {
                        const bool accepted = IsAccepted(aReply);
                        aState.mLog.Write(LogWeight::kNotable,
                                          LogEvent::kUsageReported,
                                          "window={} accepted={} reply={} status={}",
                                          window,
                                          accepted,
                                          NameOf(kReplyKindNames, aReply.mKind),
                                          aReply.mAnswer.mStatus);
                        OnUsageSent(aState.mUsage, window, accepted, SuspendAwareNow());
                      });
}

void
WorkOnUsage(ControlState& aState)
{
  const auto actions =
    NextUsageActions(aState.mUsage,
                     { .mWindow = aState.mOptions.mUsageWindow,
                       .mSettle = kUsageSettle,
                       .mLateAfter = aState.mOptions.mUsageLateAfter },
                     WallNow() + ClockCorrection(aState.mPeers, SuspendAwareNow()),
                     SuspendAwareNow(),
                     kCallLimit,
                     [&aState](std::int64_t aWindow) { return CountsOf(aState, aWindow); });
  for (const UsageAction& action : actions) {
    switch (action.mPhase) {
      case UsagePhase::kCounted:
        RecordUsage(aState, action.mReport);
        break;
      case UsagePhase::kUnsure:
        ReadUsage(aState, action.mReport.mWindow);
        break;
      case UsagePhase::kRecorded:
        SendUsage(aState, action.mReport);
        break;
      case UsagePhase::kSent:
        break;
    }
  }
}

void
WorkOnScaling(ControlState& aState)
{
  if (!aState.mView.mCatalogue) {
    return;
  }
  const Instant now = SuspendAwareNow();
  const ScalingInputs inputs{ .mCatalogue = &aState.mView.mCatalogue->mCatalogue,
                              .mServers = &aState.mServers,
                              .mZones = aState.mOptions.mZones };
  for (const auto& [service, tokens] : aState.mReport.mPromptTokens) {
    NoteDemand(aState.mScaling, aState.mOptions.mHost, service, tokens, now);
  }
  for (const auto& [host, peer] : aState.mPeers.mPeers) {
    for (const ServiceTotal& total : peer.mUpdate.mServices) {
      NoteDemand(
        aState.mScaling, host, total.mService, static_cast<double>(total.mPromptTokens), now);
    }
  }
  for (const ServerOrder& order : DueOrders(aState.mScaling, inputs, now)) {
    aState.mCloud->Send(
      aState.mOptions.mCodec.mServerOrder(order, Stamp(aState)),
      now + kActLimit,
      [&aState, order](const HttpReply& aReply) {
        const bool accepted = IsAccepted(aReply);
        aState.mLog.Write(
          LogWeight::kNotable,
          LogEvent::kServersOrdered,
          "service={} zone={} count={} reclaimable={} accepted={} reply={} status={}",
          order.mService.Value(),
          order.mZone.Value(),
          order.mCount,
          order.mReclaimable,
          accepted,
          NameOf(kReplyKindNames, aReply.mKind),
          aReply.mAnswer.mStatus);
        OnOrderAnswered(aState.mScaling, order, accepted, SuspendAwareNow());
      });
  }
}

// Sums the outcomes of a service's versions over all hosts.
std::map<VersionId, VersionOutcomes>
OutcomesOf(const ControlState& aState, const ServiceId& aService)
{
  std::map<VersionId, VersionOutcomes> sums;
  const auto own = aState.mReport.mOutcomes.find(aService);
  if (own != aState.mReport.mOutcomes.end()) {
    sums = own->second;
  }
  for (const auto& [host, peer] : aState.mPeers.mPeers) {
    for (const VersionTotal& total : peer.mUpdate.mVersions) {
      if (total.mService == aService) {
        VersionOutcomes& sum = sums[total.mVersion];
        sum.mServed += total.mServed;
        sum.mFailed += total.mFailed;
        sum.mLatencyMs += total.mLatencyMs;
      }
    }
  }
  return sums;
}

void
WorkOnMoves(ControlState& aState)
{
  const Instant now = SuspendAwareNow();
  for (auto& [service, move] : aState.mMoves.mMoves) {
    if (JudgeMove(move, OutcomesOf(aState, service), now)) {
      aState.mLog.Write(LogWeight::kNotable,
                        LogEvent::kVersionMove,
                        "service={} target={} state={}",
                        service.Value(),
                        move.mOrder.mTarget.Value(),
                        NameOf(kVersionMoveStateNames, move.mState));
    }
    if (move.mWritten == move.mState || !HasPassed(move.mNextWriteAt, now)) {
      continue;
    }
    move.mNextWriteAt = now + kCallLimit;
    aState.mStore.Call(
      Commit{ .mWrites = { aState.mOptions.mCodec.mVersionStatus(move.mOrder, move.mState) } },
      now + kCallLimit,
      [&aState, name = service, state = move.mState](const StoreAnswer& aAnswer) {
        if (aAnswer.mOutcome == StoreOutcome::kDone) {
          aState.mMoves.mMoves[name].mWritten = state;
        }
      });
  }
}

} // namespace

void
JoinDuties(ControlState& aState)
{
  aState.mDuties = MakeDutyState(
    { .mHost = aState.mOptions.mHost, .mRandomSeed = aState.mRandom() }, SuspendAwareNow());
  const int rank = static_cast<int>(
    RendezvousScore(aState.mOptions.mHost.Value(), kDuties.Value()) % (kMaxRank + 1));
  Apply(aState, DutyWanted{ .mService = kDuties, .mRank = rank });
}

void
LeaveDuties(ControlState& aState)
{
  Apply(aState, HostLeaving{});
}

void
OnHolderHeard(ControlState& aState)
{
  Apply(aState, HolderHeard{ .mService = kDuties });
}

void
WorkOnDuties(ControlState& aState)
{
  NoteHolding(aState);
  if (!aState.mCloud.has_value() || aState.mLeaving) {
    return;
  }
  if (!MayAct(aState.mDuties, kDuties, SuspendAwareNow(), kActLimit)) {
    return;
  }
  if (aState.mOptions.mReportsUsage) {
    WorkOnUsage(aState);
  }
  if (aState.mOptions.mOrdersServers) {
    WorkOnScaling(aState);
  }
  WorkOnMoves(aState);
}

} // namespace trefoil
