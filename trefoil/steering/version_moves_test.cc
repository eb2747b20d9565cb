#include "trefoil/steering/version_moves.h"

#include "trefoil/base/store_revision.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>
#include <vector>

namespace trefoil {
namespace {

const ServiceId kService{ "reviews" };
const VersionId kOld{ "v1" };
const VersionId kNew{ "v2" };
const Instant kNow{ std::chrono::hours{ 1 } };
const WallTime kWall{ std::chrono::hours{ 480'000 } };

ClockReading
ClockAt(Instant aNow)
{
  return { .mNow = aNow,
           .mWallNow = kWall + std::chrono::duration_cast<WallTime::duration>(aNow - kNow) };
}

double
ShareOf(const VersionMoves& aMoves, Instant aNow = kNow)
{
  return SteeringOf(aMoves, aNow).at(kService).mTargetShare;
}

// Evaluates a move at the end of its time, and records what is decided.
void
Complete(VersionMove& aMove, const std::map<VersionId, VersionOutcomes>& aOutcomes, Instant aNow)
{
  EvaluateMove(aMove, aOutcomes, aNow);
  aMove.mRecordKnown = true;
  const auto call = NextMoveCall(aMove, true, ClockAt(aNow));
  REQUIRE(call.has_value());
  OnMoveStageWritten(aMove, std::get<WriteMoveStage>(*call).mRecord, 50, aNow);
}

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
  CHECK(ShareOf(moves) < 0.1);
  WHEN("the answers of the new version are as good as those of the old one")
  {
    outcomes[kOld] = { 1'600, 8, 80'000 };
    outcomes[kNew] = { 30, 0, 1'600 };
    CHECK_FALSE(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 3 }));
    THEN("the move completes before its time is over")
    {
      CHECK(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 10 }));
      CHECK(move.mStage == MoveStage::kSwitching);
      CHECK(ShareOf(moves) == 1.0);
      Complete(move, outcomes, kNow + std::chrono::seconds{ 11 });
      CHECK(move.mStage == MoveStage::kCompleted);
      CHECK(ShareOf(moves) == 1.0);
    }
  }
  WHEN("requests to the new version fail")
  {
    outcomes[kNew] = { 6, 4, 300 };
    THEN("the move is rolled back immediately")
    {
      CHECK(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 1 }));
      CHECK(move.mStage == MoveStage::kRolledBack);
      CHECK(ShareOf(moves) == 0);
    }
  }
  WHEN("the answers of the new version are slow")
  {
    outcomes[kOld] = { 1'600, 8, 80'000 };
    outcomes[kNew] = { 30, 0, 6'000 };
    THEN("the move is rolled back")
    {
      CHECK(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 2 }));
      CHECK(move.mStage == MoveStage::kRolledBack);
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
      CHECK(move.mStage == MoveStage::kRolledBack);
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
      CHECK(move.mStage == MoveStage::kRolledBack);
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
      CHECK(move.mStage == MoveStage::kRolledBack);
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
      Complete(move, outcomes, kNow + std::chrono::seconds{ 11 });
      CHECK(move.mStage == MoveStage::kCompleted);
    }
  }
  WHEN("the new version gets too few requests")
  {
    outcomes[kNew] = { 3, 0, 150 };
    THEN("the move is rolled back because too few answers were counted")
    {
      CHECK(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 11 }));
      CHECK(move.mStage == MoveStage::kRolledBack);
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
  move.mStage = MoveStage::kRolledBack;
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
    CHECK(move.mStage == MoveStage::kRolledBack);
  }
  THEN("another order is a new one, also under a number that was given out before")
  {
    const VersionOrder next{ .mService = kService, .mTarget = VersionId{ "v9" } };
    CHECK(apply(next, MakeStoreRevision(2, 107), OrderSource::kChange));
    CHECK(moves.mMoves.at(kService).mStage == MoveStage::kTrial);
  }
}

SCENARIO("the new version fails once it gets all requests")
{
  VersionMoves moves;
  const VersionOrder order{ .mService = kService,
                            .mTarget = kNew,
                            .mTimeLimit = Milliseconds{ 20'000 } };
  REQUIRE(OnVersionOrder(moves, order, 40, OrderSource::kChange, {}, kNow));
  VersionMove& move = moves.mMoves.at(kService);
  std::map<VersionId, VersionOutcomes> outcomes{ { kOld, { 1'600, 8, 80'000 } },
                                                 { kNew, { 60, 0, 3'000 } } };
  REQUIRE(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 16 }));
  REQUIRE(ShareOf(moves) == 1.0);
  outcomes[kNew] = { 120, 60, 6'000 };
  THEN("the move is rolled back, and all requests go to the other versions again")
  {
    CHECK(EvaluateMove(move, outcomes, kNow + std::chrono::seconds{ 17 }));
    CHECK(move.mStage == MoveStage::kRolledBack);
    CHECK(ShareOf(moves) == 0);
  }
}

// Guards against hosts that go on sending requests to servers that were stopped when a move
// completed, since only the host that decided knew it (RECOVER).
SCENARIO("a host learns what another one has decided")
{
  const VersionOrder order{ .mService = kService,
                            .mTarget = kNew,
                            .mTimeLimit = Milliseconds{ 12'000 } };
  VersionMoves moves;
  REQUIRE(OnVersionOrder(moves, order, 40, OrderSource::kList, {}, kNow));
  VersionMove& move = moves.mMoves.at(kService);
  const auto decision = [&order](MoveStage aStage, std::int64_t aRevision = 40) {
    return MoveDecision{ .mOrder = order, .mRevision = aRevision, .mStage = aStage };
  };
  WHEN("it has not read the record yet")
  {
    THEN("the new version gets no request, as it may have been rolled back")
    {
      CHECK(ShareOf(moves) == 0);
      const auto call = NextMoveCall(move, false, ClockAt(kNow));
      REQUIRE(call.has_value());
      CHECK(std::holds_alternative<ReadMoveStage>(*call));
    }
  }
  WHEN("the record says that the move has completed")
  {
    const MoveStageRecord record{ .mDecision = decision(MoveStage::kCompleted),
                                  .mStartedAt = kWall };
    CHECK(OnMoveStageRead(move, { RenderMoveStageRecord(record), 60 }, ClockAt(kNow)));
    THEN("all requests go to the new version")
    {
      CHECK(ShareOf(moves) == 1.0);
    }
  }
  WHEN("the record tells that the move began earlier")
  {
    const MoveStageRecord record{ .mDecision = decision(MoveStage::kTrial),
                                  .mStartedAt = kWall - std::chrono::seconds{ 7 } };
    CHECK_FALSE(OnMoveStageRead(move, { RenderMoveStageRecord(record), 60 }, ClockAt(kNow)));
    THEN("it is decided as early as on a host that has not started anew")
    {
      CHECK(move.mSeenAt == kNow - std::chrono::seconds{ 7 });
      CHECK(EvaluateMove(move, { { kNew, { 30, 0, 900 } } }, kNow + std::chrono::seconds{ 3 }));
    }
  }
  WHEN("the record is of another order")
  {
    const MoveStageRecord record{ .mDecision = decision(MoveStage::kRolledBack, 30),
                                  .mStartedAt = kWall };
    THEN("it says nothing of this one")
    {
      CHECK_FALSE(OnMoveStageRead(move, { RenderMoveStageRecord(record), 60 }, ClockAt(kNow)));
      CHECK(ShareOf(moves) > 0);
    }
  }
  WHEN("the text in the store is no record")
  {
    THEN("it is taken for a missing one and replaced")
    {
      CHECK_FALSE(OnMoveStageRead(move, { "{}", 60 }, ClockAt(kNow)));
      const auto call = NextMoveCall(move, true, ClockAt(kNow));
      REQUIRE(call.has_value());
      CHECK(std::get<WriteMoveStage>(*call).mExpected == 60);
    }
  }
  WHEN("another host tells a decision, and an earlier one arrives late")
  {
    CHECK(ApplyDecision(moves, decision(MoveStage::kCompleted), kNow));
    CHECK_FALSE(ApplyDecision(moves, decision(MoveStage::kSwitching), kNow));
    CHECK_FALSE(ApplyDecision(moves, decision(MoveStage::kRolledBack), kNow));
    THEN("the decided move does not go back")
    {
      CHECK(move.mStage == MoveStage::kCompleted);
      CHECK(DecisionsToTell(moves).size() == 1);
    }
  }
  WHEN("a decision of an earlier order with the same target arrives")
  {
    THEN("it is ignored")
    {
      CHECK_FALSE(ApplyDecision(moves, decision(MoveStage::kRolledBack, 20), kNow));
    }
  }
  WHEN("nobody has told a decision when the time of the order is over")
  {
    move.mRecordKnown = true;
    THEN("it reads the record, more and more rarely")
    {
      CHECK_FALSE(
        NextMoveCall(move, false, ClockAt(kNow + std::chrono::seconds{ 11 })).has_value());
      CHECK(NextMoveCall(move, false, ClockAt(kNow + std::chrono::seconds{ 13 })).has_value());
      CHECK_FALSE(
        NextMoveCall(move, false, ClockAt(kNow + std::chrono::seconds{ 17 })).has_value());
      CHECK(NextMoveCall(move, false, ClockAt(kNow + std::chrono::seconds{ 60 })).has_value());
      CHECK_FALSE(
        NextMoveCall(move, false, ClockAt(kNow + std::chrono::seconds{ 100 })).has_value());
    }
  }
}

SCENARIO("a service has servers of the target version only")
{
  VersionMoves moves;
  REQUIRE(OnVersionOrder(
    moves, { .mService = kService, .mTarget = kNew }, 40, OrderSource::kList, {}, kNow));
  ServerRegistry servers;
  RegisterServer(servers,
                 { .mId = BackendServerId{ "e1" }, .mService = kService, .mVersion = kNew });
  const auto later = [](int aSeconds) { return kNow + std::chrono::seconds{ aSeconds }; };
  ObserveVersions(moves, servers, kNow);
  WHEN("servers of another version register again within seconds, as after a crash")
  {
    RegisterServer(servers,
                   { .mId = BackendServerId{ "e2" }, .mService = kService, .mVersion = kOld });
    ObserveVersions(moves, servers, later(4));
    THEN("the version under trial gets no more than its share")
    {
      CHECK(ShareOf(moves, later(4)) < 0.1);
      CHECK(ShareOf(moves, later(9)) < 0.1);
    }
  }
  WHEN("no other server registers")
  {
    ObserveVersions(moves, servers, later(4));
    THEN("the target serves them")
    {
      CHECK(ShareOf(moves, later(4)) < 0.1);
      CHECK(ShareOf(moves, later(6)) == 1.0);
    }
    THEN("but not after it was rolled back")
    {
      moves.mMoves.at(kService).mStage = MoveStage::kRolledBack;
      CHECK(ShareOf(moves, later(6)) == 0);
    }
  }
}

// Guards against orders that keep the servers which the platform is about to stop, and end the
// others.
SCENARIO("a move has completed")
{
  VersionMoves moves;
  REQUIRE(OnVersionOrder(
    moves, { .mService = kService, .mTarget = kNew }, 40, OrderSource::kList, {}, kNow));
  VersionMove& move = moves.mMoves.at(kService);
  ServerRegistry servers;
  RegisterServer(servers,
                 { .mId = BackendServerId{ "e1" }, .mService = kService, .mVersion = kOld });
  ObserveVersions(moves, servers, kNow);
  CHECK(NeedsAllVersions(move));
  move.mStage = MoveStage::kCompleted;
  THEN("all servers are needed until the platform knows it and has stopped the replaced ones")
  {
    CHECK(NeedsAllVersions(move));
    OnMoveStatusWritten(move, VersionMoveState::kCompleted, 70);
    CHECK(NeedsAllVersions(move));
    DeregisterServer(servers, BackendServerId{ "e1" }, 71);
    ObserveVersions(moves, servers, kNow);
    CHECK_FALSE(NeedsAllVersions(move));
  }
}

// A key of a store that executes writes only at the revision that they expect.
struct TestKey
{
  std::string mText;
  std::int64_t mRevision = 0;
};

// Guards against a state that is written late and stays, so that a completed move looks like a
// running one.
SCENARIO("the state of a move is written late")
{
  VersionMoves moves;
  const VersionOrder order{ .mService = kService, .mTarget = kNew };
  REQUIRE(OnVersionOrder(moves, order, 40, OrderSource::kChange, {}, kNow));
  VersionMove& move = moves.mMoves.at(kService);
  move.mRecordKnown = true;
  move.mRecordedStage = MoveStage::kTrial;
  const auto first = NextMoveCall(move, true, ClockAt(kNow));
  REQUIRE(first.has_value());
  REQUIRE(std::get<WriteMoveStatus>(*first).mState == VersionMoveState::kRunning);
  OnMoveCallFailed(move, true, kNow);
  move.mRecordKnown = true;
  move.mStage = MoveStage::kCompleted;
  move.mRecordedStage = MoveStage::kCompleted;
  const Instant later = kNow + std::chrono::seconds{ 2 };
  const auto second = NextMoveCall(move, true, ClockAt(later));
  REQUIRE(second.has_value());
  CHECK(std::get<WriteMoveStatus>(*second).mState == VersionMoveState::kCompleted);
  WHEN("the later state is written first")
  {
    THEN("the earlier write no longer meets its condition")
    {
      CHECK(std::get<WriteMoveStatus>(*first).mExpected ==
            std::get<WriteMoveStatus>(*second).mExpected);
    }
  }
  WHEN("the earlier state is written first")
  {
    OnMoveStatusConflict(move, VersionMoveState::kCompleted, "completed", { "running", 70 });
    THEN("the later state replaces it, after another look at the record")
    {
      CHECK_FALSE(move.mRecordKnown);
      move.mRecordKnown = true;
      const auto third = NextMoveCall(move, true, ClockAt(later));
      REQUIRE(third.has_value());
      CHECK(std::get<WriteMoveStatus>(*third).mExpected == 70);
      OnMoveStatusWritten(move, VersionMoveState::kCompleted, 71);
      CHECK_FALSE(NextMoveCall(move, true, ClockAt(later)).has_value());
    }
  }
  WHEN("the same state was written although its write got no answer")
  {
    OnMoveStatusConflict(move, VersionMoveState::kCompleted, "completed", { "completed", 70 });
    THEN("it is not written again")
    {
      CHECK_FALSE(NextMoveCall(move, true, ClockAt(later)).has_value());
    }
  }
}

SCENARIO("holders come and go, and writes are answered, lost or executed late")
{
  CHECK(rc::check("one decision is recorded, and every host ends with it", [] {
    constexpr int kHosts = 3;
    const VersionOrder order{ .mService = kService,
                              .mTarget = kNew,
                              .mTimeLimit = Milliseconds{ 10'000 } };
    const auto start = [&order](Instant aNow) {
      VersionMoves moves;
      OnVersionOrder(moves, order, 40, OrderSource::kList, {}, aNow);
      return moves;
    };
    std::vector<VersionMoves> hosts(kHosts, start(kNow));
    TestKey record;
    std::int64_t revision = 100;
    std::vector<WriteMoveStage> late;
    std::set<MoveStage> recordedDecisions;
    const auto execute = [&](const WriteMoveStage& aWrite) {
      if (aWrite.mExpected != record.mRevision) {
        return false;
      }
      record = { RenderMoveStageRecord(aWrite.mRecord), ++revision };
      if (IsDecided(aWrite.mRecord.mDecision.mStage)) {
        recordedDecisions.insert(aWrite.mRecord.mDecision.mStage);
      }
      return true;
    };
    const auto perform = [&](VersionMoves& aMoves, bool aHolds, int aFate, Instant aNow) {
      VersionMove& move = aMoves.mMoves.at(kService);
      const auto call = NextMoveCall(move, aHolds, ClockAt(aNow));
      if (!call.has_value()) {
        return;
      }
      if (aFate == 0) {
        OnMoveCallFailed(move, true, aNow);
        return;
      }
      if (std::holds_alternative<ReadMoveStage>(*call)) {
        OnMoveStageRead(move, { record.mText, record.mRevision }, ClockAt(aNow));
      } else if (const auto* write = std::get_if<WriteMoveStage>(&*call)) {
        if (aFate == 1) {
          late.push_back(*write);
          OnMoveCallFailed(move, true, aNow);
        } else if (execute(*write)) {
          OnMoveStageWritten(move, write->mRecord, record.mRevision, aNow);
        } else {
          OnMoveStageRead(move, { record.mText, record.mRevision }, ClockAt(aNow));
        }
      } else {
        OnMoveStatusWritten(move, std::get<WriteMoveStatus>(*call).mState, ++revision);
      }
    };
    Instant now = kNow;
    for (int step = 0; step < 120; ++step) {
      now += Milliseconds{ 200 };
      const int host = *rc::gen::inRange(0, kHosts);
      VersionMoves& moves = hosts.at(host);
      const int event = *rc::gen::inRange(0, 12);
      if (event == 0) {
        moves = start(now);
      } else if (event == 1 && !late.empty()) {
        execute(late.back());
        late.pop_back();
      } else if (event == 2) {
        for (const MoveDecision& decision : DecisionsToTell(moves)) {
          ApplyDecision(hosts.at((host + 1) % kHosts), decision, now);
        }
      } else {
        const bool isBad = event == 3 && step > 60;
        VersionMove& move = moves.mMoves.at(kService);
        if (move.mRecordKnown) {
          EvaluateMove(move, { { kNew, { 60, isBad ? 60 : 0, 900 } } }, now);
        }
        perform(moves, true, *rc::gen::inRange(0, 6), now);
      }
    }
    RC_ASSERT(recordedDecisions.size() <= 1);
    late.clear();
    for (int step = 0; step < 20; ++step) {
      now += Milliseconds{ 2'000 };
      for (VersionMoves& moves : hosts) {
        VersionMove& move = moves.mMoves.at(kService);
        if (move.mRecordKnown) {
          EvaluateMove(move, { { kNew, { 60, 0, 900 } } }, now);
        }
        perform(moves, true, 5, now);
      }
    }
    RC_ASSERT(recordedDecisions.size() == 1);
    for (VersionMoves& moves : hosts) {
      RC_ASSERT(moves.mMoves.at(kService).mStage == *recordedDecisions.begin());
    }
  }));
}

} // namespace
} // namespace trefoil
