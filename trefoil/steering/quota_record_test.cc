#include "trefoil/steering/quota_record.h"

#include "trefoil/dispatch/quota.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

SCENARIO("all hosts are killed at once while an account uses up its quota")
{
  const ClientAccount account{ .mName = ClientAccountId{ "club" },
                               .mCountsTokens = true,
                               .mRatePerSecond = 200'000,
                               .mBurst = 200'000 };
  constexpr Milliseconds kWindow{ 8'000 };
  const Instant start{ std::chrono::hours{ 1 } };
  const WallTime wall = FromUnixMilliseconds(1'772'000'000'000);
  QuotaState before = MakeQuotaState(kWindow);
  REQUIRE(TakeQuota(before, account, 1'700'000, {}, start));
  const QuotaRecord record = MakeQuotaRecord(
    { { account.mName, { .mAllHosts = before.mAccounts.at(account.mName).mWindow } } }, wall);
  GIVEN("a host that starts two seconds later and reads the record")
  {
    const auto read = ParseQuotaRecord(RenderQuotaRecord(record));
    REQUIRE(read.ok());
    // The steady clock of another process has nothing to do with that of the first.
    const Instant later{ std::chrono::hours{ 5 } };
    QuotaState after = MakeQuotaState(kWindow);
    for (const PastUse& use : PastUses(*read, wall + std::chrono::seconds{ 2 })) {
      AddUsedElsewhere(after, use.mAccount, use.mCost, later - use.mAge);
    }
    THEN("what was used before counts until it has left the window")
    {
      CHECK_FALSE(TakeQuota(after, account, 500'000, {}, later));
      CHECK(TakeQuota(after, account, 500'000, {}, later + std::chrono::seconds{ 7 }));
    }
  }
  GIVEN("a record that is none")
  {
    THEN("it is refused")
    {
      CHECK_FALSE(ParseQuotaRecord("[]").ok());
      CHECK_FALSE(ParseQuotaRecord(R"({"at_ms":1,"slice_ms":250})").ok());
      CHECK_FALSE(ParseQuotaRecord(R"({"at_ms":1,"slice_ms":250,"accounts":{"a":[{}]}})").ok());
    }
  }
}

} // namespace
} // namespace trefoil
