#include "trefoil/idempotency/claims.h"
#include "trefoil/idempotency/key_date.h"
#include "trefoil/idempotency/slot_codec.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const Instant kStart{};
constexpr Milliseconds kLimit{ 1000 };
constexpr Milliseconds kLong{ 5000 };
const SlotId kSlot{ .mSlot = 1, .mBucket = 2000 };

ClaimWanted
WantedBy(std::uint64_t aWaiter, const std::string& aRequest = "one", Instant aNow = kStart)
{
  return { .mWaiter = aWaiter,
           .mSlot = kSlot,
           .mRecord = { .mKey = "key",
                        .mNonce = "nonce-" + std::to_string(aWaiter),
                        .mClaimant = HostId{ "h1" },
                        .mRequestSha256 = aRequest },
           .mDeadline = aNow + kLimit };
}

template<typename Kind>
const Kind*
Find(const ClaimEffects& aEffects)
{
  for (const ClaimEffect& effect : aEffects) {
    if (const auto* kind = std::get_if<Kind>(&effect)) {
      return kind;
    }
  }
  return nullptr;
}

SlotWriteEnded
Ended(SlotWriteResult aResult, SlotValue aValue = {}, std::uint64_t aRevision = 1)
{
  return { .mSlot = kSlot,
           .mResult = aResult,
           .mStored = { .mValue = std::move(aValue), .mRevision = aRevision } };
}

ClaimRecord
Standing(ClaimStage aStage, const std::string& aRequest = "one")
{
  return { .mKey = "key",
           .mNonce = "other",
           .mClaimant = HostId{ "h2" },
           .mRequestSha256 = aRequest,
           .mOutcome = { .mStage = aStage, .mHttpStatus = 201 } };
}

TEST_CASE("A request claims its key before it may be dispatched")
{
  Claims claims;
  const auto first = Step(claims, WantedBy(1), kStart);
  const auto* write = Find<SlotWriteWanted>(first);
  REQUIRE(write != nullptr);
  CHECK(write->mExpected == 0);
  CHECK(Find<ClaimDecided>(first) == nullptr);

  SECTION("requests that come meanwhile wait for the next write and share it")
  {
    for (std::uint64_t waiter = 2; waiter < 50; ++waiter) {
      ClaimWanted wanted = WantedBy(waiter);
      wanted.mRecord.mKey = "key-" + std::to_string(waiter);
      CHECK(Step(claims, wanted, kStart).empty());
    }
    Step(claims, Ended(SlotWriteResult::kWritten), kStart);
    const auto later = Tick(claims, kStart + kLimit / 2);
    REQUIRE(Find<SlotWriteWanted>(later) != nullptr);
    CHECK(Find<SlotWriteWanted>(later)->mValue.mRecords.size() == 49);
  }
  SECTION("the write took effect: it may be dispatched")
  {
    const auto effects = Step(claims, Ended(SlotWriteResult::kWritten), kStart);
    REQUIRE(Find<ClaimDecided>(effects) != nullptr);
    CHECK(Find<ClaimDecided>(effects)->mAnswer == ClaimAnswer::kDispatch);

    SECTION("and nothing more is due")
    {
      CHECK(NextTimer(claims, kStart + kLong) == kStart + kLong);
    }
    SECTION("a repeat while it runs reads again and is told that it may have run")
    {
      CHECK(Step(claims, WantedBy(2), kStart).empty());
      const auto due = Tick(claims, kStart + kLimit / 2);
      REQUIRE(Find<SlotReadWanted>(due) != nullptr);
      const auto read =
        Step(claims,
             SlotReadEnded{ .mSlot = kSlot,
                            .mStored = StoredSlot{ .mValue = write->mValue, .mRevision = 1 } },
             kStart);
      CHECK(Find<ClaimDecided>(read)->mAnswer == ClaimAnswer::kInProgress);
    }
    SECTION("a repeat after its end is told the outcome, also before the store holds it")
    {
      ClaimRecord ended = WantedBy(1).mRecord;
      ended.mOutcome = { .mStage = ClaimStage::kRan, .mHttpStatus = 201, .mBody = "ok" };
      Step(claims, OutcomeKnown{ .mSlot = kSlot, .mRecord = ended }, kStart);
      const auto repeat = Step(claims, WantedBy(2), kStart);
      REQUIRE(Find<ClaimDecided>(repeat) != nullptr);
      CHECK(Find<ClaimDecided>(repeat)->mAnswer == ClaimAnswer::kRecorded);
      CHECK(Find<ClaimDecided>(repeat)->mRecord.mOutcome.mBody == "ok");
    }
  }
  SECTION("the answer was lost: it reads back")
  {
    CHECK(Step(claims, Ended(SlotWriteResult::kUnknown), kStart).empty());
    const auto due = Tick(claims, kStart + kLimit / 2);
    REQUIRE(Find<SlotReadWanted>(due) != nullptr);
    SECTION("and finds its nonce")
    {
      const auto read =
        Step(claims,
             SlotReadEnded{ .mSlot = kSlot,
                            .mStored = StoredSlot{ .mValue = write->mValue, .mRevision = 1 } },
             kStart + kLimit / 2);
      CHECK(Find<ClaimDecided>(read)->mAnswer == ClaimAnswer::kDispatch);
    }
    SECTION("or writes again")
    {
      const auto read =
        Step(claims, SlotReadEnded{ .mSlot = kSlot, .mStored = StoredSlot{} }, kStart + kLimit / 2);
      const auto again = Tick(claims, kStart + kLimit * 3 / 4);
      CHECK((Find<SlotWriteWanted>(read) != nullptr || Find<SlotWriteWanted>(again) != nullptr));
    }
  }
  SECTION("another host was first")
  {
    const auto told = [&claims](const ClaimRecord& aStanding) {
      const SlotValue value{ .mBucket = kSlot.mBucket, .mRecords = { aStanding } };
      const auto effects = Step(claims, Ended(SlotWriteResult::kConflict, value), kStart);
      const auto* decided = Find<ClaimDecided>(effects);
      return decided == nullptr ? std::nullopt : std::optional{ decided->mAnswer };
    };
    SECTION("and still runs it")
    {
      CHECK(told(Standing(ClaimStage::kClaimed)) == ClaimAnswer::kInProgress);
    }
    SECTION("and ran it")
    {
      CHECK(told(Standing(ClaimStage::kRan)) == ClaimAnswer::kRecorded);
    }
    SECTION("with another request")
    {
      CHECK(told(Standing(ClaimStage::kRan, "two")) == ClaimAnswer::kOtherRequest);
    }
    SECTION("but never ran it: the key is claimed anew")
    {
      CHECK(told(Standing(ClaimStage::kNotRun)) == std::nullopt);
      const auto due = Tick(claims, kStart + kLimit / 2);
      REQUIRE(Find<SlotWriteWanted>(due) != nullptr);
      CHECK(Find<SlotWriteWanted>(due)->mValue.mRecords.at(0).mNonce == "nonce-1");
    }
  }
  SECTION("the place in the store holds a later bucket: the key is too old")
  {
    const auto effects =
      Step(claims, Ended(SlotWriteResult::kConflict, { .mBucket = kSlot.mBucket + 4096 }), kStart);
    CHECK(Find<ClaimDecided>(effects)->mAnswer == ClaimAnswer::kExpired);
  }
  SECTION("the value is full")
  {
    SlotValue value{ .mBucket = kSlot.mBucket };
    value.mRecords.resize(claims.mOptions.mMaxRecords);
    const auto effects = Step(claims, Ended(SlotWriteResult::kConflict, value), kStart);
    CHECK(Find<ClaimDecided>(effects)->mAnswer == ClaimAnswer::kFull);
  }
  SECTION("the store does not answer in time")
  {
    const auto late = Tick(claims, kStart + kLimit);
    REQUIRE(Find<ClaimDecided>(late) != nullptr);
    CHECK(Find<ClaimDecided>(late)->mAnswer == ClaimAnswer::kNoStore);
    SECTION("a late answer changes nothing for the request, and the store is told")
    {
      const auto written = Step(claims, Ended(SlotWriteResult::kWritten), kStart + kLimit);
      CHECK(Find<ClaimDecided>(written) == nullptr);
      REQUIRE(Find<SlotWriteWanted>(written) != nullptr);
      CHECK(Find<SlotWriteWanted>(written)->mValue.mRecords.at(0).mOutcome.mStage ==
            ClaimStage::kNotRun);
    }
    SECTION("calls to the store become rarer while it is out")
    {
      Instant now = kStart + kLimit;
      int calls = 0;
      Step(claims, Ended(SlotWriteResult::kNotWritten), now);
      const Instant end = now + std::chrono::seconds{ 60 };
      for (std::uint64_t waiter = 10; now < end; ++waiter, now += Milliseconds{ 50 }) {
        const auto effects = Step(claims, WantedBy(waiter, "one", now), now);
        if (Find<SlotWriteWanted>(effects) != nullptr) {
          ++calls;
          Step(claims, Ended(SlotWriteResult::kNotWritten), now);
        }
      }
      CHECK(calls > 10);
      CHECK(calls < 30);
    }
  }
}

TEST_CASE("A key that a caller chose tells its date")
{
  const WallTime now = FromUnixMilliseconds(1'796'371'200'000);
  SECTION("as seconds")
  {
    CHECK(DateOfKey("1796371200-board-4") == now);
  }
  SECTION("as a UUID of version 7")
  {
    CHECK(DateOfKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f") ==
          FromUnixMilliseconds(1'645'557'742'000));
  }
  SECTION("else it is refused")
  {
    for (const char* key : { "",
                             "board-4",
                             "1796371200",
                             "1796371200-",
                             "-5-a",
                             "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
                             "99999999999999999999-a" }) {
      CHECK(DateOfKey(key) == std::nullopt);
    }
  }
  SECTION("and is good until the retention ends")
  {
    const ClaimOptions options;
    const auto age = [&](std::int64_t aMilliseconds) {
      return AgeOfKey(options, now, now + Milliseconds{ aMilliseconds });
    };
    CHECK(age(0) == KeyAge::kValid);
    CHECK(age(options.mRetentionMilliseconds + 1) == KeyAge::kExpired);
    CHECK(age(-options.mMaxAheadMilliseconds - 1) == KeyAge::kAhead);
    SECTION("which is before its place in the store is used again")
    {
      CHECK(options.mRingBuckets * options.mBucketMilliseconds >=
            options.mRetentionMilliseconds + 2 * options.mMaxAheadMilliseconds);
    }
  }
}

TEST_CASE("The value of a slot survives the store")
{
  const SlotValue value{ .mBucket = 7, .mRecords = { Standing(ClaimStage::kRan) } };
  const std::string text = EncodeSlot(value);
  CHECK(*DecodeSlot(text) == value);
  CHECK(*DecodeSlot("") == SlotValue{});
  CHECK_FALSE(DecodeSlot("1!").ok());
  CHECK_FALSE(DecodeSlot(text.substr(0, text.size() / 2)).ok());

  SECTION("and a full one stays below a quarter of a megabyte")
  {
    SlotValue full{ .mBucket = 7 };
    ClaimRecord record = Standing(ClaimStage::kRan);
    record.mKey = record.mNonce = std::string(32, 'k');
    record.mRequestSha256 = record.mOutcome.mBodySha256 = std::string(64, 'd');
    record.mOutcome.mBody = std::string(kMaxRecordedBodyBytes, 'b');
    full.mRecords.assign(ClaimOptions{}.mMaxRecords, record);
    CHECK(EncodeSlot(full).size() < (std::size_t{ 1 } << 18) + (std::size_t{ 1 } << 16));
  }
}

} // namespace
} // namespace trefoil
