#include "trefoil/node/internal/audit_control.h"

#include "trefoil/audit/author.h"
#include "trefoil/audit/trail_codec.h"
#include "trefoil/base/digest.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

namespace trefoil {
namespace {

constexpr Milliseconds kStoreTimeout{ 2'000 };
// A document that was accepted longer ago, or that has no author, is not recorded. Otherwise each
// host that starts would record it again.
constexpr Milliseconds kMaxAcceptedAge{ 600'000 };

ControlEffect
Translate(const AuditOptions&, const ReadHeadSegment& aEffect, Instant aNow)
{
  return ReadStoreEntry{ .mTopic = StoreTopic::kAudit,
                         .mKey = HeadSegmentKey(aEffect.mService),
                         .mDeadline = aNow + kStoreTimeout };
}

ControlEffect
Translate(const AuditOptions& aOptions, const ReadSealedSegment& aEffect, Instant aNow)
{
  return ReadStoreEntry{ .mTopic = StoreTopic::kAudit,
                         .mKey = SealedSegmentKey(aOptions, aEffect.mService, aEffect.mNumber),
                         .mDeadline = aNow + kStoreTimeout };
}

ControlEffect
Translate(const AuditOptions& aOptions, const WriteSegment& aEffect, Instant aNow)
{
  const std::string key = aEffect.mSealed
                            ? SealedSegmentKey(aOptions, aEffect.mService, aEffect.mSegment.mNumber)
                            : HeadSegmentKey(aEffect.mService);
  return WriteStoreEntry{ .mTopic = StoreTopic::kAudit,
                          .mWrite = { .mKey = key,
                                      .mValue = EncodeSegment(aEffect.mSegment),
                                      .mExpected = aEffect.mExpected },
                          .mDeadline = aNow + kStoreTimeout };
}

ControlEffects
Translate(const AuditOptions& aOptions, const AuditEffects& aEffects, Instant aNow)
{
  ControlEffects effects;
  for (const AuditEffect& effect : aEffects) {
    effects.push_back(std::visit(
      [&](const auto& aAlternative) { return Translate(aOptions, aAlternative, aNow); }, effect));
  }
  return effects;
}

bool
IsPeerInZone(const AuditControlState& aState, const Member& aMember)
{
  return aMember.mHeartbeat.mZone == aState.mZone && aMember.mHeartbeat.mHost != aState.mHost &&
         IsAlive(aMember);
}

// Returns whether all other live hosts of the zone have seen a revision.
bool
IsSeenByZone(const AuditControlState& aState, const Members& aMembers, std::uint64_t aRevision)
{
  return std::ranges::all_of(aMembers.mByHost, [&](const auto& aEntry) {
    const Member& member = aEntry.second;
    return !IsPeerInZone(aState, member) || member.mHeartbeat.mConfigRevision >= aRevision;
  });
}

// Returns whether this host is the one that records the changes of a service for its zone.
bool
IsRecorderForZone(const AuditControlState& aState,
                  const Members& aMembers,
                  const ServiceId& aService)
{
  const auto own = RendezvousScore(aState.mHost.Value(), aService.Value());
  return std::ranges::none_of(aMembers.mByHost, [&](const auto& aEntry) {
    return IsPeerInZone(aState, aEntry.second) &&
           RendezvousScore(aEntry.first.Value(), aService.Value()) > own;
  });
}

AuditRecord
RecordOf(const AuditControlState& aState,
         const DocumentState& aDocument,
         const std::optional<Author>& aAuthor,
         WallTime aAt)
{
  const bool refused = !aDocument.mRefusal.empty();
  AuditRecord record{ .mKind = refused ? AuditKind::kRefused : AuditKind::kInForce,
                      .mRevision = aDocument.mSeenRevision,
                      .mActor = aState.mHost.Value(),
                      .mScope = aState.mZone.Value(),
                      .mAt = aAt,
                      .mText = aDocument.mRefusal };
  if (!refused && aAuthor.has_value()) {
    record.mText = fmt::format("{} ms after {} put it",
                               UnixMilliseconds(aAt) - UnixMilliseconds(aAuthor->mAt),
                               aAuthor->mName);
  }
  return record;
}

void
RecordDocument(AuditControlState& aState,
               const ServiceId& aService,
               const DocumentState& aDocument,
               Instant aNow)
{
  const bool refused = !aDocument.mRefusal.empty();
  const auto author = refused ? std::nullopt : ParseAuthor(aDocument.mText);
  const WallTime at = WallTimeOf(aState, aNow);
  const bool isTooOld = !refused && (!author.has_value() || at - author->mAt > kMaxAcceptedAge);
  if (isTooOld) {
    return;
  }
  if (author.has_value()) {
    const AuditRecord accepted{ .mKind = AuditKind::kAccepted,
                                .mRevision = aDocument.mSeenRevision,
                                .mActor = author->mName,
                                .mAt = author->mAt };
    Step(aState.mRecorder, AppendRequested{ .mService = aService, .mRecord = accepted }, aNow);
  }
  Step(aState.mRecorder,
       AppendRequested{ .mService = aService, .mRecord = RecordOf(aState, aDocument, author, at) },
       aNow);
}

ControlEffects
StepRecorder(AuditControlState& aState, const AuditEvent& aEvent, Instant aNow)
{
  return Translate(aState.mRecorder.mOptions, Step(aState.mRecorder, aEvent, aNow), aNow);
}

} // namespace

WallTime
WallTimeOf(const AuditControlState& aState, Instant aNow)
{
  return aState.mStartedAtWall +
         std::chrono::duration_cast<WallTime::duration>(aNow - aState.mStartedAt);
}

void
RecordConfiguration(AuditControlState& aState, const ConfigurationView& aView, Instant aNow)
{
  for (const auto& [service, document] : aView.mDocuments.mByService) {
    std::uint64_t& recordedRevision = aState.mRecordedRevisions[service];
    const std::uint64_t revision = document.mSeenRevision;
    if (revision <= recordedRevision || !IsSeenByZone(aState, aView.mMembers, revision)) {
      continue;
    }
    recordedRevision = revision;
    if (IsRecorderForZone(aState, aView.mMembers, service)) {
      RecordDocument(aState, service, document, aNow);
    }
  }
}

ControlEffects
OnAudit(AuditControlState& aState, const StoreReadCompleted& aEvent, Instant aNow)
{
  SegmentReadCompleted completed;
  if (aEvent.mEntry.ok()) {
    auto segment = DecodeSegment(aEvent.mEntry->mValue);
    if (segment.ok()) {
      completed.mStored =
        StoredSegment{ .mSegment = std::move(*segment), .mRevision = aEvent.mEntry->mRevision };
    }
  }
  return StepRecorder(aState, completed, aNow);
}

ControlEffects
OnAudit(AuditControlState& aState, const StoreWriteCompleted& aEvent, Instant aNow)
{
  const bool written = aEvent.mWrite.mState == StoreWriteState::kWritten;
  return StepRecorder(aState, SegmentWriteCompleted{ .mWritten = written }, aNow);
}

ControlEffects
OnAuditTimer(AuditControlState& aState, Instant aNow)
{
  return Translate(aState.mRecorder.mOptions, Tick(aState.mRecorder, aNow), aNow);
}

} // namespace trefoil
