// Appends records to the audit trails of services, from one entry host.
//
//   AuditRecorder recorder;
//   AuditEffects effects = Step(recorder, RecordWanted{ .mService = id, .mRecord = record }, aNow);
//   // carry out the effects; feed PieceReadEnded and PieceWriteEnded back; call Tick at NextTimer
//
// Records wait while the store is out, up to a stated number; the oldest are dropped first and
// counted. One call is under way at a time. Plain data and functions without I/O.
#pragma once

#include "trefoil/audit/trail.h"
#include "trefoil/base/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace trefoil {

struct RecordWanted
{
  ServiceId mService;
  AuditRecord mRecord;
};

// A piece as the store holds it.
struct StoredPiece
{
  AuditPiece mPiece;
  std::uint64_t mRevision = 0;
};

// The read of a head piece has ended.
struct PieceReadEnded
{
  // Nothing if the store did not answer.
  std::optional<StoredPiece> mStored;
};

// The write of a piece has ended.
struct PieceWriteEnded
{
  bool mWritten = false;
};

using AuditEvent = std::variant<RecordWanted, PieceReadEnded, PieceWriteEnded>;

struct HeadReadWanted
{
  ServiceId mService;
};

struct SealedReadWanted
{
  ServiceId mService;
  std::uint64_t mNumber = 0;
};

struct PieceWriteWanted
{
  ServiceId mService;
  AuditPiece mPiece;
  // Whether it is a full piece, which has a place of its own.
  bool mSealed = false;
  std::uint64_t mExpected = 0;
};

using AuditEffect = std::variant<HeadReadWanted, SealedReadWanted, PieceWriteWanted>;
using AuditEffects = std::vector<AuditEffect>;

enum class RecorderState
{
  kIdle,
  kReadingHead,
  // Reads what stands in the place of the full piece.
  kReadingSealed,
  kWritingSealed,
  kWritingHead,
};

struct AuditRecorder
{
  AuditOptions mOptions;
  // Records that the store does not hold yet.
  std::map<ServiceId, std::vector<AuditRecord>> mWaiting;
  std::size_t mMaxWaiting = 1'000;
  std::uint64_t mDropped = 0;
  RecorderState mState = RecorderState::kIdle;
  // The service and the append under way.
  ServiceId mService;
  TrailPlan mPlan;
  std::uint64_t mHeadRevision = 0;
  Instant mNextCallAt;
};

// A call that becomes due is started by Tick alone.
AuditEffects
Step(AuditRecorder& aRecorder, const AuditEvent& aEvent, Instant aNow);

// Starts the call that is due.
AuditEffects
Tick(AuditRecorder& aRecorder, Instant aNow);

// Returns when Tick is due; `aLatest` if nothing waits.
Instant
NextTimer(const AuditRecorder& aRecorder, Instant aLatest);

} // namespace trefoil
