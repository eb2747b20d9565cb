// Moves the traffic of a service to another version of its servers, or rolls the move back.
//
//   OnVersionOrder(moves, order, revision, outcomes, now);
//   if (EvaluateMove(moves.mMoves[service], outcomes, now)) { ... }
//
// A new version first gets a small share of the requests. The move is rolled back as soon as
// its answers are clearly worse than those of the other versions. Shortly before the order's
// time is over, it completes if the new version has given enough answers, and is rolled back
// otherwise. Plain data and pure functions.
#pragma once

#include "trefoil/forward/traffic_view.h"
#include "trefoil/steering/control_codec.h"

#include <map>
#include <optional>

namespace trefoil {

struct VersionMove
{
  VersionOrder mOrder;
  std::int64_t mRevision = 0;
  Instant mSeenAt;
  VersionMoveState mState = VersionMoveState::kRunning;
  // The state last written to the store.
  std::optional<VersionMoveState> mWrittenState;
  // The earliest time of the next write; a write in progress has timed out by then.
  Instant mNextWriteAt;
  // The outcomes of each version before the order. Only later outcomes count.
  std::map<VersionId, VersionOutcomes> mBaseline;
};

struct VersionMoves
{
  std::map<ServiceId, VersionMove> mMoves;
};

// How an order became known.
enum class OrderSource
{
  // From a list of all orders.
  kList,
  // As a change.
  kChange,
};

inline constexpr NameTable<OrderSource, 2> kOrderSourceNames{ {
  { OrderSource::kList, "list" },
  { OrderSource::kChange, "change" },
} };

// Records an order that was stored at `aRevision` (base/store_revision.h), with the outcomes
// counted so far. Returns false if this order or a later one of the service is already recorded.
// After the store was restored from a copy, its list can have an order that a known one has
// replaced, and the known one is written again.
bool
OnVersionOrder(VersionMoves& aMoves,
               const VersionOrder& aOrder,
               std::int64_t aRevision,
               OrderSource aSource,
               const std::map<VersionId, VersionOutcomes>& aOutcomes,
               Instant aNow);

// Must be called when the store was restored from a copy: the states of the moves are written
// again.
void
OnStoreRestored(VersionMoves& aMoves);

// Decides on a running move by the outcomes since its order. `aOutcomes` are totals. Returns
// whether the state of the move changed.
bool
EvaluateMove(VersionMove& aMove,
             const std::map<VersionId, VersionOutcomes>& aOutcomes,
             Instant aNow);

// Returns the target version and its traffic share for each service that has a move.
std::map<ServiceId, VersionSteering>
SteeringOf(const VersionMoves& aMoves);

} // namespace trefoil
