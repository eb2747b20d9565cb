// The decisions of a version move, as pure functions from one move record to the next.
//
//   if (const auto next = ApplyDocument(record, document, revision, wallNow)) { ... write it ... }
//   if (const auto next = AdvanceMove(record, status)) { ... write it ... }
//
// A version that is not yet settled starts with a small share that grows step by step. A move
// is finished or withdrawn before its end time.
#pragma once

#include "trefoil/rollout/assessment.h"
#include "trefoil/rollout/move_record.h"
#include "trefoil/service/service_document.h"

#include <array>
#include <cstdint>
#include <optional>

namespace trefoil {

// The share of the new version in each step, in permille of its target share.
inline constexpr std::array<int, 5> kStepPermille{ 10, 50, 200, 500, 950 };
// The number of requests of the new version that each step requires.
inline constexpr std::array<std::uint64_t, 5> kMinStepRequests{ 50, 100, 200, 300, 400 };
// With low traffic, a step also completes after twice its duration with this many requests, if
// none of them failed.
inline constexpr std::uint64_t kMinLowTrafficRequests = 20;
// A move is withdrawn after this many stops by entry hosts.
inline constexpr int kMaxLocalStops = 3;
// The duration of a move whose document has no end time.
inline constexpr Milliseconds kDefaultMoveDuration{ 3'600'000 };
// How long before the end of a move it is withdrawn, so that the record is written in time.
inline constexpr Milliseconds kDecisionMargin{ 3'000 };

// Returns a digest of a version's entry in the document.
std::uint64_t
SpecDigest(const VersionSpec& aSpec);

// Returns the record that applies the document: starts a move, withdraws one that the document
// no longer contains, or changes the shares of settled versions. Returns std::nullopt if the
// record already matches or the document is older than the record's.
std::optional<MoveRecord>
ApplyDocument(const MoveRecord& aRecord,
              const ServiceDocument& aDocument,
              std::uint64_t aDocumentRevision,
              WallTime aNow);

// The holder's input to a decision about the current step.
struct MoveStepStatus
{
  Assessment mAssessment;
  // When the step began, by this host's monotonic clock.
  Instant mStepStartedAt;
  // Whether an entry host has stopped the version during the step.
  bool mStopped = false;
  Instant mNow;
  WallTime mWallNow;
};

// Returns the earliest time at which the current step may end.
Instant
EarliestStepEnd(const MoveRecord& aRecord, Instant aStepStartedAt);

// Returns the record after the next decision: a larger share, a restart at the first step,
// finished or withdrawn. Returns std::nullopt while the step continues.
std::optional<MoveRecord>
AdvanceMove(const MoveRecord& aRecord, const MoveStepStatus& aStatus);

} // namespace trefoil
