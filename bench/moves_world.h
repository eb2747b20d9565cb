// A small world for experiments on version moves: hosts, versions, faults and waves of reclaims in
// simulated time, driven through the decision code of trefoil/rollout.
//
//   MoveResult result = SimulateMove({ .mSeed = 7, .mFault = VersionBehaviour::kErrorsAtOnce });
//
// Deterministic for a seed.
#pragma once

#include "trefoil/base/name_table.h"
#include "trefoil/rollout/move_record.h"

#include <cstdint>

namespace trefoil::bench {

enum class VersionBehaviour
{
  kGood,
  // Fails from its first request on.
  kErrorsAtOnce,
  // Fails from a time in the middle of the move on.
  kErrorsLate,
  // Fails while its servers carry much.
  kErrorsUnderLoad,
  // Fails on one of three routes.
  kErrorsOnRoute,
  // Slow to the first token.
  kSlowFirstToken,
  // Slow from token to token.
  kSlowTokens,
  // Its servers crash, restart and crash again.
  kCrashes,
};

inline constexpr NameTable<VersionBehaviour, 8> kVersionBehaviourNames{ {
  { VersionBehaviour::kGood, "good" },
  { VersionBehaviour::kErrorsAtOnce, "errors_at_once" },
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
  // Share of the requests that a bad version fails, in percent.
  int mErrorPercent = 20;
  // How much slower a slow version is, in percent.
  int mSlowPercent = 50;
  int mRequestsPerSecond = 100;
  std::int64_t mMoveSeconds = 900;
  // Waves of reclaims, each of a whole zone's servers, and a zone that is slow for a time.
  bool mReclaimWaves = false;
  bool mSlowZone = false;
  // Requests that crash each server that runs them, sent again by their callers.
  bool mCrashingRequests = false;
};

struct MoveResult
{
  MovePhase mPhase = MovePhase::kSteady;
  MoveReason mReason = MoveReason::kNone;
  std::int64_t mEndedAfterSeconds = 0;
  std::uint64_t mRequests = 0;
  // Requests sent to the version after its fault showed first, and how many of them it harmed.
  std::uint64_t mSentAfterFault = 0;
  std::uint64_t mHarmed = 0;
  // Local stops of hosts.
  int mStops = 0;
};

MoveResult
SimulateMove(const MoveExperiment& aExperiment);

} // namespace trefoil::bench
