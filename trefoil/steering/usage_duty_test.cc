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

} // namespace
} // namespace trefoil
