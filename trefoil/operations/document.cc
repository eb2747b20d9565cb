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

// The delay before a write that was not carried out, or whose result is unknown, is retried.
constexpr Milliseconds kRetryDelay{ 100 };
// The timeout for appending to the audit trail, in addition to the deadline of the put.
constexpr Milliseconds kAuditTimeout{ 3'000 };

bool
IsWrittenBy(const StoreEntry& aEntry, const Author& aAuthor)
{
  const auto author = ParseAuthor(aEntry.mValue);
  return author.has_value() && author->mNonce == aAuthor.mNonce;
}

PutResult
AcceptedResult(const StoreEntry& aEntry)
{
  return { .mState = PutState::kAccepted, .mRevision = aEntry.mRevision };
}

PutResult
ConflictResult(const StoreEntry& aEntry)
{
  return { .mState = PutState::kConflict,
           .mRevision = aEntry.mRevision,
           .mStoredAuthor = ParseAuthor(aEntry.mValue),
           .mReason = "another operator changed the document" };
}

// Reads the key back after a write whose answer was lost. Returns std::nullopt if the read fails or
// shows no newer value than the write expected; the write may still take effect later.
std::optional<PutResult>
ReadBackWrite(const StoreClient& aStore,
              const StoreWriteRequest& aWrite,
              const Author& aAuthor,
              Instant aDeadline)
{
  const auto entry = Read(aStore, aWrite.mKey, aDeadline);
  if (!entry.ok()) {
    return std::nullopt;
  }
  if (IsWrittenBy(*entry, aAuthor)) {
    return AcceptedResult(*entry);
  }
  if (entry->mRevision <= aWrite.mExpected) {
    return std::nullopt;
  }
  // This write may have taken effect and then been replaced by another operator's write.
  PutResult unknown = ConflictResult(*entry);
  unknown.mState = PutState::kUnknown;
  return unknown;
}

// Retries a write until its result is known or the deadline has passed. After a lost answer the key
// is read back. Each attempt carries the same nonce, by which the write is recognized, and expects
// the same revision, so that the document is written at most once.
PutResult
WriteUntilResolved(const StoreClient& aStore,
                   const StoreWriteRequest& aWrite,
                   const Author& aAuthor,
                   Instant aDeadline)
{
  PutResult pending{ .mReason = "the store does not answer" };
  while (!HasPassed(aDeadline, Now())) {
    const StoreWriteResult write = CompareAndSwap(aStore, aWrite, aDeadline);
    const bool isWritten = IsWrittenBy(write.mCurrent, aAuthor);
    if (write.mState == StoreWriteState::kWritten || isWritten) {
      return AcceptedResult(write.mCurrent);
    }
    if (write.mState == StoreWriteState::kConflict) {
      PutResult conflict = ConflictResult(write.mCurrent);
      conflict.mState = pending.mState == PutState::kUnknown ? PutState::kUnknown : conflict.mState;
      return conflict;
    }
    pending.mReason = write.mReason;
    if (write.mState == StoreWriteState::kUnknown) {
      pending.mState = PutState::kUnknown;
      if (const auto found = ReadBackWrite(aStore, aWrite, aAuthor, aDeadline)) {
        return *found;
      }
    }
    absl::SleepFor(absl::FromChrono(kRetryDelay));
  }
  return pending;
}

// Carries out an effect of the audit recorder and returns the event that completes it.
AuditEvent
ExecuteEffect(const StoreClient& aStore,
              const AuditOptions& aOptions,
              const AuditEffect& aEffect,
              Instant aDeadline)
{
  const auto read = [&](const std::string& aKey) {
    SegmentReadCompleted completed;
    const auto entry = Read(aStore, aKey, aDeadline);
    auto segment = entry.ok() ? DecodeSegment(entry->mValue) : entry.status();
    if (segment.ok()) {
      completed.mStored =
        StoredSegment{ .mSegment = std::move(*segment), .mRevision = entry->mRevision };
    }
    return completed;
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
  const StoreWriteResult stored = CompareAndSwap(
    aStore,
    { .mKey = key, .mValue = EncodeSegment(write.mSegment), .mExpected = write.mExpected },
    aDeadline);
  return SegmentWriteCompleted{ .mWritten = stored.mState == StoreWriteState::kWritten };
}

// Appends a record to the audit trail of a service and blocks until it is stored or the deadline
// has passed. If it is not stored by then, an entry host appends it once the document is in force.
void
AppendAuditRecord(const StoreClient& aStore,
                  const ServiceId& aService,
                  const AuditRecord& aRecord,
                  Instant aDeadline)
{
  AuditRecorder recorder;
  Step(recorder, AppendRequested{ .mService = aService, .mRecord = aRecord }, Now());
  while (!recorder.mPendingRecords.empty() && !HasPassed(aDeadline, Now())) {
    AuditEffects effects = Tick(recorder, Now());
    while (!effects.empty()) {
      const AuditEvent event = ExecuteEffect(aStore, recorder.mOptions, effects.front(), aDeadline);
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
    return ConflictResult(*current);
  }
  const Author author{ .mName = aOptions.mAuthor, .mNonce = RandomHex(), .mAt = WallNow() };
  const StoreWriteRequest write{ .mKey = key,
                                 .mValue = WithAuthor(author, aOptions.mText),
                                 .mExpected = current->mRevision };
  PutResult result = WriteUntilResolved(aStore, write, author, aDeadline);
  if (result.mState == PutState::kAccepted) {
    AppendAuditRecord(aStore,
                      document->mService,
                      { .mKind = AuditKind::kAccepted,
                        .mRevision = result.mRevision,
                        .mActor = author.mName,
                        .mAt = author.mAt },
                      Now() + kAuditTimeout);
  }
  return result;
}

absl::StatusOr<std::vector<AuditRecord>>
ReadAuditTrail(const StoreClient& aStore, const ServiceId& aService, Instant aDeadline)
{
  const auto listing = List(aStore, "audit/" + aService.Value() + "/", aDeadline);
  if (!listing.ok()) {
    return listing.status();
  }
  std::vector<AuditRecord> records;
  for (const StoreEntry& entry : listing->mEntries) {
    const auto segment = DecodeSegment(entry.mValue);
    if (!segment.ok()) {
      return segment.status();
    }
    for (const AuditRecord& record : segment->mRecords) {
      if (!ContainsRecord({ .mRecords = records }, record)) {
        records.push_back(record);
      }
    }
  }
  std::ranges::stable_sort(records, {}, &AuditRecord::mAt);
  return records;
}

} // namespace trefoil
