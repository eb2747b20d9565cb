#include "trefoil/steering/usage_duty.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const UsageTimes kTimes{ .mWindow = Milliseconds{ 5'000 },
                         .mSettleTime = Milliseconds{ 2'000 },
                         .mLateAfter = Milliseconds{ 10'000 } };
constexpr Milliseconds kCallTimeout{ 1'500 };
const Instant kNow{ std::chrono::hours{ 1 } };
const ClientAccountId kAccount{ "club" };

WallTime
At(std::int64_t aMilliseconds)
{
  return FromUnixMilliseconds(aMilliseconds);
}

std::map<ClientAccountId, std::int64_t>
Counts(std::int64_t aWindow)
{
  return { { kAccount, aWindow * 10 } };
}

SCENARIO("a usage window is reported")
{
  UsageDuty duty;
  // Window 100 ends at 505,000 ms.
  const auto actionsAt = [&duty](std::int64_t aWall, Instant aNow) {
    return NextUsageActions(duty, kTimes, At(aWall), aNow, kCallTimeout, Counts);
  };
  const auto previousWindow = actionsAt(506'000, kNow);
  REQUIRE(previousWindow.size() == 1);
  CHECK(previousWindow[0].mReport.mWindow == 99);
  OnUsageRecorded(duty, 99, StoreOutcome::kDone, kNow);
  const auto sending = actionsAt(506'100, kNow);
  REQUIRE(sending.size() == 1);
  CHECK(sending[0].mPhase == UsagePhase::kRecorded);
  OnUsageSent(duty, 99, true, kNow);
  CHECK(actionsAt(506'200, kNow).empty());
  GIVEN("counts that are being written to the store")
  {
    REQUIRE(actionsAt(507'000, kNow).size() == 1);
    WHEN("another host has written its counts first")
    {
      OnUsageRecorded(duty, 100, StoreOutcome::kConflict, kNow);
      REQUIRE(actionsAt(507'100, kNow)[0].mPhase == UsagePhase::kUnsure);
      OnUsageRead(
        duty, 100, StoreOutcome::kDone, { .mWindow = 100, .mCounts = { { kAccount, 7 } } }, kNow);
      THEN("the stored counts are sent instead of this host's")
      {
        const auto actions = actionsAt(507'200, kNow);
        REQUIRE(actions.size() == 1);
        CHECK(actions[0].mPhase == UsagePhase::kRecorded);
        CHECK(actions[0].mReport.mCounts.at(kAccount) == 7);
      }
    }
    WHEN("the answer is lost and the counts were not written")
    {
      OnUsageRecorded(duty, 100, StoreOutcome::kUnknown, kNow);
      REQUIRE(actionsAt(507'100, kNow)[0].mPhase == UsagePhase::kUnsure);
      OnUsageRead(duty, 100, StoreOutcome::kNotFound, {}, kNow);
      THEN("the same counts are written again")
      {
        const auto actions = actionsAt(507'200, kNow + std::chrono::seconds{ 1 });
        REQUIRE(actions.size() == 1);
        CHECK(actions[0].mPhase == UsagePhase::kCounted);
        CHECK(actions[0].mReport.mCounts.at(kAccount) == 1'000);
      }
    }
    WHEN("the report is not accepted")
    {
      OnUsageRecorded(duty, 100, StoreOutcome::kDone, kNow);
      actionsAt(507'100, kNow);
      OnUsageSent(duty, 100, false, kNow);
      THEN("it is sent again after a delay, and no longer once it is late")
      {
        CHECK(actionsAt(507'200, kNow).empty());
        CHECK(actionsAt(508'000, kNow + std::chrono::seconds{ 1 }).size() == 1);
        OnUsageSent(duty, 100, false, kNow);
        const auto late = actionsAt(516'000, kNow + std::chrono::seconds{ 9 });
        for (const UsageAction& action : late) {
          CHECK(action.mReport.mWindow != 100);
        }
      }
    }
  }
}

SCENARIO("a usage record is parsed after rendering")
{
  const UsageReport report{ .mWindow = 7, .mCounts = { { kAccount, 3 } } };
  const auto read = ParseUsage(RenderUsage(report));
  REQUIRE(read.ok());
  CHECK(read->mWindow == 7);
  CHECK(read->mCounts == report.mCounts);
  CHECK_FALSE(ParseUsage("{}").ok());
  CHECK_FALSE(ParseUsage(R"({"window":7})").ok());
}

// Guards against two reports of one window with different counts after the store has lost the
// counts that were sent (ONE).
SCENARIO("the store is restored from a copy after a usage window was reported")
{
  UsageDuty duty;
  const auto actionsAt = [&duty](std::int64_t aWall) {
    return NextUsageActions(duty, kTimes, At(aWall), kNow, kCallTimeout, Counts);
  };
  GIVEN("the host that has reported it")
  {
    REQUIRE(actionsAt(506'000).size() == 1);
    OnUsageRecorded(duty, 99, StoreOutcome::kDone, kNow);
    OnUsageSent(duty, 99, true, kNow);
    const bool holdsDuty = GENERATE(true, false);
    OnStoreRestored(duty, kTimes, holdsDuty, At(506'500));
    THEN("it writes the counts again, also if it no longer holds the duty")
    {
      const auto lost = TakeLostRecords(duty);
      REQUIRE(lost.size() == 1);
      CHECK(lost[0].mWindow == 99);
      CHECK(lost[0].mCounts == Counts(99));
      CHECK(TakeLostRecords(duty).empty());
    }
  }
  GIVEN("another host that becomes the holder afterwards")
  {
    OnStoreRestored(duty, kTimes, false, At(506'000));
    const auto actions = actionsAt(506'500);
    REQUIRE(actions.size() == 1);
    THEN("it only reads the counts")
    {
      CHECK(actions[0].mPhase == UsagePhase::kUnsure);
    }
    WHEN("they have not been written again yet")
    {
      OnUsageRead(duty, 99, StoreOutcome::kNotFound, {}, kNow);
      THEN("it does not count by itself")
      {
        CHECK(duty.mTasks.at(99).mPhase == UsagePhase::kUnsure);
      }
    }
    THEN("it counts windows that had not ended")
    {
      for (const UsageAction& action : actionsAt(512'000)) {
        CHECK((action.mReport.mWindow < 101) == (action.mPhase == UsagePhase::kUnsure));
      }
    }
  }
}

} // namespace
} // namespace trefoil
