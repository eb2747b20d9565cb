#include "trefoil/steering/version_moves.h"

#include "trefoil/base/store_revision.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const ServiceId kService{ "reviews" };
const VersionId kOld{ "v1" };
const VersionId kNew{ "v2" };
const Instant kNow{ std::chrono::hours{ 1 } };

SCENARIO("an operator orders a move to another version")
{
  VersionMoves moves;
  const VersionOrder order{ .mService = kService,
                            .mTarget = kNew,
                            .mTimeLimit = Milliseconds{ 12'000 } };
  std::map<VersionId, VersionOutcomes> outcomes{ { kOld, { 1'000, 5, 50'000 } } };
  REQUIRE(OnVersionOrder(moves, order, 40, OrderSource::kChange, outcomes, kNow));
  CHECK_FALSE(OnVersionOrder(moves, order, 40, OrderSource::kChange, outcomes, kNow));
  VersionMove& move = moves.mMoves.at(kService);
  CHECK(SteeringOf(moves).at(kService).mTargetShare < 0.1);
  WHEN("the answers of the new version are as good as those of the old one")
  {
    outcomes[kOld] = { 1'600, 8, 80'000 };
    outcomes[kNew] = { 30, 0, 1'600 };
    CHECK_FALSE(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 3 }));
    THEN("the move completes before its time is over")
    {
      CHECK(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 10 }));
      CHECK(move.mState == VersionMoveState::kCompleted);
      CHECK(SteeringOf(moves).at(kService).mTargetShare == 1.0);
    }
  }
  WHEN("requests to the new version fail")
  {
    outcomes[kNew] = { 6, 4, 300 };
    THEN("the move is rolled back immediately")
    {
      CHECK(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 1 }));
      CHECK(move.mState == VersionMoveState::kRolledBack);
      CHECK(SteeringOf(moves).at(kService).mTargetShare == 0);
    }
  }
  WHEN("the answers of the new version are slow")
  {
    outcomes[kOld] = { 1'600, 8, 80'000 };
    outcomes[kNew] = { 30, 0, 6'000 };
    THEN("the move is rolled back")
    {
      CHECK(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 2 }));
      CHECK(move.mState == VersionMoveState::kRolledBack);
    }
  }
  // Guards against a version that is kept although it answers several times slower (EXPOSURE): the
  // mean over all requests hid it, since the long ones had not been answered yet.
  WHEN("the new version is slow, and most of its answers so far are to short requests")
  {
    outcomes[kOld] = { 1'805, 5, 1'075'000 };
    outcomes[kOld].mRoutes = { { "chat", { 297, 488'000 } },
                               { "digest", { 204, 488'000 } },
                               { "lookup", { 304, 49'000 } } };
    outcomes[kNew] = { 28, 0, 57'600 };
    outcomes[kNew].mRoutes = { { "chat", { 5, 18'000 } },
                               { "digest", { 4, 26'500 } },
                               { "lookup", { 19, 13'100 } } };
    THEN("the move is rolled back")
    {
      CHECK(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 10 }));
      CHECK(move.mState == VersionMoveState::kRolledBack);
    }
  }
  WHEN("the new version is slow for one route only")
  {
    outcomes[kOld].mRoutes = { { "chat", { 600, 900'000 } }, { "lookup", { 300, 30'000 } } };
    outcomes[kNew] = { 40, 0, 49'000 };
    outcomes[kNew].mRoutes = { { "chat", { 30, 45'000 } }, { "lookup", { 10, 4'000 } } };
    THEN("the move is rolled back")
    {
      CHECK(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 5 }));
      CHECK(move.mState == VersionMoveState::kRolledBack);
    }
  }
  WHEN("the new version is so slow for long requests that most of their clients leave")
  {
    outcomes[kOld].mRoutes = { { "chat", { 600, 900'000 } }, { "lookup", { 300, 30'000 } } };
    outcomes[kNew] = { 32, 0, 18'000 };
    outcomes[kNew].mRoutes = { { "chat", { 2, 80'000 } }, { "lookup", { 30, 3'000 } } };
    THEN("the move is rolled back")
    {
      CHECK(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 5 }));
      CHECK(move.mState == VersionMoveState::kRolledBack);
    }
  }
  WHEN("the new version is as fast, and most of its answers are to long requests")
  {
    outcomes[kOld] = { 1'900, 5, 980'000 };
    outcomes[kOld].mRoutes = { { "chat", { 600, 900'000 } }, { "lookup", { 300, 30'000 } } };
    outcomes[kNew] = { 40, 0, 61'000 };
    outcomes[kNew].mRoutes = { { "chat", { 38, 60'800 } }, { "lookup", { 2, 200 } } };
    THEN("the move completes")
    {
      CHECK_FALSE(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 5 }));
      CHECK(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 10 }));
      CHECK(move.mState == VersionMoveState::kCompleted);
    }
  }
  WHEN("the new version gets too few requests")
  {
    outcomes[kNew] = { 3, 0, 150 };
    THEN("the move is rolled back because too few answers were counted")
    {
      CHECK(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 10 }));
      CHECK(move.mState == VersionMoveState::kRolledBack);
    }
  }
}

// Guards against a move that starts again when its order is written again into a store that was
// restored from a copy (EXPOSURE).
SCENARIO("the store is restored from a copy while a version moves")
{
  VersionMoves moves;
  const VersionOrder before{ .mService = kService, .mTarget = kOld };
  const VersionOrder order{ .mService = kService, .mTarget = kNew };
  const auto apply =
    [&moves](const VersionOrder& aOrder, std::int64_t aRevision, OrderSource aFrom) {
      return OnVersionOrder(moves, aOrder, aRevision, aFrom, {}, kNow);
    };
  REQUIRE(apply(before, MakeStoreRevision(1, 80), OrderSource::kChange));
  REQUIRE(apply(order, MakeStoreRevision(1, 110), OrderSource::kChange));
  VersionMove& move = moves.mMoves.at(kService);
  move.mState = VersionMoveState::kRolledBack;
  move.mWrittenState = VersionMoveState::kRolledBack;
  OnStoreRestored(moves);
  THEN("the state of the move is written again")
  {
    CHECK_FALSE(move.mWrittenState.has_value());
  }
  THEN("the order that the copy has instead is not taken for a new one")
  {
    CHECK_FALSE(apply(before, MakeStoreRevision(2, 80), OrderSource::kList));
    CHECK(move.mOrder == order);
  }
  THEN("the same order written again continues the move")
  {
    CHECK_FALSE(apply(order, MakeStoreRevision(2, 105), OrderSource::kChange));
    CHECK(move.mState == VersionMoveState::kRolledBack);
  }
  THEN("another order is a new one, also under a number that was given out before")
  {
    const VersionOrder next{ .mService = kService, .mTarget = VersionId{ "v9" } };
    CHECK(apply(next, MakeStoreRevision(2, 107), OrderSource::kChange));
    CHECK(moves.mMoves.at(kService).mState == VersionMoveState::kRunning);
  }
}

} // namespace
} // namespace trefoil
