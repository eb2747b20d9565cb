// Simulates a version move: entry hosts, backend servers, faulty versions and waves of reclaims on
// a simulated clock. The decisions are made by the code of trefoil/rollout.
//
//   MoveResult result =
//     SimulateMove({ .mSeed = 7, .mBehaviour = VersionBehaviour::kErrorsImmediately });
//
// Deterministic for a seed. Several threads may run simulations at the same time.
#pragma once

#include "trefoil/base/name_table.h"
#include "trefoil/rollout/move_record.h"

#include <cstdint>

namespace trefoil::bench {

enum class VersionBehaviour
{
  kGood,
  // Fails requests from the start of the move.
  kErrorsImmediately,
  // Fails requests from a random time between 10% and 50% of the move.
  kErrorsLate,
  // Fails requests while its share of the traffic is at least 30%.
  kErrorsUnderLoad,
  // Fails requests on one of three routes.
  kErrorsOnRoute,
  // Takes longer until the first token.
  kSlowFirstToken,
  // Takes longer between tokens.
  kSlowTokens,
  // Its servers crash on requests, restart and crash again.
  kCrashes,
};

inline constexpr NameTable<VersionBehaviour, 8> kVersionBehaviourNames{ {
  { VersionBehaviour::kGood, "good" },
  { VersionBehaviour::kErrorsImmediately, "errors_at_once" },
  { VersionBehaviour::kErrorsLate, "errors_late" },
  { VersionBehaviour::kErrorsUnderLoad, "errors_under_load" },
  { VersionBehaviour::kErrorsOnRoute, "errors_on_route" },
  { VersionBehaviour::kSlowFirstToken, "slow_first_token" },
  { VersionBehaviour::kSlowTokens, "slow_tokens" },
  { VersionBehaviour::kCrashes, "crashes" },
} };

struct MoveExperiment
{
  std::uint64_t mSeed = 1;
  VersionBehaviour mBehaviour = VersionBehaviour::kGood;
  // Percentage of requests on which a faulty version fails or crashes.
  int mFailedPercent = 20;
  // Percentage by which a slow version is slower.
  int mSlowdownPercent = 50;
  int mRequestsPerSecond = 100;
  std::int64_t mMoveDurationSeconds = 900;
  // Four waves of reclaims, each of one zone's servers or of about half of all servers.
  bool mReclaimWaves = false;
  // Latencies of one zone are three times as long for 2 minutes.
  bool mSlowZone = false;
  // Some requests crash each server that runs them; their callers send them three times.
  bool mCrashingRequests = false;
};

struct MoveResult
{
  MovePhase mPhase = MovePhase::kSteady;
  MoveReason mReason = MoveReason::kNone;
  std::int64_t mDurationSeconds = 0;
  std::uint64_t mRequests = 0;
  // Number of attempts on the new version after its fault first affected a request, and number of
  // attempts that the fault affected.
  std::uint64_t mAttemptsAfterFault = 0;
  std::uint64_t mAffectedAttempts = 0;
  // Number of times that a host stopped the move because of its own observations.
  int mLocalStops = 0;
};

// Runs a move until it is done or withdrawn, or until 10 s after its planned end.
MoveResult
SimulateMove(const MoveExperiment& aExperiment);

} // namespace trefoil::bench
