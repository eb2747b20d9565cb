#include "trefoil/operations/document.h"

#include "absl/time/clock.h"
#include "trefoil/audit/recorder.h"
#include "trefoil/audit/trail_codec.h"
#include "trefoil/base/digest.h"
#include "trefoil/service/service_document.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// The pause before a write that was not answered is tried again.
constexpr Milliseconds kRetryPause{ 100 };
// What the note in the trail may take on top of the put.
constexpr Milliseconds kNoteLimit{ 3'000 };

bool
IsOwn(const StoreEntry& aEntry, const Author& aAuthor)
{
  const auto author = ParseAuthor(aEntry.mValue);
  return author.has_value() && author->mNonce == aAuthor.mNonce;
}

PutResult
Accepted(const StoreEntry& aEntry)
{
  return { .mState = PutState::kAccepted, .mRevision = aEntry.mRevision };
}

PutResult
Conflict(const StoreEntry& aEntry)
{
  return { .mState = PutState::kConflict,
           .mRevision = aEntry.mRevision,
           .mStanding = ParseAuthor(aEntry.mValue),
           .mReason = "another operator changed the document" };
}

// Looks for a write whose answer was lost. Returns nothing if it is not there; it may still come.
std::optional<PutResult>
ReadBack(const StoreClient& aStore,
         const StoreWriteRequest& aWrite,
         const Author& aAuthor,
         Instant aDeadline)
{
  const auto entry = Read(aStore, aWrite.mKey, aDeadline);
  if (!entry.ok()) {
    return std::nullopt;
  }
  if (IsOwn(*entry, aAuthor)) {
    return Accepted(*entry);
  }
  if (entry->mRevision <= aWrite.mExpected) {
    return std::nullopt;
  }
  // The own write may have taken effect before the other operator's.
  PutResult unknown = Conflict(*entry);
  unknown.mState = PutState::kUnknown;
  return unknown;
}

// Writes until an answer says what became of it. A write whose answer was lost is looked for and
// repeated with the same author's nonce, so it takes effect once.
PutResult
Write(const StoreClient& aStore,
      const StoreWriteRequest& aWrite,
      const Author& aAuthor,
      Instant aDeadline)
{
  PutResult last{ .mReason = "the store does not answer" };
  while (!HasPassed(aDeadline, Now())) {
    const StoreWriteResult write = CompareAndSwap(aStore, aWrite, aDeadline);
    const bool own = IsOwn(write.mCurrent, aAuthor);
    if (write.mState == StoreWriteState::kWritten || own) {
      return Accepted(write.mCurrent);
    }
    if (write.mState == StoreWriteState::kConflict) {
      PutResult conflict = Conflict(write.mCurrent);
      conflict.mState = last.mState == PutState::kUnknown ? PutState::kUnknown : conflict.mState;
      return conflict;
    }
    last.mReason = write.mReason;
    if (write.mState == StoreWriteState::kUnknown) {
      last.mState = PutState::kUnknown;
      if (const auto found = ReadBack(aStore, aWrite, aAuthor, aDeadline)) {
        return *found;
      }
    }
    absl::SleepFor(absl::FromChrono(kRetryPause));
  }
  return last;
}

// Carries out one call of the recorder.
AuditEvent
CarryOut(const StoreClient& aStore,
         const AuditOptions& aOptions,
         const AuditEffect& aEffect,
         Instant aDeadline)
{
  const auto read = [&](const std::string& aKey) {
    SegmentReadCompleted ended;
    const auto entry = Read(aStore, aKey, aDeadline);
    auto piece = entry.ok() ? DecodeSegment(entry->mValue) : entry.status();
    if (piece.ok()) {
      ended.mStored = StoredSegment{ .mSegment = std::move(*piece), .mRevision = entry->mRevision };
    }
    return ended;
  };
  if (const auto* head = std::get_if<ReadHeadSegment>(&aEffect)) {
    return read(HeadSegmentKey(head->mService));
  }
  if (const auto* sealed = std::get_if<ReadSealedSegment>(&aEffect)) {
    return read(SealedSegmentKey(aOptions, sealed->mService, sealed->mNumber));
  }
  const auto& write = std::get<WriteSegment>(aEffect);
  const std::string key = write.mSealed
                            ? SealedSegmentKey(aOptions, write.mService, write.mSegment.mNumber)
                            : HeadSegmentKey(write.mService);
  const StoreWriteResult done = CompareAndSwap(
    aStore,
    { .mKey = key, .mValue = EncodeSegment(write.mSegment), .mExpected = write.mExpected },
    aDeadline);
  return SegmentWriteCompleted{ .mWritten = done.mState == StoreWriteState::kWritten };
}

// Adds a record to a trail. If that fails, an entry host notes it once the document is in force.
void
NoteAccepted(const StoreClient& aStore,
             const ServiceId& aService,
             const AuditRecord& aRecord,
             Instant aDeadline)
{
  AuditRecorder recorder;
  Step(recorder, AppendRequested{ .mService = aService, .mRecord = aRecord }, Now());
  while (!recorder.mPendingRecords.empty() && !HasPassed(aDeadline, Now())) {
    AuditEffects effects = Tick(recorder, Now());
    while (!effects.empty()) {
      const AuditEvent event = CarryOut(aStore, recorder.mOptions, effects.front(), aDeadline);
      effects = Step(recorder, event, Now());
    }
    const Instant wakeAt = NextTimer(recorder, aDeadline);
    if (!recorder.mPendingRecords.empty()) {
      absl::SleepFor(absl::FromChrono(wakeAt - Now()));
    }
  }
}

} // namespace

PutResult
PutDocument(const StoreClient& aStore, const PutOptions& aOptions, Instant aDeadline)
{
  const auto document = ParseServiceDocument(aOptions.mText, aOptions.mFile);
  if (!document.ok()) {
    return { .mState = PutState::kInvalid, .mReason = std::string{ document.status().message() } };
  }
  if (!IsValidAuthorName(aOptions.mAuthor)) {
    return { .mState = PutState::kInvalid,
             .mReason = "the author's name must be 1 to 64 letters, digits and '._@-'" };
  }
  const std::string key = "services/" + document->mService.Value();
  const auto current = Read(aStore, key, aDeadline);
  if (!current.ok()) {
    return { .mReason = std::string{ current.status().message() } };
  }
  if (aOptions.mExpected.has_value() && *aOptions.mExpected != current->mRevision) {
    return Conflict(*current);
  }
  const Author author{ .mName = aOptions.mAuthor, .mNonce = RandomHex(), .mAt = WallNow() };
  const StoreWriteRequest write{ .mKey = key,
                                 .mValue = WithAuthor(author, aOptions.mText),
                                 .mExpected = current->mRevision };
  PutResult result = Write(aStore, write, author, aDeadline);
  if (result.mState == PutState::kAccepted) {
    NoteAccepted(aStore,
                 document->mService,
                 { .mKind = AuditKind::kAccepted,
                   .mRevision = result.mRevision,
                   .mActor = author.mName,
                   .mAt = author.mAt },
                 Now() + kNoteLimit);
  }
  return result;
}

absl::StatusOr<std::vector<AuditRecord>>
ReadTrail(const StoreClient& aStore, const ServiceId& aService, Instant aDeadline)
{
  const auto listing = List(aStore, "audit/" + aService.Value() + "/", aDeadline);
  if (!listing.ok()) {
    return listing.status();
  }
  std::vector<AuditRecord> records;
  for (const StoreEntry& entry : listing->mEntries) {
    const auto piece = DecodeSegment(entry.mValue);
    if (!piece.ok()) {
      return piece.status();
    }
    for (const AuditRecord& record : piece->mRecords) {
      if (!ContainsRecord({ .mRecords = records }, record)) {
        records.push_back(record);
      }
    }
  }
  std::ranges::stable_sort(records, {}, &AuditRecord::mAt);
  return records;
}

} // namespace trefoil
