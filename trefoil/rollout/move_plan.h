// What the document asks of the versions, against what the store's record says.
//
//   if (const auto next = PlanMove(record, document, revision, wallNow)) { ... write it ... }
//   if (const auto next = DecideMove(record, view)) { ... write it ... }
//
// Pure functions from one record to the next one. A version that has not proved itself starts with
// a small share and rises step by step; a move ends by its time, done or withdrawn.
#pragma once

#include "trefoil/rollout/assessment.h"
#include "trefoil/rollout/move_record.h"
#include "trefoil/service/service_document.h"

#include <array>
#include <cstdint>
#include <optional>

namespace trefoil {

// The share of the target that each step gives the new version.
inline constexpr std::array<int, 5> kStepPermille{ 10, 50, 200, 500, 950 };
// Requests of the new version that each step needs.
inline constexpr std::array<std::uint64_t, 5> kStepRequests{ 50, 100, 200, 300, 400 };
// A step of a service with few requests goes on with so many, all good, after twice its time.
inline constexpr std::uint64_t kFewRequests = 20;
// Local stops after which a move is withdrawn.
inline constexpr int kMaxStops = 3;
// The time of a move whose document states none.
inline constexpr Milliseconds kDefaultMoveTime{ 3'600'000 };
// The last decision of a move leaves so much time to write it.
inline constexpr Milliseconds kDecisionMargin{ 3'000 };

// Returns a digest of what the document says of a version.
std::uint64_t
SpecDigest(const VersionSpec& aSpec);

// Returns the record that takes the document's wishes in: a move begins, is no longer wanted, or
// the shares of proved versions change. Returns nothing if there is nothing to change.
std::optional<MoveRecord>
PlanMove(const MoveRecord& aRecord,
         const ServiceDocument& aDocument,
         std::uint64_t aDocumentRevision,
         WallTime aNow);

// What the holder knows of the present step.
struct StepView
{
  Assessment mAssessment;
  // When the step began, by this host's clock.
  Instant mStepAt;
  // Whether an entry host has stopped the version since.
  bool mStopped = false;
  Instant mNow;
  WallTime mWallNow;
};

// Returns when the present step may end at the earliest.
Instant
StepEndsAt(const MoveRecord& aRecord, Instant aStepAt);

// Returns the record after the next step of a move: a larger share, a smaller one, done or
// withdrawn. Returns nothing while the step goes on.
std::optional<MoveRecord>
DecideMove(const MoveRecord& aRecord, const StepView& aView);

} // namespace trefoil
