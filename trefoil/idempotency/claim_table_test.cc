#include "trefoil/idempotency/claim_table.h"
#include "trefoil/idempotency/key_date.h"
#include "trefoil/idempotency/slot_codec.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const Instant kStart{};
constexpr Milliseconds kClaimTimeout{ 1000 };
constexpr Milliseconds kLong{ 5000 };
const SlotId kSlot{ .mSlot = 1, .mBucket = 2000 };

ClaimRequested
ClaimBy(std::uint64_t aWaiter, const std::string& aRequest = "one", Instant aNow = kStart)
{
  return { .mWaiter = aWaiter,
           .mSlot = kSlot,
           .mRecord = { .mKey = "key",
                        .mNonce = "nonce-" + std::to_string(aWaiter),
                        .mClaimant = HostId{ "h1" },
                        .mRequestSha256 = aRequest },
           .mDeadline = aNow + kClaimTimeout };
}

template<typename Kind>
const Kind*
FindEffect(const ClaimEffects& aEffects)
{
  for (const ClaimEffect& effect : aEffects) {
    if (const auto* kind = std::get_if<Kind>(&effect)) {
      return kind;
    }
  }
  return nullptr;
}

SlotWriteCompleted
WriteResponse(SlotWriteResult aResult, SlotValue aValue = {}, std::uint64_t aRevision = 1)
{
  return { .mSlot = kSlot,
           .mResult = aResult,
           .mStored = { .mValue = std::move(aValue), .mRevision = aRevision } };
}

ClaimRecord
StoredRecord(ClaimStage aStage, const std::string& aRequest = "one")
{
  return { .mKey = "key",
           .mNonce = "other",
           .mClaimant = HostId{ "h2" },
           .mRequestSha256 = aRequest,
           .mOutcome = { .mStage = aStage, .mHttpStatus = 201 } };
}

TEST_CASE("A request claims its key before it may be dispatched")
{
  ClaimTable claims;
  const auto first = Step(claims, ClaimBy(1), kStart);
  const auto* write = FindEffect<WriteSlot>(first);
  REQUIRE(write != nullptr);
  CHECK(write->mExpected == 0);
  CHECK(FindEffect<AnswerClaim>(first) == nullptr);

  SECTION("requests that arrive during the write share the next one")
  {
    for (std::uint64_t waiter = 2; waiter < 50; ++waiter) {
      ClaimRequested claim = ClaimBy(waiter);
      claim.mRecord.mKey = "key-" + std::to_string(waiter);
      CHECK(Step(claims, claim, kStart).empty());
    }
    Step(claims, WriteResponse(SlotWriteResult::kWritten), kStart);
    const auto later = Tick(claims, kStart + kClaimTimeout / 2);
    REQUIRE(FindEffect<WriteSlot>(later) != nullptr);
    CHECK(FindEffect<WriteSlot>(later)->mValue.mRecords.size() == 49);
  }
  SECTION("after the write succeeded, it may be dispatched")
  {
    const auto effects = Step(claims, WriteResponse(SlotWriteResult::kWritten), kStart);
    REQUIRE(FindEffect<AnswerClaim>(effects) != nullptr);
    CHECK(FindEffect<AnswerClaim>(effects)->mAnswer == ClaimAnswer::kDispatch);

    SECTION("and no timer is due")
    {
      CHECK(NextTimer(claims, kStart + kLong) == kStart + kLong);
    }
    SECTION("a duplicate request while it runs reads the slot again and is answered kInProgress")
    {
      CHECK(Step(claims, ClaimBy(2), kStart).empty());
      const auto due = Tick(claims, kStart + kClaimTimeout / 2);
      REQUIRE(FindEffect<ReadSlot>(due) != nullptr);
      const auto read =
        Step(claims,
             SlotReadCompleted{ .mSlot = kSlot,
                                .mStored = StoredSlot{ .mValue = write->mValue, .mRevision = 1 } },
             kStart);
      CHECK(FindEffect<AnswerClaim>(read)->mAnswer == ClaimAnswer::kInProgress);
    }
    SECTION("a duplicate request after its end gets the outcome, even before it is stored")
    {
      ClaimRecord ended = ClaimBy(1).mRecord;
      ended.mOutcome = { .mStage = ClaimStage::kRan, .mHttpStatus = 201, .mBody = "ok" };
      Step(claims, ClaimCompleted{ .mSlot = kSlot, .mRecord = ended }, kStart);
      const auto repeat = Step(claims, ClaimBy(2), kStart);
      REQUIRE(FindEffect<AnswerClaim>(repeat) != nullptr);
      CHECK(FindEffect<AnswerClaim>(repeat)->mAnswer == ClaimAnswer::kRecorded);
      CHECK(FindEffect<AnswerClaim>(repeat)->mRecord.mOutcome.mBody == "ok");
    }
  }
  SECTION("after the result of the write was lost, the slot is read")
  {
    CHECK(Step(claims, WriteResponse(SlotWriteResult::kUnknown), kStart).empty());
    const auto due = Tick(claims, kStart + kClaimTimeout / 2);
    REQUIRE(FindEffect<ReadSlot>(due) != nullptr);
    SECTION("and its nonce is found: it may be dispatched")
    {
      const auto read =
        Step(claims,
             SlotReadCompleted{ .mSlot = kSlot,
                                .mStored = StoredSlot{ .mValue = write->mValue, .mRevision = 1 } },
             kStart + kClaimTimeout / 2);
      CHECK(FindEffect<AnswerClaim>(read)->mAnswer == ClaimAnswer::kDispatch);
    }
    SECTION("and its nonce is missing: the claim is written again")
    {
      const auto read = Step(claims,
                             SlotReadCompleted{ .mSlot = kSlot, .mStored = StoredSlot{} },
                             kStart + kClaimTimeout / 2);
      const auto again = Tick(claims, kStart + kClaimTimeout * 3 / 4);
      CHECK((FindEffect<WriteSlot>(read) != nullptr || FindEffect<WriteSlot>(again) != nullptr));
    }
  }
  SECTION("another host claimed the key first")
  {
    const auto answerTo = [&claims](const ClaimRecord& aStored) {
      const SlotValue value{ .mBucket = kSlot.mBucket, .mRecords = { aStored } };
      const auto effects = Step(claims, WriteResponse(SlotWriteResult::kConflict, value), kStart);
      const auto* decided = FindEffect<AnswerClaim>(effects);
      return decided == nullptr ? std::nullopt : std::optional{ decided->mAnswer };
    };
    SECTION("and is still running the request")
    {
      CHECK(answerTo(StoredRecord(ClaimStage::kClaimed)) == ClaimAnswer::kInProgress);
    }
    SECTION("and ran the request")
    {
      CHECK(answerTo(StoredRecord(ClaimStage::kRan)) == ClaimAnswer::kRecorded);
    }
    SECTION("with a different request")
    {
      CHECK(answerTo(StoredRecord(ClaimStage::kRan, "two")) == ClaimAnswer::kOtherRequest);
    }
    SECTION("but never ran the request: the key is claimed again")
    {
      CHECK(answerTo(StoredRecord(ClaimStage::kNotRun)) == std::nullopt);
      const auto due = Tick(claims, kStart + kClaimTimeout / 2);
      REQUIRE(FindEffect<WriteSlot>(due) != nullptr);
      CHECK(FindEffect<WriteSlot>(due)->mValue.mRecords.at(0).mNonce == "nonce-1");
    }
  }
  SECTION("the store key holds a later bucket: the idempotency key has expired")
  {
    const auto effects =
      Step(claims,
           WriteResponse(SlotWriteResult::kConflict, { .mBucket = kSlot.mBucket + 4096 }),
           kStart);
    CHECK(FindEffect<AnswerClaim>(effects)->mAnswer == ClaimAnswer::kExpired);
  }
  SECTION("the value of the slot is full")
  {
    SlotValue value{ .mBucket = kSlot.mBucket };
    value.mRecords.resize(claims.mOptions.mMaxRecords);
    const auto effects = Step(claims, WriteResponse(SlotWriteResult::kConflict, value), kStart);
    CHECK(FindEffect<AnswerClaim>(effects)->mAnswer == ClaimAnswer::kFull);
  }
  SECTION("the store does not answer before the deadline")
  {
    const auto late = Tick(claims, kStart + kClaimTimeout);
    REQUIRE(FindEffect<AnswerClaim>(late) != nullptr);
    CHECK(FindEffect<AnswerClaim>(late)->mAnswer == ClaimAnswer::kStoreUnavailable);
    SECTION("a late answer does not change the decision, and kNotRun is stored")
    {
      const auto written =
        Step(claims, WriteResponse(SlotWriteResult::kWritten), kStart + kClaimTimeout);
      CHECK(FindEffect<AnswerClaim>(written) == nullptr);
      REQUIRE(FindEffect<WriteSlot>(written) != nullptr);
      CHECK(FindEffect<WriteSlot>(written)->mValue.mRecords.at(0).mOutcome.mStage ==
            ClaimStage::kNotRun);
    }
    SECTION("store calls back off while the store is unavailable")
    {
      Instant now = kStart + kClaimTimeout;
      int calls = 0;
      Step(claims, WriteResponse(SlotWriteResult::kNotWritten), now);
      const Instant end = now + std::chrono::seconds{ 60 };
      for (std::uint64_t waiter = 10; now < end; ++waiter, now += Milliseconds{ 50 }) {
        const auto effects = Step(claims, ClaimBy(waiter, "one", now), now);
        if (FindEffect<WriteSlot>(effects) != nullptr) {
          ++calls;
          Step(claims, WriteResponse(SlotWriteResult::kNotWritten), now);
        }
      }
      CHECK(calls > 10);
      CHECK(calls < 30);
    }
  }
}

TEST_CASE("An idempotency key contains its date")
{
  const WallTime now = FromUnixMilliseconds(1'796'371'200'000);
  SECTION("as Unix time in seconds")
  {
    CHECK(DateOfKey("1796371200-board-4") == now);
  }
  SECTION("as a UUID of version 7")
  {
    CHECK(DateOfKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f") ==
          FromUnixMilliseconds(1'645'557'742'000));
  }
  SECTION("or is refused")
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
  SECTION("and is valid until the end of the retention")
  {
    const ClaimOptions options;
    const auto age = [&](std::int64_t aMilliseconds) {
      return AgeOfKey(options, now, now + Milliseconds{ aMilliseconds });
    };
    CHECK(age(0) == KeyAge::kValid);
    CHECK(age(options.mRetentionMilliseconds + 1) == KeyAge::kExpired);
    CHECK(age(-options.mMaxFutureMilliseconds - 1) == KeyAge::kInFuture);
    SECTION("which is before its store key is reused")
    {
      CHECK(options.mRingBuckets * options.mBucketMilliseconds >=
            options.mRetentionMilliseconds + 2 * options.mMaxFutureMilliseconds);
    }
  }
}

TEST_CASE("The value of a slot can be encoded and decoded")
{
  const SlotValue value{ .mBucket = 7, .mRecords = { StoredRecord(ClaimStage::kRan) } };
  const std::string text = EncodeSlot(value);
  CHECK(*DecodeSlot(text) == value);
  CHECK(*DecodeSlot("") == SlotValue{});
  CHECK_FALSE(DecodeSlot("1!").ok());
  CHECK_FALSE(DecodeSlot(text.substr(0, text.size() / 2)).ok());

  SECTION("and a full one stays below 320 KiB")
  {
    SlotValue full{ .mBucket = 7 };
    ClaimRecord record = StoredRecord(ClaimStage::kRan);
    record.mKey = record.mNonce = std::string(32, 'k');
    record.mRequestSha256 = record.mOutcome.mBodySha256 = std::string(64, 'd');
    record.mOutcome.mBody = std::string(kMaxRecordedBodyBytes, 'b');
    full.mRecords.assign(ClaimOptions{}.mMaxRecords, record);
    CHECK(EncodeSlot(full).size() < (std::size_t{ 1 } << 18) + (std::size_t{ 1 } << 16));
  }
}

} // namespace
} // namespace trefoil
