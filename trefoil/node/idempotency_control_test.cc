#include "trefoil/node/internal/idempotency_control.h"

#include "trefoil/idempotency/slot_codec.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const Instant kStart{};

TEST_CASE("A claim is written to the store")
{
  IdempotencyControlState state;
  const SlotId slot{ .mSlot = 3, .mBucket = 449'092'800 };
  const auto effects = OnIdempotency(state,
                                     ClaimRequested{ .mWaiter = 7,
                                                     .mSlot = slot,
                                                     .mRecord = { .mKey = "k", .mNonce = "n" },
                                                     .mDeadline = kStart + Milliseconds{ 2'000 } },
                                     kStart);
  REQUIRE(effects.size() == 1);
  const auto& write = std::get<WriteStoreEntry>(effects[0]);
  const auto complete = [&](StoreWriteState aState, const std::string& aValue) {
    return OnIdempotency(
      state,
      StoreWriteCompleted{
        .mTag = write.mTag,
        .mWrite = { .mState = aState, .mCurrent = { .mValue = aValue, .mRevision = 5 } } },
      kStart);
  };

  SECTION("the request may be dispatched once the claim is written")
  {
    const auto decided = complete(StoreWriteState::kWritten, write.mWrite.mValue);
    CHECK(std::get<AnswerClaim>(decided.at(0)).mWaiter == 7);
    CHECK(std::get<AnswerClaim>(decided.at(0)).mAnswer == ClaimAnswer::kDispatch);
  }
  SECTION("a truncated value is not read as a slot without claims")
  {
    const std::string value = GENERATE(std::string{}, std::string{ "1AAAA" });
    CHECK(complete(StoreWriteState::kConflict, value).empty());
    const auto later = OnIdempotencyTimer(state, kStart + Milliseconds{ 1'000 });
    REQUIRE(later.size() == 1);
    CHECK(std::holds_alternative<ReadStoreEntry>(later[0]));
  }
}

} // namespace
} // namespace trefoil
