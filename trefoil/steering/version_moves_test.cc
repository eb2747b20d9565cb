#include "trefoil/steering/version_moves.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const ServiceId kService{ "reviews" };
const VersionId kOld{ "v1" };
const VersionId kNew{ "v2" };
const Instant kNow{ std::chrono::hours{ 1 } };

SCENARIO("operators order a version")
{
  VersionMoves moves;
  const VersionOrder order{ .mService = kService,
                            .mTarget = kNew,
                            .mWithin = Milliseconds{ 12'000 } };
  std::map<VersionId, VersionOutcomes> outcomes{ { kOld, { 1'000, 5, 50'000 } } };
  REQUIRE(OnOrder(moves, order, 40, outcomes, kNow));
  CHECK_FALSE(OnOrder(moves, order, 40, outcomes, kNow));
  VersionMove& move = moves.mMoves.at(kService);
  CHECK(SteeringOf(moves).at(kService).mTargetShare < 0.1);
  WHEN("its answers are as good as before")
  {
    outcomes[kOld] = { 1'600, 8, 80'000 };
    outcomes[kNew] = { 30, 0, 1'600 };
    CHECK_FALSE(JudgeMove(move, outcomes, kNow + std::chrono::seconds{ 3 }));
    THEN("it is completed before the time is over")
    {
      CHECK(JudgeMove(move, outcomes, kNow + std::chrono::seconds{ 10 }));
      CHECK(move.mState == VersionMoveState::kCompleted);
      CHECK(SteeringOf(moves).at(kService).mTargetShare == 1.0);
    }
  }
  WHEN("its answers fail")
  {
    outcomes[kNew] = { 6, 4, 300 };
    THEN("it is rolled back at once")
    {
      CHECK(JudgeMove(move, outcomes, kNow + std::chrono::seconds{ 1 }));
      CHECK(move.mState == VersionMoveState::kRolledBack);
      CHECK(SteeringOf(moves).at(kService).mTargetShare == 0);
    }
  }
  WHEN("its answers are slow")
  {
    outcomes[kOld] = { 1'600, 8, 80'000 };
    outcomes[kNew] = { 30, 0, 6'000 };
    THEN("it is rolled back")
    {
      CHECK(JudgeMove(move, outcomes, kNow + std::chrono::seconds{ 2 }));
      CHECK(move.mState == VersionMoveState::kRolledBack);
    }
  }
  WHEN("it hardly gets any requests")
  {
    outcomes[kNew] = { 3, 0, 150 };
    THEN("it is rolled back for want of proof")
    {
      CHECK(JudgeMove(move, outcomes, kNow + std::chrono::seconds{ 10 }));
      CHECK(move.mState == VersionMoveState::kRolledBack);
    }
  }
}

} // namespace
} // namespace trefoil
