// The audit trail of a service: who changed what, and when it was in force where.
//
//   TrailPlan plan = PlanAppend(options, head, { record });
//   // write plan.mSealed, if any, then plan.mHead by compare-and-swap
//
// The store holds the trail in pieces of bounded size. The head piece takes the records; a full one
// is copied to a place of its own in a ring, then the head begins the next piece. A copy is always
// the same, so it may be written twice. A record that the head holds already is not added again, so
// an append whose answer was lost is simply repeated.
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
  // All live entry hosts of a zone act on it.
  kInForce,
  // Entry hosts refused it; the last good one stays.
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
  // The operator, or the entry host that noted it.
  std::string mWho;
  // Where it holds: a zone, empty for the whole system.
  std::string mWhere;
  WallTime mAt;
  // What more there is to say: a reason, a version's figures.
  std::string mText;

  friend bool operator==(const AuditRecord&, const AuditRecord&) = default;
};

// One piece of a trail.
struct AuditPiece
{
  // Rises with each piece of the service.
  std::uint64_t mNumber = 0;
  std::vector<AuditRecord> mRecords;

  friend bool operator==(const AuditPiece&, const AuditPiece&) = default;
};

struct AuditOptions
{
  std::size_t mMaxRecords = 64;
  // Pieces of a service before the oldest one's place is used again.
  std::uint64_t mRingPieces = 1'024;
  // Longer texts are cut.
  std::size_t mMaxTextBytes = 512;
};

// What an append has to write.
struct TrailPlan
{
  // The full piece to copy first, if there is one.
  std::optional<AuditPiece> mSealed;
  AuditPiece mHead;
};

// Returns whether two records tell of the same fact.
bool
IsSameFact(const AuditRecord& aLeft, const AuditRecord& aRight);

bool
Holds(const AuditPiece& aPiece, const AuditRecord& aRecord);

// Plans to add records to a trail. Returns nothing if the head holds them all. Adds as many as fit
// in one piece; the others need another append.
std::optional<TrailPlan>
PlanAppend(const AuditOptions& aOptions,
           const AuditPiece& aHead,
           const std::vector<AuditRecord>& aRecords);

// Returns the store's key of a service's head piece.
std::string
HeadKeyOf(const ServiceId& aService);

// Returns the store's key of a full piece.
std::string
SealedKeyOf(const AuditOptions& aOptions, const ServiceId& aService, std::uint64_t aNumber);

} // namespace trefoil
