#include "trefoil/steering/quota_record.h"

#include "trefoil/dispatch/quota.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

SCENARIO("all hosts are killed while an account has used up its quota")
{
  const ClientAccount account{ .mName = ClientAccountId{ "club" },
                               .mCountsTokens = true,
                               .mRatePerSecond = 200'000,
                               .mBurst = 200'000 };
  const Instant start{ std::chrono::hours{ 1 } };
  QuotaState before;
  REQUIRE(ConsumeQuota(before, account, 200'000, {}, start));
  const auto read = ParseQuotaRecord(
    RenderQuotaRecord({ { account.mName, SnapshotOf(before.mAccounts.at(account.mName)) } }));
  REQUIRE(read.ok());
  GIVEN("a host that starts and reads the quota record")
  {
    // Monotonic clocks of different processes are unrelated.
    const Instant later{ std::chrono::hours{ 5 } };
    QuotaState after;
    RestoreQuota(after, account.mName, read->at(account.mName), later);
    THEN("the account does not get its burst a second time")
    {
      CHECK_FALSE(ConsumeQuota(after, account, 50'000, {}, later));
      CHECK(ConsumeQuota(after, account, 50'000, {}, later + Milliseconds{ 300 }));
    }
  }
  GIVEN("a record with a demand")
  {
    const auto record = ParseQuotaRecord(
      RenderQuotaRecord({ { account.mName, { .mLevel = -5, .mAskedPerSecond = 1'000 } } }));
    THEN("both values are read")
    {
      REQUIRE(record.ok());
      CHECK(record->at(account.mName).mLevel == -5);
      CHECK(record->at(account.mName).mAskedPerSecond == 1'000);
    }
  }
  GIVEN("a record of a version that wrote no demands")
  {
    const auto record = ParseQuotaRecord(R"({"levels":{"club":7}})");
    THEN("its levels are read")
    {
      REQUIRE(record.ok());
      CHECK(record->at(account.mName).mLevel == 7);
      CHECK(record->at(account.mName).mAskedPerSecond == 0);
    }
  }
  GIVEN("malformed records")
  {
    THEN("they are rejected")
    {
      CHECK_FALSE(ParseQuotaRecord("[]").ok());
      CHECK_FALSE(ParseQuotaRecord("{}").ok());
      CHECK_FALSE(ParseQuotaRecord(R"({"levels":{"a":[]}})").ok());
    }
  }
}

} // namespace
} // namespace trefoil
