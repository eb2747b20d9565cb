#include "trefoil/node/internal/crash_registry.h"

#include "trefoil/wire/crash_evidence_conversion.h"

#include <fmt/format.h>
#include <utility>

namespace trefoil {
namespace {

// A reservation expires after this time, also if the host that made it vanishes.
constexpr Milliseconds kMaxReservationDuration{ 10'000 };
// How long and how often a host repeats what it has observed.
constexpr Milliseconds kRepeatTime{ 3'000 };
constexpr Milliseconds kRepeatInterval{ 500 };
// How often the refusals in force are told to all hosts.
constexpr Milliseconds kRefusalsInterval{ 5'000 };

std::string
TextOf(SuspectKey aRequest)
{
  return fmt::format("{:016x}", aRequest);
}

} // namespace

CrashRegistry::CrashRegistry(HostId aHost,
                             BroadcastFunction aBroadcast,
                             ApplyArrivedFunction aApplyArrived)
  : mHost(std::move(aHost))
  , mBroadcast(std::move(aBroadcast))
  , mApplyArrived(std::move(aApplyArrived))
{
}

CrashDecision
CrashRegistry::CurrentDecision(SuspectKey aRequest) const
{
  if (mApplyArrived) {
    mApplyArrived();
  }
  const absl::MutexLock lock{ &mMutex };
  return CrashDecisionFor(mTracker, aRequest, Now());
}

bool
CrashRegistry::RecordServerLoss(const ServerLoss& aLoss)
{
  CrashEvidence evidence;
  bool areLinksAtFault = false;
  {
    const absl::MutexLock lock{ &mMutex };
    const Instant now = Now();
    RecordLoss(mLinks, aLoss, now);
    const auto avoided = mAvoided.find(aLoss.mServer);
    const bool reserved =
      avoided != mAvoided.end() && avoided->second.mReason == AvoidReason::kReserved;
    if (!aLoss.mRequest.has_value() ||
        (reserved && avoided->second.mSuspect != TextOf(*aLoss.mRequest))) {
      return false;
    }
    areLinksAtFault = !MayBlameRequest(mLinks, *aLoss.mRequest, now);
    ExpireCrashes(mTracker, now);
    RecordOrHold(mHeldCrashes,
                 mTracker,
                 mLinks,
                 { .mServer = aLoss.mServer,
                   .mSuspects = { .mRequest = *aLoss.mRequest },
                   .mRandomId = mRandom(),
                   .mAt = now });
    evidence = ReportOwnNews(now);
  }
  BroadcastEvidence(evidence);
  return areLinksAtFault;
}

void
CrashRegistry::RecordServerAnswer(const BackendServerId& aServer)
{
  CrashEvidence evidence;
  {
    const absl::MutexLock lock{ &mMutex };
    const Instant now = Now();
    const bool blames = SettleCrashes(mHeldCrashes, mTracker, RecordAnswer(mLinks, aServer), now);
    const bool disproves = trefoil::RecordServerAnswer(mTracker, aServer, now);
    if (!blames && !disproves) {
      return;
    }
    evidence = ReportOwnNews(now);
  }
  BroadcastEvidence(evidence);
}

bool
CrashRegistry::MayBlame(const ServiceId& aService, const VersionId& aVersion) const
{
  const absl::MutexLock lock{ &mMutex };
  return MayBlameVersion(mLinks, aService, aVersion, Now());
}

void
CrashRegistry::RecordRequestCompletion(SuspectKey aRequest)
{
  CrashEvidence evidence;
  {
    const absl::MutexLock lock{ &mMutex };
    const Instant now = Now();
    if (RecordCompletion(mTracker, aRequest, now) == 0) {
      return;
    }
    evidence = ReportOwnNews(now);
  }
  BroadcastEvidence(evidence);
}

CrashEvidence
CrashRegistry::ReportOwnNews(Instant aNow)
{
  mRepeatUntil = aNow + kRepeatTime;
  return EvidenceToReport(mTracker, aNow);
}

void
CrashRegistry::RepeatEvidence(bool aTellsRefusals)
{
  CrashEvidence evidence;
  {
    const absl::MutexLock lock{ &mMutex };
    const Instant now = Now();
    const bool repeats = !HasPassed(mRepeatUntil, now) && HasPassed(mNextRepeatAt, now);
    const bool tellsRefusals = aTellsRefusals && HasPassed(mNextRefusalsAt, now);
    if (!repeats && !tellsRefusals) {
      return;
    }
    mNextRepeatAt = now + kRepeatInterval;
    if (tellsRefusals) {
      mNextRefusalsAt = now + kRefusalsInterval;
    }
    evidence = EvidenceToReport(mTracker, now);
  }
  BroadcastEvidence(evidence);
}

void
CrashRegistry::BroadcastEvidence(const CrashEvidence& aEvidence) const
{
  if (!aEvidence.Empty()) {
    mBroadcast(ToCrashEvidenceMessage(mHost, aEvidence, Now()));
  }
}

void
CrashRegistry::ReserveServer(const BackendServerId& aServer, SuspectKey aRequest)
{
  {
    const absl::MutexLock lock{ &mMutex };
    mAvoided[aServer] = { .mReason = AvoidReason::kReserved,
                          .mUntil = Now() + kMaxReservationDuration,
                          .mSuspect = TextOf(aRequest) };
  }
  mBroadcast(ServerReservation{ .mServer = aServer,
                                .mDigest = TextOf(aRequest),
                                .mDurationMilliseconds = kMaxReservationDuration.count() });
}

void
CrashRegistry::ReleaseServer(const BackendServerId& aServer)
{
  {
    const absl::MutexLock lock{ &mMutex };
    EndReservation(aServer);
  }
  mBroadcast(ServerReservation{ .mServer = aServer });
}

void
CrashRegistry::EndReservation(const BackendServerId& aServer)
{
  const auto found = mAvoided.find(aServer);
  if (found != mAvoided.end() && found->second.mReason == AvoidReason::kReserved) {
    mAvoided.erase(found);
  }
}

void
CrashRegistry::AvoidServer(const BackendServerId& aServer, AvoidReason aReason, Instant aUntil)
{
  const absl::MutexLock lock{ &mMutex };
  AvoidedServer& server = mAvoided[aServer];
  if (!HasPassed(server.mUntil, Now()) && server.mReason != AvoidReason::kFailed) {
    return;
  }
  server = { .mReason = aReason, .mUntil = aUntil };
}

std::set<BackendServerId>
CrashRegistry::AvoidedServers() const
{
  std::set<BackendServerId> servers;
  const Instant now = Now();
  const absl::MutexLock lock{ &mMutex };
  for (const auto& [id, server] : mAvoided) {
    if (!HasPassed(server.mUntil, now)) {
      servers.insert(id);
    }
  }
  return servers;
}

bool
CrashRegistry::ApplyPeerMessage(const Message& aMessage)
{
  if (const auto* crashes = std::get_if<CrashEvidenceMessage>(&aMessage)) {
    CrashEvidence evidence;
    {
      const absl::MutexLock lock{ &mMutex };
      const Instant now = Now();
      MergeEvidence(mTracker, ToCrashEvidence(*crashes, now), now);
      if (std::exchange(mTracker.mKnowsBetter, false)) {
        evidence = ReportOwnNews(now);
      }
    }
    BroadcastEvidence(evidence);
    return true;
  }
  if (std::holds_alternative<CrashReport>(aMessage)) {
    // From a host of an earlier version, whose digests name no request here.
    return true;
  }
  if (const auto* reservation = std::get_if<ServerReservation>(&aMessage)) {
    const absl::MutexLock lock{ &mMutex };
    if (reservation->mDurationMilliseconds == 0) {
      EndReservation(reservation->mServer);
    } else {
      mAvoided[reservation->mServer] = {
        .mReason = AvoidReason::kReserved,
        .mUntil = Now() + Milliseconds{ reservation->mDurationMilliseconds },
        .mSuspect = reservation->mDigest
      };
    }
    return true;
  }
  return false;
}

} // namespace trefoil
