// Moves the traffic of a service to the servers of another version, or takes it back.
//
//   OnOrder(moves, order, revision, now);
//   std::optional<MoveVerdict> verdict = Judge(moves, service, outcomes, now);
//
// A new version gets a small share of the requests first. It is completed once enough answers were
// good, and rolled back as soon as its answers are clearly worse than those of the version before,
// or when the time is nearly over without proof. Pure functions.
#pragma once

#include "trefoil/forward/traffic_view.h"
#include "trefoil/steering/platform_codec.h"

#include <map>
#include <optional>

namespace trefoil {

struct VersionMove
{
  VersionOrder mOrder;
  std::int64_t mRevision = 0;
  Instant mSeenAt;
  VersionMoveState mState = VersionMoveState::kRunning;
  // The state that stands in the store.
  std::optional<VersionMoveState> mWritten;
  // A write is under way until then.
  Instant mNextWriteAt;
  // What had been counted of the versions when the order was seen.
  std::map<VersionId, VersionOutcomes> mBefore;
};

struct VersionMoves
{
  std::map<ServiceId, VersionMove> mMoves;
};

// Takes up an order. Returns whether it is a new one.
bool
OnOrder(VersionMoves& aMoves,
        const VersionOrder& aOrder,
        std::int64_t aRevision,
        const std::map<VersionId, VersionOutcomes>& aOutcomes,
        Instant aNow);

// Decides on a running move by the outcomes since its order. Returns whether its state changed.
bool
JudgeMove(VersionMove& aMove, const std::map<VersionId, VersionOutcomes>& aOutcomes, Instant aNow);

// Returns how the traffic of the services is steered.
std::map<ServiceId, VersionSteering>
SteeringOf(const VersionMoves& aMoves);

} // namespace trefoil
