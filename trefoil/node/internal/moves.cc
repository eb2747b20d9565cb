#include "trefoil/node/internal/moves.h"

#include "trefoil/duty/holder_record.h"
#include "trefoil/node/internal/moves_store.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr Milliseconds kTickEvery{ 1'000 };
constexpr Milliseconds kAnnounceEvery{ 1'500 };
// How long a holder is believed in that says nothing.
constexpr Milliseconds kHolderBelievedFor{ 5'000 };
// Hosts of a zone that stand ready for a duty.
constexpr std::size_t kCandidatesOfZone = 3;
// Reports reach the holder at most so often from all hosts together.
constexpr Milliseconds kReportSpacing{ 40 };

WallTime
WallAt(const MovesState& aMoves, Instant aNow)
{
  return aMoves.mStartedWall + std::chrono::duration_cast<Milliseconds>(aNow - aMoves.mStartedAt);
}

std::string
DutyKey(const ServiceId& aService)
{
  return "duty/" + aService.Value();
}

ServiceMoves&
MovesOf(ControlState& aState, const ServiceId& aService)
{
  const auto [entry, added] = aState.mMoves.mServices.try_emplace(aService);
  if (added) {
    // Sequences go on rising over restarts.
    entry->second.mHealth.mSequence = aState.mOptions.mIncarnation;
  }
  return entry->second;
}

void
SendToMembers(const ControlState& aState, const Message& aMessage, ControlEffects& aEffects)
{
  for (const auto& [host, member] : aState.mGossip.mMembers.mByHost) {
    if (member.mState != MemberState::kDead) {
      aEffects.emplace_back(
        SendMessage{ .mTo = member.mHeartbeat.mPeerEndpoint, .mMessage = aMessage });
    }
  }
}

void
SendInZone(const ControlState& aState, const Message& aMessage, ControlEffects& aEffects)
{
  for (const auto& [host, member] : aState.mGossip.mMembers.mByHost) {
    if (member.mState != MemberState::kDead && member.mHeartbeat.mZone == aState.mOptions.mZone) {
      aEffects.emplace_back(
        SendMessage{ .mTo = member.mHeartbeat.mPeerEndpoint, .mMessage = aMessage });
    }
  }
}

ServerCounts
CountServers(const ServiceDocument& aDocument)
{
  ServerCounts counts;
  for (const BackendServerSpec& server : aDocument.mServers) {
    ++counts[server.mZone][server.mVersion];
  }
  return counts;
}

void
WantDuties(ControlState& aState, ControlEffects& aEffects, Instant aNow)
{
  for (const auto& [service, document] : aState.mConfig.mDocuments.mByService) {
    const std::size_t rank = RankInZone(aState.mGossip, DutyKey(service), kCandidatesOfZone);
    const bool wanted =
      document.mDocument != nullptr && rank < kCandidatesOfZone && !aState.mLeaving;
    const DutyEvent event =
      wanted
        ? DutyEvent{ DutyCampaignStarted{ .mService = service, .mRank = static_cast<int>(rank) } }
        : DutyEvent{ DutyCampaignStopped{ .mService = service } };
    AddDutyEffects(aEffects, Step(aState.mMoves.mDuties, event, aNow), aNow);
  }
}

// Applies a permit and notes whether it changed a share.
void
UsePermit(ControlState& aState,
          ServiceMoves& aMoves,
          const MovePermit& aPermit,
          Instant aAskedAt,
          Instant aNow)
{
  const auto before = TrafficShares(aMoves.mShares);
  ApplyPermit(aMoves.mShares, aPermit, aAskedAt, aNow);
  aState.mMoves.mChanged = aState.mMoves.mChanged || before != TrafficShares(aMoves.mShares);
}

// Lets the holder of a service's duty go on.
void
TickDuty(ControlState& aState,
         const ServiceId& aService,
         const DocumentState& aDocument,
         ControlEffects& aEffects,
         Instant aNow)
{
  ServiceMoves& moves = MovesOf(aState, aService);
  if (!HoldsDuty(aState.mMoves.mDuties, aService, aNow)) {
    moves.mDuty.reset();
    return;
  }
  if (!moves.mDuty.has_value()) {
    moves.mDuty = MakeMoveDuty(aService, aNow);
  }
  const WallTime wallNow = WallAt(aState.mMoves, aNow);
  AddMoveEffects(aState,
                 aService,
                 Step(*moves.mDuty,
                      MoveTick{ .mDocument = aDocument.mDocument,
                                .mDocumentRevision = aDocument.mRevision,
                                .mServers = CountServers(*aDocument.mDocument),
                                .mWallNow = wallNow },
                      aNow),
                 aEffects,
                 aNow);
  UsePermit(aState, moves, MakePermit(*moves.mDuty, wallNow), aNow, aNow);
}

void
Tick(ControlState& aState, ControlEffects& aEffects, Instant aNow)
{
  aState.mMoves.mNextTickAt = aNow + kTickEvery;
  WantDuties(aState, aEffects, aNow);
  for (const auto& [service, document] : aState.mConfig.mDocuments.mByService) {
    if (document.mDocument != nullptr) {
      TickDuty(aState, service, document, aEffects, aNow);
    }
  }
  for (auto& [service, moves] : aState.mMoves.mServices) {
    aState.mMoves.mChanged = ExpireMove(moves.mShares, aNow) || aState.mMoves.mChanged;
  }
}

void
Announce(ControlState& aState, ControlEffects& aEffects, Instant aNow)
{
  aState.mMoves.mNextAnnounceAt = aNow + kAnnounceEvery;
  DutiesHeld held{ .mHost = aState.mOptions.mHost,
                   .mZone = aState.mOptions.mZone,
                   .mPeerEndpoint = aState.mOptions.mPeerEndpoint };
  for (const auto& [service, moves] : aState.mMoves.mServices) {
    if (moves.mDuty.has_value() && HoldsDuty(aState.mMoves.mDuties, service, aNow)) {
      held.mDuties.push_back(
        { .mService = service,
          .mFencing = FencingNumber(aState.mMoves.mDuties, service),
          .mRecord = moves.mDuty->mRecordIsCurrent ? moves.mDuty->mRevision : 0 });
    }
  }
  if (!held.mDuties.empty()) {
    SendToMembers(aState, held, aEffects);
  }
}

// Reports one service to the holder of its duty, if that has something to decide.
void
Report(ControlState& aState,
       const ServiceId& aService,
       ServiceMoves& aMoves,
       ControlEffects& aEffects,
       Instant aNow)
{
  VersionHealthReport report = TakeReport(aMoves.mHealth, aState.mOptions.mHost, aService);
  const bool isMoving = aMoves.mShares.mPhase == MovePhase::kMoving;
  if (aMoves.mDuty.has_value()) {
    Step(*aMoves.mDuty, VersionHealthReportReceived{ .mReport = std::move(report) }, aNow);
    return;
  }
  const bool asks = isMoving || aMoves.mAnnounced != aMoves.mShares.mNumber;
  if (!asks || HasPassed(aMoves.mHolderUntil, aNow)) {
    return;
  }
  std::erase_if(aMoves.mAsked, [aNow](const auto& aEntry) {
    return HasPassed(aEntry.second + kPermitDuration, aNow);
  });
  aMoves.mAsked[report.mSequence] = aNow;
  aEffects.emplace_back(
    SendMessage{ .mTo = aMoves.mHolder,
                 .mMessage = VersionReport{ .mHost = aState.mOptions.mHost,
                                            .mReplyTo = aState.mOptions.mPeerEndpoint,
                                            .mService = aService,
                                            .mSequence = report.mSequence,
                                            .mStoppedNumber = aMoves.mShares.mStoppedNumber,
                                            .mLines = std::move(report.mLines) } });
}

void
ReportAll(ControlState& aState, ControlEffects& aEffects, Instant aNow)
{
  const auto hosts = static_cast<std::int64_t>(aState.mGossip.mMembers.mByHost.size());
  aState.mMoves.mNextReportAt = aNow + std::max(kTickEvery, kReportSpacing * hosts);
  for (auto& [service, moves] : aState.mMoves.mServices) {
    Report(aState, service, moves, aEffects, aNow);
  }
}

// Stops sending to the version that moves, and tells the others.
void
Stop(ControlState& aState,
     const ServiceId& aService,
     ServiceMoves& aMoves,
     ControlEffects& aEffects,
     Instant aNow)
{
  const std::uint64_t number = aMoves.mShares.mNumber;
  const VersionId version = aMoves.mShares.mVersion;
  if (!StopVersion(aMoves.mShares, version, number)) {
    return;
  }
  aState.mMoves.mChanged = true;
  const VersionStopped stopped{ .mService = aService, .mVersion = version, .mNumber = number };
  if (aMoves.mDuty.has_value()) {
    Step(*aMoves.mDuty, VersionStopReceived{ .mNumber = number }, aNow);
  }
  SendToMembers(aState, stopped, aEffects);
  if (!HasPassed(aMoves.mHolderUntil, aNow)) {
    aEffects.emplace_back(SendMessage{ .mTo = aMoves.mHolder, .mMessage = stopped });
  }
}

bool
HasServer(const ServiceDocument& aDocument, const VersionId& aVersion)
{
  return std::ranges::any_of(aDocument.mServers, [&aVersion](const BackendServerSpec& aServer) {
    return aServer.mVersion == aVersion;
  });
}

// Returns the shares to use while no record is known: none for a version that is to move.
std::vector<VersionShare>
SharesWithoutRecord(const ServiceDocument& aDocument)
{
  std::vector<VersionShare> shares;
  for (const VersionSpec& spec : aDocument.mVersions) {
    if (!spec.mMoveBy.has_value()) {
      shares.push_back({ .mVersion = spec.mVersion, .mPermille = spec.mSharePercent + 1 });
    }
  }
  return shares;
}

} // namespace

MovesState
MakeMovesState(const ControlOptions& aOptions, Instant aNow, WallTime aWallNow)
{
  MovesState moves{ .mDuties = MakeDutyState(
                      { .mHost = aOptions.mHost, .mRandomSeed = aOptions.mRandomSeed }, aNow),
                    .mStartedAt = aNow,
                    .mStartedWall = aWallNow,
                    .mNextTickAt = aNow,
                    .mNextReportAt = aNow,
                    .mNextAnnounceAt = aNow };
  return moves;
}

ControlEffects
OnMovesTimer(ControlState& aState, Instant aNow)
{
  ControlEffects effects;
  AddDutyEffects(effects, Step(aState.mMoves.mDuties, DutyTimerFired{}, aNow), aNow);
  if (HasPassed(aState.mMoves.mNextTickAt, aNow)) {
    Tick(aState, effects, aNow);
  }
  if (HasPassed(aState.mMoves.mNextReportAt, aNow)) {
    ReportAll(aState, effects, aNow);
  }
  if (HasPassed(aState.mMoves.mNextAnnounceAt, aNow)) {
    Announce(aState, effects, aNow);
  }
  return effects;
}

Instant
NextMovesTimer(const ControlState& aState)
{
  const MovesState& moves = aState.mMoves;
  const Instant next = std::min({ moves.mNextTickAt, moves.mNextReportAt, moves.mNextAnnounceAt });
  return std::min(next, NextTimer(moves.mDuties).value_or(next));
}

ControlEffects
OnOutcomes(ControlState& aState, const OutcomesSeen& aEvent, Instant aNow)
{
  ControlEffects effects;
  for (const AttemptOutcome& outcome : aEvent.mOutcomes) {
    ServiceMoves& moves = MovesOf(aState, outcome.mService);
    const bool isMoving = moves.mShares.mPhase == MovePhase::kMoving;
    const VersionId moving = isMoving ? moves.mShares.mVersion : VersionId{};
    if (RecordOutcome(moves.mHealth, outcome, moving, aNow).has_value()) {
      Stop(aState, outcome.mService, moves, effects, aNow);
    }
  }
  return effects;
}

ControlEffects
OnMovesStop(ControlState& aState, Instant aNow)
{
  ControlEffects effects;
  AddDutyEffects(effects, Step(aState.mMoves.mDuties, HostShutdownStarted{}, aNow), aNow);
  for (auto& [service, moves] : aState.mMoves.mServices) {
    moves.mDuty.reset();
  }
  return effects;
}

ControlEffects
OnMoveMessage(ControlState& aState, const DutiesHeld& aMessage, Instant aNow)
{
  ControlEffects effects;
  if (aMessage.mHost == aState.mOptions.mHost) {
    return effects;
  }
  for (const HeldDuty& held : aMessage.mDuties) {
    ServiceMoves& moves = MovesOf(aState, held.mService);
    moves.mHolder = aMessage.mPeerEndpoint;
    moves.mHolderUntil = aNow + kHolderBelievedFor;
    moves.mAnnounced = held.mRecord;
    AddDutyEffects(
      effects,
      Step(aState.mMoves.mDuties, HolderAnnouncementReceived{ .mService = held.mService }, aNow),
      aNow);
  }
  if (!aMessage.mPassedOn && aMessage.mZone != aState.mOptions.mZone) {
    DutiesHeld passedOn = aMessage;
    passedOn.mPassedOn = true;
    SendInZone(aState, passedOn, effects);
  }
  return effects;
}

ControlEffects
OnMoveMessage(ControlState& aState, const VersionReport& aMessage, Instant aNow)
{
  ServiceMoves& moves = MovesOf(aState, aMessage.mService);
  if (!moves.mDuty.has_value() || !HoldsDuty(aState.mMoves.mDuties, aMessage.mService, aNow)) {
    return {};
  }
  Step(*moves.mDuty,
       VersionHealthReportReceived{ .mReport = { .mHost = aMessage.mHost,
                                                 .mService = aMessage.mService,
                                                 .mSequence = aMessage.mSequence,
                                                 .mLines = aMessage.mLines } },
       aNow);
  if (aMessage.mStoppedNumber != 0) {
    Step(*moves.mDuty, VersionStopReceived{ .mNumber = aMessage.mStoppedNumber }, aNow);
  }
  const MovePermit permit = MakePermit(*moves.mDuty, WallAt(aState.mMoves, aNow));
  if (permit.mNumber == 0) {
    return {};
  }
  return { SendMessage{ .mTo = aMessage.mReplyTo,
                        .mMessage =
                          PermitGranted{ .mSequence = aMessage.mSequence,
                                         .mService = permit.mService,
                                         .mNumber = permit.mNumber,
                                         .mPhase = permit.mPhase,
                                         .mVersion = permit.mVersion,
                                         .mPermille = permit.mPermille,
                                         .mEndsInMilliseconds = permit.mEndsInMilliseconds,
                                         .mSettled = permit.mSettled } } };
}

ControlEffects
OnMoveMessage(ControlState& aState, const PermitGranted& aMessage, Instant aNow)
{
  ServiceMoves& moves = MovesOf(aState, aMessage.mService);
  const auto asked = moves.mAsked.find(aMessage.mSequence);
  if (asked == moves.mAsked.end()) {
    return {};
  }
  UsePermit(aState,
            moves,
            { .mService = aMessage.mService,
              .mNumber = aMessage.mNumber,
              .mPhase = aMessage.mPhase,
              .mVersion = aMessage.mVersion,
              .mPermille = aMessage.mPermille,
              .mEndsInMilliseconds = aMessage.mEndsInMilliseconds,
              .mSettled = aMessage.mSettled },
            asked->second,
            aNow);
  return {};
}

ControlEffects
OnMoveMessage(ControlState& aState, const VersionStopped& aMessage, Instant aNow)
{
  ServiceMoves& moves = MovesOf(aState, aMessage.mService);
  const bool stopped = StopVersion(moves.mShares, aMessage.mVersion, aMessage.mNumber);
  aState.mMoves.mChanged = aState.mMoves.mChanged || stopped;
  if (moves.mDuty.has_value()) {
    Step(*moves.mDuty, VersionStopReceived{ .mNumber = aMessage.mNumber }, aNow);
  }
  return {};
}

void
AddMoveShares(const ControlState& aState, const ServiceId& aService, ServiceView& aView)
{
  const auto found = aState.mMoves.mServices.find(aService);
  if (aView.mDocument == nullptr) {
    return;
  }
  const bool known = found != aState.mMoves.mServices.end() && found->second.mShares.mNumber != 0;
  aView.mMove.mShares =
    known ? TrafficShares(found->second.mShares) : SharesWithoutRecord(*aView.mDocument);
  std::erase_if(aView.mMove.mShares, [&aView](const VersionShare& aShare) {
    return !HasServer(*aView.mDocument, aShare.mVersion);
  });
  if (!known) {
    return;
  }
  const ServiceShares& shares = found->second.mShares;
  aView.mMove.mPhase = shares.mPhase;
  aView.mMove.mVersion = shares.mVersion;
  aView.mMove.mRecord = shares.mNumber;
  aView.mMove.mStopped = shares.mStoppedNumber >= shares.mNumber;
  aView.mMove.mHeldHere = found->second.mDuty.has_value();
}

} // namespace trefoil
