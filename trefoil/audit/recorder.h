// Appends the records of one process to the audit trails of services.
//
//   AuditRecorder recorder;
//   AuditEvent event = AppendRequested{ .mService = id, .mRecord = record };
//   AuditEffects effects = Step(recorder, event, aNow);
//   // Carry out each effect and pass its result to Step, as SegmentReadCompleted or
//   SegmentWriteCompleted.
//   // Call Tick when the time of NextTimer has passed.
//
// Records are pending until the store has them, for example during an outage of the store. Up to
// mMaxPending records are kept; beyond that the oldest pending record of the same service is
// dropped and counted. At most one call to the store is in flight.
//
// Plain data and functions without I/O; the caller serializes access.
#pragma once

#include "trefoil/audit/trail.h"
#include "trefoil/base/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace trefoil {

// A record is to be appended to the trail of a service.
struct AppendRequested
{
  ServiceId mService;
  AuditRecord mRecord;
};

// A segment and its revision in the store; revision 0 if the store has none.
struct StoredSegment
{
  AuditSegment mSegment;
  std::uint64_t mRevision = 0;
};

// The read of a segment has completed.
struct SegmentReadCompleted
{
  // std::nullopt if the read failed.
  std::optional<StoredSegment> mStored;
};

// The write of a segment has completed.
struct SegmentWriteCompleted
{
  // False if the write failed, its result is unknown, or the store had another revision.
  bool mWritten = false;
};

using AuditEvent = std::variant<AppendRequested, SegmentReadCompleted, SegmentWriteCompleted>;

// Read the head segment of a service.
struct ReadHeadSegment
{
  ServiceId mService;
};

// Read the sealed segment at the ring position of `mNumber`.
struct ReadSealedSegment
{
  ServiceId mService;
  std::uint64_t mNumber = 0;
};

// Write a segment if the stored one has the expected revision.
struct WriteSegment
{
  ServiceId mService;
  AuditSegment mSegment;
  // Whether to write a sealed segment to its ring position; otherwise the head segment.
  bool mSealed = false;
  std::uint64_t mExpected = 0;
};

using AuditEffect = std::variant<ReadHeadSegment, ReadSealedSegment, WriteSegment>;
using AuditEffects = std::vector<AuditEffect>;

enum class RecorderState
{
  kIdle,
  kReadingHead,
  // Reads the segment that is stored at the ring position of the full segment.
  kReadingSealed,
  kWritingSealed,
  kWritingHead,
};

struct AuditRecorder
{
  AuditOptions mOptions;
  // Records that are not known to be stored.
  std::map<ServiceId, std::vector<AuditRecord>> mPendingRecords;
  std::size_t mMaxPending = 1'000;
  std::uint64_t mDroppedRecords = 0;
  RecorderState mState = RecorderState::kIdle;
  // The service and the plan of the append in progress, and the revision of the head segment that
  // it replaces.
  ServiceId mService;
  AppendPlan mPlan;
  std::uint64_t mHeadRevision = 0;
  // When the next append may start.
  Instant mNextCallAt;
};

// Applies an event and returns the next effect of the append in progress, if any. A new append is
// started only by Tick.
AuditEffects
Step(AuditRecorder& aRecorder, const AuditEvent& aEvent, Instant aNow);

// Starts an append if one is due and none is in progress, and returns its first effect.
AuditEffects
Tick(AuditRecorder& aRecorder, Instant aNow);

// Returns when Tick must be called, at most `aLatest`. Returns `aLatest` if an append is in
// progress or no record is pending.
Instant
NextTimer(const AuditRecorder& aRecorder, Instant aLatest);

} // namespace trefoil
