#include "trefoil/steering/internal/duties.h"

#include "trefoil/base/digest.h"
#include "trefoil/duty/holder_record.h"
#include "trefoil/steering/internal/move_calls.h"
#include "trefoil/steering/internal/store_updates.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <utility>

namespace trefoil {
namespace {

// The name under which all duties are held together, so that there is one holder and one order
// of fencing numbers.
const ServiceId kFleetDuty{ "fleet" };
// Timeout of store calls. The store answers within milliseconds, when slow within a second.
constexpr Milliseconds kStoreCallTimeout{ 1'500 };
// Timeout of a call that performs a duty; a later answer is ignored. Such a call is sent only
// if this host holds the duty for at least this long.
constexpr Milliseconds kDutyCallTimeout{ 1'000 };
// The last counts of a usage window have arrived from all hosts when they have had time to reach
// this one, plus a margin for late timers and a lost message. A new holder also needs the time
// until the others know of it and have sent their counts.
constexpr Milliseconds kUsageSettleMargin{ 400 };
constexpr Milliseconds kMinUsageSettleTime{ 1'400 };
// Each host has a rank from 0 to this number, from a hash of its name, so that hosts try to
// take the duties after different delays. Hosts can share a rank.
constexpr int kMaxRank = 8;

void
ApplyDutyEvent(SteeringState& aState, const DutyEvent& aEvent);

DutyClaimResult
ClaimResultOf(const StoreAnswer& aAnswer)
{
  switch (aAnswer.mOutcome) {
    case StoreOutcome::kDone:
      return DutyClaimResult::kWritten;
    case StoreOutcome::kConflict:
      return DutyClaimResult::kTaken;
    case StoreOutcome::kNotFound:
    case StoreOutcome::kRefused:
      return DutyClaimResult::kFree;
    case StoreOutcome::kCompacted:
    case StoreOutcome::kUnknown:
      break;
  }
  return DutyClaimResult::kUnknown;
}

// Sets the record and revision of the event from the claim that is stored.
void
FillClaimRecord(DutyClaimCompleted& aEvent, const StoreAnswer& aAnswer)
{
  if (aAnswer.mItems.empty()) {
    return;
  }
  const StoreItem& item = aAnswer.mItems.front();
  const auto record = ParseHolderRecord(item.mValue);
  if (!record.ok()) {
    aEvent.mResult = DutyClaimResult::kUnknown;
    return;
  }
  aEvent.mRecord = *record;
  aEvent.mRevision = static_cast<std::uint64_t>(item.mRevision);
}

void
Perform(SteeringState& aState, const GrantLease& aEffect)
{
  aState.mStore.Call(GrantStoreLease{ .mTime = kHostLeaseDuration },
                     SuspendAwareNow() + kStoreCallTimeout,
                     [&aState, number = aEffect.mCallNumber](const StoreAnswer& aAnswer) {
                       if (aAnswer.mOutcome == StoreOutcome::kDone) {
                         ApplyDutyEvent(
                           aState,
                           LeaseCallSucceeded{ .mCallNumber = number, .mLease = aAnswer.mLease });
                       } else {
                         ApplyDutyEvent(aState, LeaseCallFailed{ .mCallNumber = number });
                       }
                     });
}

void
Perform(SteeringState& aState, const RenewLease& aEffect)
{
  aState.mStore.Call(RenewStoreLease{ .mLease = aEffect.mLease },
                     SuspendAwareNow() + kStoreCallTimeout,
                     [&aState, aEffect](const StoreAnswer& aAnswer) {
                       if (aAnswer.mOutcome == StoreOutcome::kDone) {
                         ApplyDutyEvent(aState,
                                        LeaseCallSucceeded{ .mCallNumber = aEffect.mCallNumber,
                                                            .mLease = aEffect.mLease });
                       } else if (aAnswer.mOutcome == StoreOutcome::kNotFound) {
                         ApplyDutyEvent(aState, LeaseLost{ .mLease = aEffect.mLease });
                       } else {
                         ApplyDutyEvent(aState,
                                        LeaseCallFailed{ .mCallNumber = aEffect.mCallNumber });
                       }
                     });
}

void
Perform(SteeringState& aState, const EndLease& aEffect)
{
  aState.mStore.Call(RevokeStoreLease{ .mLease = aEffect.mLease },
                     SuspendAwareNow() + kStoreCallTimeout,
                     [&aState, held = aState.mHoldsDuties](const StoreAnswer& aAnswer) {
                       if (held) {
                         aState.mLog.Write(LogSeverity::kNotable,
                                           LogEvent::kDutyLost,
                                           "reason=leaving lease_end={}",
                                           NameOf(kStoreOutcomeNames, aAnswer.mOutcome));
                       }
                     });
}

void
Perform(SteeringState& aState, const WriteDutyClaim& aEffect)
{
  aState.mStore.Call(Commit{ .mExpected = { { .mKey = DutyClaimKey(aEffect.mService) } },
                             .mWrites = { { .mKey = DutyClaimKey(aEffect.mService),
                                            .mValue = RenderHolderRecord(aEffect.mRecord),
                                            .mLease = aEffect.mLease } } },
                     SuspendAwareNow() + kStoreCallTimeout,
                     [&aState, aEffect](const StoreAnswer& aAnswer) {
                       DutyClaimCompleted event{ .mService = aEffect.mService,
                                                 .mCallNumber = aEffect.mCallNumber,
                                                 .mResult = ClaimResultOf(aAnswer) };
                       if (aAnswer.mOutcome == StoreOutcome::kDone) {
                         event.mRecord = aEffect.mRecord;
                         event.mRevision = static_cast<std::uint64_t>(aAnswer.mRevision);
                       } else {
                         FillClaimRecord(event, aAnswer);
                       }
                       if (aAnswer.mOutcome == StoreOutcome::kNotFound) {
                         ApplyDutyEvent(aState, LeaseLost{ .mLease = aEffect.mLease });
                       }
                       ApplyDutyEvent(aState, event);
                     });
}

void
Perform(SteeringState& aState, const ReadDutyClaim& aEffect)
{
  aState.mStore.Call(ReadKey{ .mKey = DutyClaimKey(aEffect.mService) },
                     SuspendAwareNow() + kStoreCallTimeout,
                     [&aState, aEffect](const StoreAnswer& aAnswer) {
                       DutyClaimCompleted event{ .mService = aEffect.mService,
                                                 .mCallNumber = aEffect.mCallNumber };
                       if (aAnswer.mOutcome == StoreOutcome::kDone) {
                         event.mResult = DutyClaimResult::kTaken;
                         FillClaimRecord(event, aAnswer);
                       } else if (aAnswer.mOutcome == StoreOutcome::kNotFound) {
                         event.mResult = DutyClaimResult::kFree;
                       }
                       ApplyDutyEvent(aState, event);
                     });
}

void
ArmDutyTimer(SteeringState& aState)
{
  aState.mLoop.Cancel(std::exchange(aState.mDutyTimer, 0));
  const auto next = NextTimer(aState.mDuties);
  if (next.has_value()) {
    aState.mDutyTimer = aState.mLoop.CallAt(*next, [&aState] {
      aState.mDutyTimer = 0;
      ApplyDutyEvent(aState, DutyTimerFired{});
    });
  }
}

// Checks whether this host holds the duties. Logs a change, and resets the scaling
// state if this host has become the holder.
void
UpdateHoldsDuties(SteeringState& aState)
{
  const bool holds = HoldsDuty(aState.mDuties, kFleetDuty, SuspendAwareNow());
  if (holds != aState.mHoldsDuties) {
    aState.mHoldsDuties = holds;
    aState.mHoldsDutiesSince = SuspendAwareNow();
    if (holds) {
      ResetScaling(aState.mScaling, SuspendAwareNow());
    }
    aState.mLog.Write(LogSeverity::kNotable,
                      holds ? LogEvent::kDutyAcquired : LogEvent::kDutyLost,
                      "fencing={} lease={}",
                      FencingNumber(aState.mDuties, kFleetDuty),
                      aState.mDuties.mLease.mLease);
  }
}

void
ApplyDutyEvent(SteeringState& aState, const DutyEvent& aEvent)
{
  for (const DutyEffect& effect : Step(aState.mDuties, aEvent, SuspendAwareNow())) {
    std::visit([&aState](const auto& aKind) { Perform(aState, aKind); }, effect);
  }
  UpdateHoldsDuties(aState);
  ArmDutyTimer(aState);
}

FencedHolder
CurrentHolder(const SteeringState& aState)
{
  return { .mHolder = aState.mOptions.mHost,
           .mFencing = FencingNumber(aState.mDuties, kFleetDuty) };
}

bool
IsAccepted(const HttpReply& aReply)
{
  return aReply.mKind == HttpReplyKind::kAnswered && IsSuccess(aReply.mResponse.mStatus);
}

// Returns the requests of each account in a usage window, summed over all hosts that this one
// has received updates from.
std::map<ClientAccountId, std::int64_t>
SumUsage(const SteeringState& aState, std::int64_t aWindow)
{
  auto counts = UsageOfFleet(aState.mPeers, aState.mAggregation, aWindow);
  const auto own = aState.mReport.mUsage.find(aWindow);
  if (own != aState.mReport.mUsage.end()) {
    for (const auto& [account, requests] : own->second) {
      counts[account] += requests;
    }
  }
  return counts;
}

// Returns the write of a window's counts, on condition that the store has none.
Commit
UsageCommit(const UsageReport& aReport)
{
  const std::string key = UsageKey(aReport.mWindow);
  return { .mExpected = { { .mKey = key } },
           .mWrites = { { .mKey = key, .mValue = RenderUsage(aReport) } } };
}

void
RecordUsage(SteeringState& aState, const UsageReport& aReport)
{
  aState.mStore.Call(UsageCommit(aReport),
                     SuspendAwareNow() + kStoreCallTimeout,
                     [&aState, window = aReport.mWindow](const StoreAnswer& aAnswer) {
                       OnUsageRecorded(aState.mUsage, window, aAnswer.mOutcome, SuspendAwareNow());
                       RunDuties(aState);
                     });
}

// Writes counts again that the store has lost, so that another holder sends the same ones.
void
RewriteLostUsage(SteeringState& aState)
{
  for (const UsageReport& report : TakeLostRecords(aState.mUsage)) {
    aState.mStore.Call(UsageCommit(report),
                       SuspendAwareNow() + kStoreCallTimeout,
                       [&aState, window = report.mWindow](const StoreAnswer& aAnswer) {
                         const auto task = aState.mUsage.mTasks.find(window);
                         if (task != aState.mUsage.mTasks.end()) {
                           task->second.mIsRecordLost = aAnswer.mOutcome != StoreOutcome::kDone &&
                                                        aAnswer.mOutcome != StoreOutcome::kConflict;
                         }
                       });
  }
}

void
ReadUsage(SteeringState& aState, std::int64_t aWindow)
{
  aState.mStore.Call(
    ReadKey{ .mKey = UsageKey(aWindow) },
    SuspendAwareNow() + kStoreCallTimeout,
    [&aState, aWindow](const StoreAnswer& aAnswer) {
      UsageReport report;
      StoreOutcome outcome = aAnswer.mOutcome;
      if (outcome == StoreOutcome::kDone) {
        const auto parsed = ParseUsage(aAnswer.mItems.front().mValue);
        if (parsed.ok()) {
          report = *parsed;
        } else {
          LogRejectedInput(aState, fmt::format("input=usage window={}", aWindow), parsed.status());
          outcome = StoreOutcome::kUnknown;
        }
      }
      OnUsageRead(aState.mUsage, aWindow, outcome, report, SuspendAwareNow());
      RunDuties(aState);
    });
}

void
SendUsage(SteeringState& aState, const UsageReport& aReport)
{
  const Instant now = SuspendAwareNow();
  aState.mCloud->Send(aState.mOptions.mCodec.mEncodeUsageReport(aReport, CurrentHolder(aState)),
                      now + kDutyCallTimeout,
                      [&aState, window = aReport.mWindow](const HttpReply& aReply) {
                        const bool accepted = IsAccepted(aReply);
                        aState.mLog.Write(LogSeverity::kNotable,
                                          LogEvent::kUsageReported,
                                          "window={} accepted={} reply={} status={}",
                                          window,
                                          accepted,
                                          NameOf(kHttpReplyKindNames, aReply.mKind),
                                          aReply.mResponse.mStatus);
                        OnUsageSent(aState.mUsage, window, accepted, SuspendAwareNow());
                      });
}

void
RunUsageDuty(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  const Milliseconds settleTime =
    std::max(kMinUsageSettleTime, PropagationTime(aState.mPeers, now) + kUsageSettleMargin);
  if (!HasPassed(aState.mHoldsDutiesSince + settleTime, now)) {
    return;
  }
  const auto actions =
    NextUsageActions(aState.mUsage,
                     { .mWindow = aState.mOptions.mUsageWindow,
                       .mSettleTime = settleTime,
                       .mLateAfter = aState.mOptions.mUsageLateAfter },
                     WallNow() + aState.mView.mClockCorrection,
                     now,
                     kStoreCallTimeout,
                     [&aState](std::int64_t aWindow) { return SumUsage(aState, aWindow); });
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

std::map<ServiceId, ServiceLoad>
LoadsOf(const Counters& aCounters)
{
  std::map<ServiceId, ServiceLoad> loads;
  for (const auto& [key, total] : aCounters) {
    const auto value = static_cast<double>(total);
    const ServiceId service{ key.mSubject };
    switch (key.mKind) {
      case CounterKind::kPromptTokens:
        loads[service].mPromptTokens = value;
        break;
      case CounterKind::kPrefillTokens:
        loads[service].mPrefillTokens = value;
        break;
      case CounterKind::kPrefillMs:
        loads[service].mPrefillMs = value;
        break;
      case CounterKind::kBusyMs:
        loads[service].mBusyMs = value;
        break;
      case CounterKind::kQuotaUsed:
      case CounterKind::kQuotaAsked:
      case CounterKind::kServed:
      case CounterKind::kFailed:
      case CounterKind::kLatencyMs:
      case CounterKind::kRouteServed:
      case CounterKind::kRouteSpentMs:
        break;
    }
  }
  return loads;
}

void
RunScaling(SteeringState& aState)
{
  if (!aState.mView.mCatalogue) {
    return;
  }
  const Instant now = SuspendAwareNow();
  std::map<ServiceId, Instant> moving;
  for (const auto& [service, move] : aState.mMoves.mMoves) {
    if (NeedsAllVersions(move)) {
      moving[service] = move.mSeenAt;
    }
  }
  const ScalingInputs inputs{ .mCatalogue = &aState.mView.mCatalogue->mCatalogue,
                              .mServers = &aState.mServers,
                              .mZones = aState.mOptions.mZones,
                              .mMoving = std::move(moving),
                              .mEvacuatedZones = aState.mView.mEvacuatedZones };
  for (const auto& [service, load] : aState.mReport.mLoads) {
    RecordDemand(aState.mScaling, aState.mOptions.mHost, service, load, now);
  }
  // The totals of all other hosts are recorded like those of one host.
  for (const auto& [service, load] :
       LoadsOf(CountersOfOthers(aState.mPeers, aState.mAggregation))) {
    RecordDemand(aState.mScaling, HostId{}, service, load, now);
  }
  for (const ServerOrder& order : DueOrders(aState.mScaling, inputs, now)) {
    const Demand demand = PeakDemand(aState.mScaling, order.mService);
    const double prefillRate = PrefillTokensPerServer(aState.mScaling, order.mService);
    aState.mCloud->Send(
      aState.mOptions.mCodec.mEncodeServerOrder(order, CurrentHolder(aState)),
      now + kDutyCallTimeout,
      [&aState, order, demand, prefillRate](const HttpReply& aReply) {
        const bool accepted = IsAccepted(aReply);
        aState.mLog.Write(
          LogSeverity::kNotable,
          LogEvent::kScalingRequested,
          "service={} zone={} count={} reclaimable={} tokens_per_s={:.0f} "
          "prefill_per_server={:.0f} concurrent={:.0f} accepted={} reply={} status={}",
          order.mService.Value(),
          order.mZone.Value(),
          order.mCount,
          order.mReclaimable,
          demand.mTokensPerSecond,
          prefillRate,
          demand.mConcurrentRequests,
          accepted,
          NameOf(kHttpReplyKindNames, aReply.mKind),
          aReply.mResponse.mStatus);
        OnOrderAnswered(aState.mScaling, order, accepted, SuspendAwareNow());
      });
  }
}

} // namespace

void
CampaignForDuties(SteeringState& aState)
{
  aState.mDuties = MakeDutyState(
    { .mHost = aState.mOptions.mHost, .mRandomSeed = aState.mRandom() }, SuspendAwareNow());
  const int rank = static_cast<int>(
    RendezvousScore(aState.mOptions.mHost.Value(), kFleetDuty.Value()) % (kMaxRank + 1));
  ApplyDutyEvent(aState, DutyCampaignStarted{ .mService = kFleetDuty, .mRank = rank });
}

void
ResignDuties(SteeringState& aState)
{
  ApplyDutyEvent(aState, HostShutdownStarted{});
}

void
OnStoreRestored(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  if (aState.mOptions.mReportsUsage) {
    OnStoreRestored(aState.mUsage,
                    { .mWindow = aState.mOptions.mUsageWindow },
                    HoldsDuty(aState.mDuties, kFleetDuty, now),
                    WallNow() + aState.mView.mClockCorrection);
    RewriteLostUsage(aState);
  }
  OnStoreRestored(aState.mMoves);
  ApplyDutyEvent(aState, StoreRestored{});
}

void
OnHolderSeen(SteeringState& aState)
{
  ApplyDutyEvent(aState, HolderAnnouncementReceived{ .mService = kFleetDuty });
}

void
RunDuties(SteeringState& aState)
{
  UpdateHoldsDuties(aState);
  RewriteLostUsage(aState);
  const bool mayAct = aState.mCloud.has_value() && !aState.mLeaving &&
                      MayAct(aState.mDuties, kFleetDuty, SuspendAwareNow(), kDutyCallTimeout);
  RunVersionMoves(aState, mayAct);
  if (!mayAct) {
    return;
  }
  if (aState.mOptions.mReportsUsage) {
    RunUsageDuty(aState);
  }
  if (aState.mOptions.mOrdersServers) {
    RunScaling(aState);
  }
}

} // namespace trefoil
