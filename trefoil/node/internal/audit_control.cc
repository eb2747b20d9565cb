#include "trefoil/node/internal/audit_control.h"

#include "trefoil/audit/author.h"
#include "trefoil/audit/trail_codec.h"
#include "trefoil/base/digest.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

namespace trefoil {
namespace {

constexpr Milliseconds kStoreLimit{ 2'000 };
// A document that was accepted longer ago, or before there were authors, is not noted anew by each
// host that starts.
constexpr Milliseconds kNoteWithin{ 600'000 };

ControlEffect
Translate(const AuditOptions&, const ReadHeadSegment& aEffect, Instant aNow)
{
  return StoreReadWanted{ .mTopic = StoreTopic::kAudit,
                          .mKey = HeadSegmentKey(aEffect.mService),
                          .mDeadline = aNow + kStoreLimit };
}

ControlEffect
Translate(const AuditOptions& aOptions, const ReadSealedSegment& aEffect, Instant aNow)
{
  return StoreReadWanted{ .mTopic = StoreTopic::kAudit,
                          .mKey = SealedSegmentKey(aOptions, aEffect.mService, aEffect.mNumber),
                          .mDeadline = aNow + kStoreLimit };
}

ControlEffect
Translate(const AuditOptions& aOptions, const WriteSegment& aEffect, Instant aNow)
{
  const std::string key = aEffect.mSealed
                            ? SealedSegmentKey(aOptions, aEffect.mService, aEffect.mSegment.mNumber)
                            : HeadSegmentKey(aEffect.mService);
  return StoreWriteWanted{ .mTopic = StoreTopic::kAudit,
                           .mWrite = { .mKey = key,
                                       .mValue = EncodeSegment(aEffect.mSegment),
                                       .mExpected = aEffect.mExpected },
                           .mDeadline = aNow + kStoreLimit };
}

ControlEffects
Translate(const AuditOptions& aOptions, const AuditEffects& aEffects, Instant aNow)
{
  ControlEffects effects;
  for (const AuditEffect& effect : aEffects) {
    effects.push_back(
      std::visit([&](const auto& aKind) { return Translate(aOptions, aKind, aNow); }, effect));
  }
  return effects;
}

bool
IsPeerInZone(const AuditControl& aState, const Member& aMember)
{
  return aMember.mHeartbeat.mZone == aState.mZone && aMember.mHeartbeat.mHost != aState.mHost &&
         IsAlive(aMember);
}

// Returns whether all live hosts of the zone have seen a revision.
bool
IsSeenInZone(const AuditControl& aState, const Members& aMembers, std::uint64_t aRevision)
{
  return std::ranges::all_of(aMembers.mByHost, [&](const auto& aEntry) {
    const Member& member = aEntry.second;
    return !IsPeerInZone(aState, member) || member.mHeartbeat.mConfigRevision >= aRevision;
  });
}

// Returns whether this host notes the changes of a service for its zone.
bool
IsChosen(const AuditControl& aState, const Members& aMembers, const ServiceId& aService)
{
  const auto own = RendezvousScore(aState.mHost.Value(), aService.Value());
  return std::ranges::none_of(aMembers.mByHost, [&](const auto& aEntry) {
    return IsPeerInZone(aState, aEntry.second) &&
           RendezvousScore(aEntry.first.Value(), aService.Value()) > own;
  });
}

AuditRecord
RecordOf(const AuditControl& aState,
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
Note(AuditControl& aState, const ServiceId& aService, const DocumentState& aDocument, Instant aNow)
{
  const bool refused = !aDocument.mRefusal.empty();
  const auto author = refused ? std::nullopt : ParseAuthor(aDocument.mText);
  const WallTime at = WallTimeOf(aState, aNow);
  const bool isOld = !refused && (!author.has_value() || at - author->mAt > kNoteWithin);
  if (isOld) {
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
StepRecorder(AuditControl& aState, const AuditEvent& aEvent, Instant aNow)
{
  return Translate(aState.mRecorder.mOptions, Step(aState.mRecorder, aEvent, aNow), aNow);
}

} // namespace

WallTime
WallTimeOf(const AuditControl& aState, Instant aNow)
{
  return aState.mStartedAtWall +
         std::chrono::duration_cast<WallTime::duration>(aNow - aState.mStartedAt);
}

void
NoteConfiguration(AuditControl& aState, const ConfigurationView& aView, Instant aNow)
{
  for (const auto& [service, document] : aView.mDocuments.mByService) {
    std::uint64_t& noted = aState.mNoted[service];
    const std::uint64_t revision = document.mSeenRevision;
    if (revision <= noted || !IsSeenInZone(aState, aView.mMembers, revision)) {
      continue;
    }
    noted = revision;
    if (IsChosen(aState, aView.mMembers, service)) {
      Note(aState, service, document, aNow);
    }
  }
}

ControlEffects
OnAudit(AuditControl& aState, const StoreReadDone& aEvent, Instant aNow)
{
  SegmentReadCompleted ended;
  if (aEvent.mEntry.ok()) {
    auto piece = DecodeSegment(aEvent.mEntry->mValue);
    if (piece.ok()) {
      ended.mStored =
        StoredSegment{ .mSegment = std::move(*piece), .mRevision = aEvent.mEntry->mRevision };
    }
  }
  return StepRecorder(aState, ended, aNow);
}

ControlEffects
OnAudit(AuditControl& aState, const StoreWriteDone& aEvent, Instant aNow)
{
  const bool written = aEvent.mWrite.mState == StoreWriteState::kWritten;
  return StepRecorder(aState, SegmentWriteCompleted{ .mWritten = written }, aNow);
}

ControlEffects
OnAuditTimer(AuditControl& aState, Instant aNow)
{
  return Translate(aState.mRecorder.mOptions, Tick(aState.mRecorder, aNow), aNow);
}

} // namespace trefoil
