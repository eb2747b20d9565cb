#include "trefoil/steering/usage_duty.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const UsageTimes kTimes{ .mWindow = Milliseconds{ 5'000 },
                         .mSettle = Milliseconds{ 2'000 },
                         .mLateAfter = Milliseconds{ 10'000 } };
constexpr Milliseconds kCall{ 1'500 };
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

SCENARIO("a window of usage is reported")
{
  UsageDuty duty;
  // Window 100 ends at 505,000.
  const auto next = [&duty](std::int64_t aWall, Instant aNow) {
    return NextUsageActions(duty, kTimes, At(aWall), aNow, kCall, Counts);
  };
  const auto before = next(506'000, kNow);
  REQUIRE(before.size() == 1);
  CHECK(before[0].mReport.mWindow == 99);
  OnUsageRecorded(duty, 99, StoreOutcome::kDone, kNow);
  const auto sending = next(506'100, kNow);
  REQUIRE(sending.size() == 1);
  CHECK(sending[0].mPhase == UsagePhase::kRecorded);
  OnUsageSent(duty, 99, true, kNow);
  CHECK(next(506'200, kNow).empty());
  GIVEN("counts that are written to the store")
  {
    REQUIRE(next(507'000, kNow).size() == 1);
    WHEN("another host wrote first")
    {
      OnUsageRecorded(duty, 100, StoreOutcome::kConflict, kNow);
      REQUIRE(next(507'100, kNow)[0].mPhase == UsagePhase::kUnsure);
      OnUsageRead(
        duty, 100, StoreOutcome::kDone, { .mWindow = 100, .mCounts = { { kAccount, 7 } } }, kNow);
      THEN("its counts are sent, not the own ones")
      {
        const auto actions = next(507'200, kNow);
        REQUIRE(actions.size() == 1);
        CHECK(actions[0].mPhase == UsagePhase::kRecorded);
        CHECK(actions[0].mReport.mCounts.at(kAccount) == 7);
      }
    }
    WHEN("the answer is lost and nothing was written")
    {
      OnUsageRecorded(duty, 100, StoreOutcome::kUnknown, kNow);
      REQUIRE(next(507'100, kNow)[0].mPhase == UsagePhase::kUnsure);
      OnUsageRead(duty, 100, StoreOutcome::kNotFound, {}, kNow);
      THEN("the same counts are written again")
      {
        const auto actions = next(507'200, kNow + std::chrono::seconds{ 1 });
        REQUIRE(actions.size() == 1);
        CHECK(actions[0].mPhase == UsagePhase::kCounted);
        CHECK(actions[0].mReport.mCounts.at(kAccount) == 1'000);
      }
    }
    WHEN("the report is not accepted")
    {
      OnUsageRecorded(duty, 100, StoreOutcome::kDone, kNow);
      next(507'100, kNow);
      OnUsageSent(duty, 100, false, kNow);
      THEN("it is sent again after a pause, and given up once it is late")
      {
        CHECK(next(507'200, kNow).empty());
        CHECK(next(508'000, kNow + std::chrono::seconds{ 1 }).size() == 1);
        OnUsageSent(duty, 100, false, kNow);
        const auto late = next(516'000, kNow + std::chrono::seconds{ 9 });
        for (const UsageAction& action : late) {
          CHECK(action.mReport.mWindow != 100);
        }
      }
    }
  }
}

SCENARIO("a record of usage is read back")
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
