// The audit trail of a service: who changed its document, and when the change was in force in which
// availability zone.
//
//   AppendPlan plan = PlanAppend(options, head, { record });
//   // Write plan.mSealed, if any, and then plan.mHead by compare-and-swap.
//
// A trail is stored as segments of bounded size. Records are appended to the head segment. A full
// head segment is sealed: it is copied to its position in a ring of sealed segments, and then the
// next head segment replaces it. Sealing is idempotent, since a full head segment does not change.
//
// A record that the head segment contains is not added again, so an append whose answer was lost
// can be repeated. If the head segment was sealed in between, the record is stored twice; readers
// must drop duplicates (see AreDuplicates).
//
// Plain data and functions without I/O.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

enum class AuditKind
{
  // A document was written to the store.
  kAccepted,
  // All live entry hosts of a zone use the document.
  kInForce,
  // Entry hosts refused the document; the last valid one stays in force.
  kRefused,
  // A step of a version move.
  kVersionMove,
};

inline constexpr NameTable<AuditKind, 4> kAuditKindNames{ {
  { AuditKind::kAccepted, "accepted" },
  { AuditKind::kInForce, "in_force" },
  { AuditKind::kRefused, "refused" },
  { AuditKind::kVersionMove, "version_move" },
} };

struct AuditRecord
{
  AuditKind mKind = AuditKind::kAccepted;
  // The revision of the service's document.
  std::uint64_t mRevision = 0;
  // The operator, or the entry host that recorded the event.
  std::string mActor;
  // The availability zone that the record applies to; empty for the whole system.
  std::string mScope;
  WallTime mAt;
  // Details, such as a reason or the metrics of a version.
  std::string mText;

  friend bool operator==(const AuditRecord&, const AuditRecord&) = default;
};

// One segment of a trail.
struct AuditSegment
{
  // Increases by 1 with each segment of the service.
  std::uint64_t mNumber = 0;
  std::vector<AuditRecord> mRecords;

  friend bool operator==(const AuditSegment&, const AuditSegment&) = default;
};

struct AuditOptions
{
  // Maximum number of records in a segment.
  std::size_t mMaxRecords = 64;
  // Number of sealed segments that are kept for a service. After that the oldest one is
  // overwritten.
  std::uint64_t mRingSegments = 1'024;
  // Longer texts are truncated.
  std::size_t mMaxTextBytes = 512;
};

// The segments that an append writes.
struct AppendPlan
{
  // The full head segment to seal first; std::nullopt if the head segment is not full.
  std::optional<AuditSegment> mSealed;
  AuditSegment mHead;
};

// Returns whether two records are of the same event, so that only one of them is needed. Author and
// time are ignored; the text is compared only for version moves.
bool
AreDuplicates(const AuditRecord& aFirst, const AuditRecord& aSecond);

// Returns whether the segment contains a duplicate of the record.
bool
ContainsRecord(const AuditSegment& aSegment, const AuditRecord& aRecord);

// Returns the segments to write in order to append records to a trail, std::nullopt if the head
// segment contains them all. Adds only as many records as fit in one segment; the others need
// another append.
std::optional<AppendPlan>
PlanAppend(const AuditOptions& aOptions,
           const AuditSegment& aHead,
           const std::vector<AuditRecord>& aRecords);

// Returns the store key of the head segment of a service.
std::string
HeadSegmentKey(const ServiceId& aService);

// Returns the store key of the sealed segment `aNumber` of a service. The key contains the position
// in the ring, so it is reused after `mRingSegments` segments.
std::string
SealedSegmentKey(const AuditOptions& aOptions, const ServiceId& aService, std::uint64_t aNumber);

} // namespace trefoil
