#include "trefoil/duty/duty.h"
#include "trefoil/duty/holder_record.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const ServiceId kService{ "rules" };
const Instant kStart{};

// Grants a lease to the host and returns the claim that it then writes.
WriteDutyClaim
StartClaimWrite(DutyState& aDuties)
{
  const auto first = Step(aDuties, DutyCampaignStarted{ .mService = kService }, kStart);
  const auto grant = std::get<GrantLease>(first.at(0));
  Step(aDuties, LeaseCallSucceeded{ .mCallNumber = grant.mCallNumber, .mLease = 5 }, kStart);
  const auto effects = Step(aDuties, DutyTimerFired{}, kStart + Milliseconds{ 300 });
  return std::get<WriteDutyClaim>(effects.at(0));
}

TEST_CASE("A host acquires a duty")
{
  DutyState duties = MakeDutyState({ .mHost = HostId{ "h1" }, .mRandomSeed = 1 }, kStart);
  const WriteDutyClaim write = StartClaimWrite(duties);
  const Instant claimed = kStart + Milliseconds{ 400 };
  const Instant mayActFrom = claimed + kMaxOrderDuration;
  CHECK_FALSE(MayAct(duties, kService, claimed, kMaxOrderDuration));

  SECTION("when its claim has been written")
  {
    Step(duties,
         DutyClaimCompleted{ .mService = kService,
                             .mCallNumber = write.mCallNumber,
                             .mResult = DutyClaimResult::kWritten,
                             .mRecord = write.mRecord,
                             .mRevision = 41 },
         claimed);
    REQUIRE(HoldsDuty(duties, kService, claimed));
    CHECK(FencingNumber(duties, kService) == 41);

    SECTION("it acts only after the orders of a former holder have ended")
    {
      CHECK_FALSE(MayAct(duties, kService, claimed, kMaxOrderDuration));
      CHECK(MayAct(duties, kService, mayActFrom, kMaxOrderDuration));
    }
    SECTION("it starts no action that could outlast the lease, counted from before the call")
    {
      const Instant end = kStart + kHostLeaseDuration - kLeaseSafetyMargin;
      CHECK_FALSE(MayAct(duties, kService, end - kMaxOrderDuration, kMaxOrderDuration));
      CHECK_FALSE(HoldsDuty(duties, kService, end));
    }
    SECTION("it no longer holds the duty once the store has ended the lease")
    {
      Step(duties, LeaseLost{ .mLease = 5 }, mayActFrom);
      CHECK_FALSE(HoldsDuty(duties, kService, mayActFrom));
    }
    SECTION("it ends the lease when it shuts down")
    {
      const auto effects = Step(duties, HostShutdownStarted{}, claimed);
      CHECK(std::get<EndLease>(effects.at(0)).mLease == 5);
      CHECK_FALSE(HoldsDuty(duties, kService, claimed));
    }
  }
  SECTION("when the reply was lost and its own nonce is read back")
  {
    Step(duties,
         DutyClaimCompleted{ .mService = kService, .mCallNumber = write.mCallNumber },
         claimed);
    const auto effects = Step(duties, DutyTimerFired{}, claimed + Milliseconds{ 1000 });
    const auto read = std::get<ReadDutyClaim>(effects.at(0));
    Step(duties,
         DutyClaimCompleted{ .mService = kService,
                             .mCallNumber = read.mCallNumber,
                             .mResult = DutyClaimResult::kTaken,
                             .mRecord = write.mRecord,
                             .mRevision = 41 },
         claimed + Milliseconds{ 1100 });
    CHECK(FencingNumber(duties, kService) == 41);
  }
  SECTION("but not when the key contains another host's claim")
  {
    Step(duties,
         DutyClaimCompleted{ .mService = kService,
                             .mCallNumber = write.mCallNumber,
                             .mResult = DutyClaimResult::kTaken,
                             .mRecord = { .mHost = HostId{ "h2" }, .mNonce = 3 },
                             .mRevision = 40 },
         claimed);
    CHECK_FALSE(HoldsDuty(duties, kService, claimed));
    SECTION("and it does not call the store while the holder announces itself")
    {
      for (int second = 1; second < 5; ++second) {
        const Instant now = claimed + Milliseconds{ 1000 * second };
        Step(duties, HolderAnnouncementReceived{ .mService = kService }, now);
        CHECK(duties.mClaims.at(kService).mClaimTimerAt >= now + kHostLeaseDuration);
      }
    }
  }
}

// Guards against a claim that is written late and taken for another host's by its own host, which
// renews its lease for ever (EXPOSURE).
SCENARIO("a claim that got no answer is written late")
{
  DutyState duties = MakeDutyState({ .mHost = HostId{ "h1" }, .mRandomSeed = 1 }, kStart);
  const WriteDutyClaim first = StartClaimWrite(duties);
  Instant now = kStart + Milliseconds{ 300 };
  const auto complete = [&duties, &now](std::uint64_t aCallNumber,
                                        DutyClaimResult aResult,
                                        const HolderRecord& aRecord = {}) {
    Step(duties,
         DutyClaimCompleted{ .mService = kService,
                             .mCallNumber = aCallNumber,
                             .mResult = aResult,
                             .mRecord = aRecord,
                             .mRevision = aResult == DutyClaimResult::kTaken ? 41U : 0U },
         now);
  };
  // Lets the time pass until the host makes another call for its claim, and returns that call.
  const auto nextClaimCall = [&duties, &now]() -> DutyEffect {
    for (int step = 0; step < 4'000; ++step) {
      now += Milliseconds{ 10 };
      for (const DutyEffect& effect : Step(duties, DutyTimerFired{}, now)) {
        if (const auto* renewal = std::get_if<RenewLease>(&effect)) {
          Step(duties,
               LeaseCallSucceeded{ .mCallNumber = renewal->mCallNumber, .mLease = renewal->mLease },
               now);
        } else if (!std::holds_alternative<GrantLease>(effect)) {
          return effect;
        }
      }
    }
    FAIL("the host makes no further call for its claim");
    return ReadDutyClaim{};
  };
  complete(first.mCallNumber, DutyClaimResult::kUnknown);
  const auto read = std::get<ReadDutyClaim>(nextClaimCall());
  complete(read.mCallNumber, DutyClaimResult::kFree);
  WHEN("it is written between the read and the next attempt")
  {
    const auto second = std::get<WriteDutyClaim>(nextClaimCall());
    complete(second.mCallNumber, DutyClaimResult::kTaken, first.mRecord);
    THEN("the host knows it for its own, and holds the duty")
    {
      CHECK(HoldsDuty(duties, kService, now));
      CHECK(FencingNumber(duties, kService) == 41);
    }
  }
  WHEN("the next attempt gets no answer either, and the first is written after that")
  {
    const auto second = std::get<WriteDutyClaim>(nextClaimCall());
    complete(second.mCallNumber, DutyClaimResult::kUnknown);
    const auto secondRead = std::get<ReadDutyClaim>(nextClaimCall());
    complete(secondRead.mCallNumber, DutyClaimResult::kFree);
    const auto third = std::get<WriteDutyClaim>(nextClaimCall());
    complete(third.mCallNumber, DutyClaimResult::kTaken, first.mRecord);
    THEN("the host knows it for its own, and holds the duty")
    {
      CHECK(HoldsDuty(duties, kService, now));
    }
  }
  WHEN("the host has been started anew under its name")
  {
    DutyState restarted = MakeDutyState({ .mHost = HostId{ "h1" }, .mRandomSeed = 9 }, kStart);
    const auto campaign = Step(restarted, DutyCampaignStarted{ .mService = kService }, kStart);
    const auto grant = std::get<GrantLease>(campaign.at(0));
    Step(restarted, LeaseCallSucceeded{ .mCallNumber = grant.mCallNumber, .mLease = 6 }, kStart);
    const auto claim = std::get<WriteDutyClaim>(
      Step(restarted, DutyTimerFired{}, kStart + Milliseconds{ 300 }).at(0));
    Step(restarted,
         DutyClaimCompleted{ .mService = kService,
                             .mCallNumber = claim.mCallNumber,
                             .mResult = DutyClaimResult::kTaken,
                             .mRecord = first.mRecord,
                             .mRevision = 41 },
         kStart + Milliseconds{ 400 });
    THEN("it does not hold the duty by a claim whose lease it does not renew")
    {
      CHECK_FALSE(HoldsDuty(restarted, kService, kStart + Milliseconds{ 400 }));
      CHECK(restarted.mClaims.at(kService).mClaimTimerAt >=
            kStart + Milliseconds{ 400 } + kHostLeaseDuration);
    }
  }
  WHEN("the lease was replaced meanwhile")
  {
    Step(duties, LeaseLost{ .mLease = 5 }, now);
    const Instant lost = now;
    const auto grants = Step(duties, DutyTimerFired{}, now + Milliseconds{ 1 });
    const std::uint64_t grant = duties.mLease.mCallNumber;
    Step(duties, LeaseCallSucceeded{ .mCallNumber = grant, .mLease = 6 }, now);
    const auto second = std::get<WriteDutyClaim>(nextClaimCall());
    THEN("the claims under the two leases are different ones")
    {
      CHECK(grants.empty());
      CHECK(now >= lost);
      CHECK(second.mRecord.mNonce != first.mRecord.mNonce);
    }
  }
  WHEN("the host stops to campaign before that")
  {
    Step(duties, DutyCampaignStopped{ .mService = kService }, now);
    const auto secondRead = std::get<ReadDutyClaim>(nextClaimCall());
    THEN("it holds the duty if the claim appears, instead of renewing it for nobody")
    {
      complete(secondRead.mCallNumber, DutyClaimResult::kTaken, first.mRecord);
      CHECK(HoldsDuty(duties, kService, now));
    }
    THEN("it gives the claim up once it cannot appear any more")
    {
      complete(secondRead.mCallNumber, DutyClaimResult::kFree);
      now += std::chrono::seconds{ 60 };
      Step(duties, DutyTimerFired{}, now);
      CHECK(duties.mClaims.empty());
    }
  }
}

TEST_CASE("A holder record survives a round trip through its stored form")
{
  const HolderRecord record{ .mHost = HostId{ "h\"1" }, .mNonce = ~std::uint64_t{ 0 } };
  const auto parsed = ParseHolderRecord(RenderHolderRecord(record));
  REQUIRE(parsed.ok());
  CHECK(parsed->mHost == record.mHost);
  CHECK(parsed->mNonce == record.mNonce);
  CHECK_FALSE(ParseHolderRecord("{").ok());
}

TEST_CASE("Retries of store calls are limited")
{
  StoreRetryBudget budget{ .mRefilledAt = kStart };
  int consumed = 0;
  while (ConsumeRetryToken(budget, kStart)) {
    ++consumed;
  }
  CHECK(consumed == kMaxRetryTokens);
  CHECK(ConsumeRetryToken(budget, kStart + Milliseconds{ 2000 }));
  for (std::uint64_t random = 0; random < 100; ++random) {
    CHECK(JitteredBackoff(30, random * 7919) <= kMaxStoreRetryDelay);
    CHECK(JitteredBackoff(0, random) >= kMinStoreRetryDelay);
  }
}

// Guards against two holders at once after the store came back without its latest leases and claims
// (ONE).
SCENARIO("the store is restored from a copy while duties are held")
{
  DutyState duties = MakeDutyState({ .mHost = HostId{ "h1" }, .mRandomSeed = 1 }, kStart);
  const WriteDutyClaim write = StartClaimWrite(duties);
  const Instant claimed = kStart + Milliseconds{ 400 };
  // Claims the duty again under a new lease and returns when that is done.
  const auto claimAgain = [&duties](const DutyEffects& aEffects, Instant aNow) {
    const auto grant = std::get<GrantLease>(aEffects.at(0));
    Step(duties, LeaseCallSucceeded{ .mCallNumber = grant.mCallNumber, .mLease = 6 }, aNow);
    const Instant later = aNow + Milliseconds{ 300 };
    const auto effects = Step(duties, DutyTimerFired{}, later);
    const auto claim = std::get<WriteDutyClaim>(effects.at(0));
    Step(duties,
         DutyClaimCompleted{ .mService = kService,
                             .mCallNumber = claim.mCallNumber,
                             .mResult = DutyClaimResult::kWritten,
                             .mRecord = claim.mRecord,
                             .mRevision = 50 },
         later);
    return later;
  };
  GIVEN("a host that holds the duty")
  {
    Step(duties,
         DutyClaimCompleted{ .mService = kService,
                             .mCallNumber = write.mCallNumber,
                             .mResult = DutyClaimResult::kWritten,
                             .mRecord = write.mRecord,
                             .mRevision = 41 },
         claimed);
    REQUIRE(HoldsDuty(duties, kService, claimed));
    const auto effects = Step(duties, StoreRestored{}, claimed);
    THEN("it stops acting at once, although its lease would still be valid")
    {
      CHECK_FALSE(HoldsDuty(duties, kService, claimed));
      CHECK(FencingNumber(duties, kService) == 0);
    }
    THEN("an answer about the former lease does not restore it")
    {
      Step(duties, LeaseCallSucceeded{ .mCallNumber = 1, .mLease = 5 }, claimed);
      CHECK_FALSE(HoldsDuty(duties, kService, claimed));
    }
    THEN("it goes on as soon as it has claimed the duty again")
    {
      const Instant again = claimAgain(effects, claimed);
      CHECK(MayAct(duties, kService, again + kMaxOrderDuration, kMaxOrderDuration));
    }
  }
  GIVEN("a host that does not hold it")
  {
    const auto effects = Step(duties, StoreRestored{}, claimed);
    THEN("an answer about its former claim has no effect")
    {
      Step(duties,
           DutyClaimCompleted{ .mService = kService,
                               .mCallNumber = write.mCallNumber,
                               .mResult = DutyClaimResult::kWritten,
                               .mRecord = write.mRecord,
                               .mRevision = 41 },
           claimed);
      CHECK_FALSE(HoldsDuty(duties, kService, claimed));
    }
    THEN("it acts only when the lease of a former holder has ended, which may not know it yet")
    {
      const Instant again = claimAgain(effects, claimed);
      REQUIRE(HoldsDuty(duties, kService, again));
      CHECK_FALSE(MayAct(duties, kService, again + kMaxOrderDuration, kMaxOrderDuration));
      CHECK(duties.mClaims.at(kService).mMayActFrom >= claimed + kHostLeaseDuration);
    }
  }
}

} // namespace
} // namespace trefoil
