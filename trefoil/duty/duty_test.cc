#include "trefoil/duty/duty.h"
#include "trefoil/duty/holder_record.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const ServiceId kService{ "rules" };
const Instant kStart{};

// Lets a host get a lease and write its claim; returns the write.
WriteClaim
BeginClaim(DutyState& aDuties)
{
  const auto first = Step(aDuties, DutyWanted{ .mService = kService }, kStart);
  const auto grant = std::get<GrantLease>(first.at(0));
  Step(aDuties, LeaseAnswered{ .mCallNumber = grant.mCallNumber, .mLease = 5 }, kStart);
  const auto effects = Step(aDuties, DutyTimer{}, kStart + Milliseconds{ 300 });
  return std::get<WriteClaim>(effects.at(0));
}

TEST_CASE("A host takes a duty")
{
  DutyState duties = MakeDutyState({ .mHost = HostId{ "h1" }, .mRandomSeed = 1 }, kStart);
  const WriteClaim write = BeginClaim(duties);
  const Instant claimed = kStart + Milliseconds{ 400 };
  const Instant ordersFrom = claimed + kLongestOrder;
  CHECK_FALSE(MayAct(duties, kService, claimed, kLongestOrder));

  SECTION("when its claim is written")
  {
    Step(duties,
         ClaimAnswered{ .mService = kService,
                        .mCallNumber = write.mCallNumber,
                        .mResult = ClaimResult::kWritten,
                        .mRecord = write.mRecord,
                        .mRevision = 41 },
         claimed);
    REQUIRE(Holds(duties, kService, claimed));
    CHECK(FencingOf(duties, kService) == 41);

    SECTION("it gives orders only after a former holder's have ended")
    {
      CHECK_FALSE(MayAct(duties, kService, claimed, kLongestOrder));
      CHECK(MayAct(duties, kService, ordersFrom, kLongestOrder));
    }
    SECTION("it begins nothing that could last past the lease, counted from before the call")
    {
      const Instant end = kStart + kLeaseTime - kLeaseMargin;
      CHECK_FALSE(MayAct(duties, kService, end - kLongestOrder, kLongestOrder));
      CHECK_FALSE(Holds(duties, kService, end));
    }
    SECTION("it holds nothing once the store has ended the lease")
    {
      Step(duties, LeaseLost{ .mLease = 5 }, ordersFrom);
      CHECK_FALSE(Holds(duties, kService, ordersFrom));
    }
    SECTION("it ends the lease when it leaves")
    {
      const auto effects = Step(duties, HostLeaving{}, claimed);
      CHECK(std::get<EndLease>(effects.at(0)).mLease == 5);
      CHECK_FALSE(Holds(duties, kService, claimed));
    }
  }
  SECTION("when the answer was lost and its own nonce is read back")
  {
    Step(duties, ClaimAnswered{ .mService = kService, .mCallNumber = write.mCallNumber }, claimed);
    const auto effects = Step(duties, DutyTimer{}, claimed + Milliseconds{ 1000 });
    const auto read = std::get<ReadClaim>(effects.at(0));
    Step(duties,
         ClaimAnswered{ .mService = kService,
                        .mCallNumber = read.mCallNumber,
                        .mResult = ClaimResult::kTaken,
                        .mRecord = write.mRecord,
                        .mRevision = 41 },
         claimed + Milliseconds{ 1100 });
    CHECK(FencingOf(duties, kService) == 41);
  }
  SECTION("but not when another host's claim stands there")
  {
    Step(duties,
         ClaimAnswered{ .mService = kService,
                        .mCallNumber = write.mCallNumber,
                        .mResult = ClaimResult::kTaken,
                        .mRecord = { .mHost = HostId{ "h2" }, .mNonce = 3 },
                        .mRevision = 40 },
         claimed);
    CHECK_FALSE(Holds(duties, kService, claimed));
    SECTION("and it leaves the store alone while the holder is heard of")
    {
      for (int second = 1; second < 5; ++second) {
        const Instant now = claimed + Milliseconds{ 1000 * second };
        Step(duties, HolderHeard{ .mService = kService }, now);
        CHECK(duties.mClaims.at(kService).mTryAt >= now + kLeaseTime);
      }
    }
  }
}

TEST_CASE("A claim is written and read back the same")
{
  const HolderRecord record{ .mHost = HostId{ "h\"1" }, .mNonce = ~std::uint64_t{ 0 } };
  const auto parsed = ParseHolder(RenderHolder(record));
  REQUIRE(parsed.ok());
  CHECK(parsed->mHost == record.mHost);
  CHECK(parsed->mNonce == record.mNonce);
  CHECK_FALSE(ParseHolder("{").ok());
}

TEST_CASE("Retries are limited")
{
  RetryBudget budget{ .mFilledAt = kStart };
  int taken = 0;
  while (Withdraw(budget, kStart)) {
    ++taken;
  }
  CHECK(taken == kMaxRetryTokens);
  CHECK(Withdraw(budget, kStart + Milliseconds{ 2000 }));
  for (std::uint64_t random = 0; random < 100; ++random) {
    CHECK(BackOff(30, random * 7919) <= kLongestPause);
    CHECK(BackOff(0, random) >= kShortestPause);
  }
}

} // namespace
} // namespace trefoil
