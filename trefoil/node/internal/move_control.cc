#include "trefoil/node/internal/move_control.h"

#include "trefoil/duty/holder_record.h"
#include "trefoil/node/internal/move_store_calls.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr Milliseconds kTickInterval{ 1'000 };
constexpr Milliseconds kAnnounceInterval{ 1'500 };
// How long an announcement of a duty holder remains valid.
constexpr Milliseconds kHolderAnnouncementTtl{ 5'000 };
// The number of hosts of a zone that campaign for a duty.
constexpr std::size_t kCandidatesPerZone = 3;
// The interval between a host's reports grows by this much per host, which bounds the rate at which
// the holder receives reports from all hosts.
constexpr Milliseconds kReportIntervalPerHost{ 40 };

WallTime
WallTimeAt(const MovesState& aMoves, Instant aNow)
{
  return aMoves.mStartedAtWall + std::chrono::duration_cast<Milliseconds>(aNow - aMoves.mStartedAt);
}

std::string
DutyKey(const ServiceId& aService)
{
  return "duty/" + aService.Value();
}

ServiceMoves&
MovesOf(NodeControlState& aState, const ServiceId& aService)
{
  const auto [entry, added] = aState.mMoves.mServices.try_emplace(aService);
  if (added) {
    // Starting at the incarnation keeps sequence numbers increasing across restarts.
    entry->second.mHealth.mSequence = aState.mOptions.mIncarnation;
  }
  return entry->second;
}

void
SendToMembers(const NodeControlState& aState, const Message& aMessage, ControlEffects& aEffects)
{
  for (const auto& [host, member] : aState.mGossip.mMembers.mByHost) {
    if (member.mState != MemberState::kDead) {
      aEffects.emplace_back(
        SendMessage{ .mTo = member.mHeartbeat.mPeerEndpoint, .mMessage = aMessage });
    }
  }
}

void
SendToZone(const NodeControlState& aState, const Message& aMessage, ControlEffects& aEffects)
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
UpdateDutyCampaigns(NodeControlState& aState, ControlEffects& aEffects, Instant aNow)
{
  for (const auto& [service, document] : aState.mConfig.mDocuments.mByService) {
    const std::size_t rank = RankInZone(aState.mGossip, DutyKey(service), kCandidatesPerZone);
    const bool isCandidate =
      document.mDocument != nullptr && rank < kCandidatesPerZone && !aState.mLeaving;
    const DutyEvent event =
      isCandidate
        ? DutyEvent{ DutyCampaignStarted{ .mService = service, .mRank = static_cast<int>(rank) } }
        : DutyEvent{ DutyCampaignStopped{ .mService = service } };
    AppendDutyEffects(aEffects, Step(aState.mMoves.mDuties, event, aNow), aNow);
  }
}

// Applies a permit and sets `mChanged` if it changed a traffic share.
void
ApplyPermitAndMarkChange(NodeControlState& aState,
                         ServiceMoves& aMoves,
                         const MovePermit& aPermit,
                         Instant aReportSentAt,
                         Instant aNow)
{
  const auto before = TrafficShares(aMoves.mShares);
  ApplyPermit(aMoves.mShares, aPermit, aReportSentAt, aNow);
  aState.mMoves.mChanged = aState.mMoves.mChanged || before != TrafficShares(aMoves.mShares);
}

// Advances the version move of a service if this host holds its duty, and applies its own permit.
void
TickDuty(NodeControlState& aState,
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
  const WallTime wallNow = WallTimeAt(aState.mMoves, aNow);
  AppendMoveRecordCalls(aState,
                        aService,
                        Step(*moves.mDuty,
                             MoveTick{ .mDocument = aDocument.mDocument,
                                       .mDocumentRevision = aDocument.mRevision,
                                       .mServers = CountServers(*aDocument.mDocument),
                                       .mWallNow = wallNow },
                             aNow),
                        aEffects,
                        aNow);
  ApplyPermitAndMarkChange(aState, moves, MakePermit(*moves.mDuty, wallNow), aNow, aNow);
}

void
Tick(NodeControlState& aState, ControlEffects& aEffects, Instant aNow)
{
  aState.mMoves.mNextTickAt = aNow + kTickInterval;
  UpdateDutyCampaigns(aState, aEffects, aNow);
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
AnnounceDuties(NodeControlState& aState, ControlEffects& aEffects, Instant aNow)
{
  aState.mMoves.mNextAnnounceAt = aNow + kAnnounceInterval;
  HolderAnnouncement held{ .mHost = aState.mOptions.mHost,
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

// Reports the health of one service to the holder of its duty while a move is in progress or the
// holder has announced another record. The holder replies with a permit.
void
ReportService(NodeControlState& aState,
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
  const bool needsPermit = isMoving || aMoves.mAnnouncedRecord != aMoves.mShares.mNumber;
  if (!needsPermit || HasPassed(aMoves.mHolderExpiresAt, aNow)) {
    return;
  }
  std::erase_if(aMoves.mReportSentAt, [aNow](const auto& aEntry) {
    return HasPassed(aEntry.second + kPermitDuration, aNow);
  });
  aMoves.mReportSentAt[report.mSequence] = aNow;
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
ReportServices(NodeControlState& aState, ControlEffects& aEffects, Instant aNow)
{
  const auto hosts = static_cast<std::int64_t>(aState.mGossip.mMembers.mByHost.size());
  aState.mMoves.mNextReportAt = aNow + std::max(kTickInterval, kReportIntervalPerHost * hosts);
  for (auto& [service, moves] : aState.mMoves.mServices) {
    ReportService(aState, service, moves, aEffects, aNow);
  }
}

// Stops traffic to the moving version and reports the stop to the other hosts.
void
StopMovingVersion(NodeControlState& aState,
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
  if (!HasPassed(aMoves.mHolderExpiresAt, aNow)) {
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

// Returns the shares to use without a move record. A version that is introduced by a move has none.
// Adding 1 keeps the other versions usable if their target share is 0, as that of the old version
// of a move to 100 percent.
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
MakeMovesState(const NodeControlOptions& aOptions, Instant aNow, WallTime aWallNow)
{
  MovesState moves{ .mDuties = MakeDutyState(
                      { .mHost = aOptions.mHost, .mRandomSeed = aOptions.mRandomSeed }, aNow),
                    .mStartedAt = aNow,
                    .mStartedAtWall = aWallNow,
                    .mNextTickAt = aNow,
                    .mNextReportAt = aNow,
                    .mNextAnnounceAt = aNow };
  return moves;
}

ControlEffects
OnMovesTimer(NodeControlState& aState, Instant aNow)
{
  ControlEffects effects;
  AppendDutyEffects(effects, Step(aState.mMoves.mDuties, DutyTimerFired{}, aNow), aNow);
  if (HasPassed(aState.mMoves.mNextTickAt, aNow)) {
    Tick(aState, effects, aNow);
  }
  if (HasPassed(aState.mMoves.mNextReportAt, aNow)) {
    ReportServices(aState, effects, aNow);
  }
  if (HasPassed(aState.mMoves.mNextAnnounceAt, aNow)) {
    AnnounceDuties(aState, effects, aNow);
  }
  return effects;
}

Instant
NextMovesTimer(const NodeControlState& aState)
{
  const MovesState& moves = aState.mMoves;
  const Instant next = std::min({ moves.mNextTickAt, moves.mNextReportAt, moves.mNextAnnounceAt });
  return std::min(next, NextTimer(moves.mDuties).value_or(next));
}

ControlEffects
OnAttemptsCompleted(NodeControlState& aState, const AttemptsCompleted& aEvent, Instant aNow)
{
  ControlEffects effects;
  for (const AttemptOutcome& outcome : aEvent.mOutcomes) {
    ServiceMoves& moves = MovesOf(aState, outcome.mService);
    const bool isMoving = moves.mShares.mPhase == MovePhase::kMoving;
    const VersionId moving = isMoving ? moves.mShares.mVersion : VersionId{};
    if (RecordOutcome(moves.mHealth, outcome, moving, aNow).has_value()) {
      StopMovingVersion(aState, outcome.mService, moves, effects, aNow);
    }
  }
  return effects;
}

ControlEffects
OnMovesShutdown(NodeControlState& aState, Instant aNow)
{
  ControlEffects effects;
  AppendDutyEffects(effects, Step(aState.mMoves.mDuties, HostShutdownStarted{}, aNow), aNow);
  for (auto& [service, moves] : aState.mMoves.mServices) {
    moves.mDuty.reset();
  }
  return effects;
}

ControlEffects
OnMoveMessage(NodeControlState& aState, const HolderAnnouncement& aMessage, Instant aNow)
{
  ControlEffects effects;
  if (aMessage.mHost == aState.mOptions.mHost) {
    return effects;
  }
  for (const HeldDuty& held : aMessage.mDuties) {
    ServiceMoves& moves = MovesOf(aState, held.mService);
    moves.mHolder = aMessage.mPeerEndpoint;
    moves.mHolderExpiresAt = aNow + kHolderAnnouncementTtl;
    moves.mAnnouncedRecord = held.mRecord;
    AppendDutyEffects(
      effects,
      Step(aState.mMoves.mDuties, HolderAnnouncementReceived{ .mService = held.mService }, aNow),
      aNow);
  }
  if (!aMessage.mRelayed && aMessage.mZone != aState.mOptions.mZone) {
    HolderAnnouncement forwarded = aMessage;
    forwarded.mRelayed = true;
    SendToZone(aState, forwarded, effects);
  }
  return effects;
}

ControlEffects
OnMoveMessage(NodeControlState& aState, const VersionReport& aMessage, Instant aNow)
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
  const MovePermit permit = MakePermit(*moves.mDuty, WallTimeAt(aState.mMoves, aNow));
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
OnMoveMessage(NodeControlState& aState, const PermitGranted& aMessage, Instant aNow)
{
  ServiceMoves& moves = MovesOf(aState, aMessage.mService);
  const auto sentReport = moves.mReportSentAt.find(aMessage.mSequence);
  if (sentReport == moves.mReportSentAt.end()) {
    return {};
  }
  ApplyPermitAndMarkChange(aState,
                           moves,
                           { .mService = aMessage.mService,
                             .mNumber = aMessage.mNumber,
                             .mPhase = aMessage.mPhase,
                             .mVersion = aMessage.mVersion,
                             .mPermille = aMessage.mPermille,
                             .mEndsInMilliseconds = aMessage.mEndsInMilliseconds,
                             .mSettled = aMessage.mSettled },
                           sentReport->second,
                           aNow);
  return {};
}

ControlEffects
OnMoveMessage(NodeControlState& aState, const VersionStopped& aMessage, Instant aNow)
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
SetMoveView(const NodeControlState& aState, const ServiceId& aService, ServiceView& aView)
{
  const auto found = aState.mMoves.mServices.find(aService);
  if (aView.mDocument == nullptr) {
    return;
  }
  const bool hasRecord =
    found != aState.mMoves.mServices.end() && found->second.mShares.mNumber != 0;
  aView.mMove.mShares =
    hasRecord ? TrafficShares(found->second.mShares) : SharesWithoutRecord(*aView.mDocument);
  std::erase_if(aView.mMove.mShares, [&aView](const VersionShare& aShare) {
    return !HasServer(*aView.mDocument, aShare.mVersion);
  });
  if (!hasRecord) {
    return;
  }
  const ServiceShares& shares = found->second.mShares;
  aView.mMove.mPhase = shares.mPhase;
  aView.mMove.mVersion = shares.mVersion;
  aView.mMove.mRecord = shares.mNumber;
  aView.mMove.mStoppedLocally = shares.mStoppedNumber >= shares.mNumber;
  aView.mMove.mDutyHeldHere = found->second.mDuty.has_value();
}

} // namespace trefoil
