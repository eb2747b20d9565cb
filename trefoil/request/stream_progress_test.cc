#include "trefoil/request/stream_progress.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

namespace trefoil {
namespace {

TEST_CASE("A streamed response is complete and in order across attempts")
{
  StreamProgress progress{ .mRequest = RequestId{ "r" },
                           .mDeadline = Instant{} + Milliseconds{ 1000 } };
  BeginAttempt(progress, AttemptId{ "a1" });
  REQUIRE(AcceptToken(progress, { .mAttempt = AttemptId{ "a1" }, .mIndex = 0, .mText = "x" }) ==
          TokenResult::kForward);

  SECTION("a duplicate token is dropped")
  {
    CHECK(AcceptToken(progress, { .mAttempt = AttemptId{ "a1" }, .mIndex = 0, .mText = "x" }) ==
          TokenResult::kDrop);
  }
  SECTION("a token after a gap fails the attempt")
  {
    CHECK(AcceptToken(progress, { .mAttempt = AttemptId{ "a1" }, .mIndex = 2, .mText = "z" }) ==
          TokenResult::kGap);
  }
  SECTION("after the server is lost, another attempt continues the response")
  {
    REQUIRE(DecideRetry(progress, Instant{}) == RetryDecision::kRetry);
    BeginAttempt(progress, AttemptId{ "a2" });

    SECTION("a late token of the first attempt is dropped")
    {
      CHECK(AcceptToken(progress, { .mAttempt = AttemptId{ "a1" }, .mIndex = 1, .mText = "y" }) ==
            TokenResult::kDrop);
    }
    SECTION("the next token of the second attempt is forwarded")
    {
      CHECK(AcceptToken(progress, { .mAttempt = AttemptId{ "a2" }, .mIndex = 1, .mText = "y" }) ==
            TokenResult::kForward);
      CHECK(progress.mGenerated == "xy");
    }
  }
  SECTION("no attempt follows after the deadline")
  {
    CHECK(DecideRetry(progress, progress.mDeadline) == RetryDecision::kGiveUp);
  }
  SECTION("the number of attempts is limited")
  {
    for (int i = 1; i < progress.mMaxAttempts; ++i) {
      BeginAttempt(progress, AttemptId{ "more" });
    }
    CHECK(DecideRetry(progress, Instant{}) == RetryDecision::kGiveUp);
  }
}

TEST_CASE("Late, duplicate and stale tokens never change the response")
{
  const bool holds = rc::check([] {
    StreamProgress progress;
    BeginAttempt(progress, AttemptId{ "current" });
    const auto indices =
      *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 6));
    for (const std::int64_t index : indices) {
      const bool fromOldAttempt = *rc::gen::arbitrary<bool>();
      AcceptToken(
        progress,
        { .mAttempt = AttemptId{ fromOldAttempt ? "old" : "current" },
          .mIndex = index,
          .mText = std::string(1, fromOldAttempt ? '!' : static_cast<char>('a' + index)) });
    }
    RC_ASSERT(std::string{ "abcdef" }.starts_with(progress.mGenerated));
    RC_ASSERT(progress.mGenerated.size() == static_cast<std::size_t>(progress.mTokens));
  });
  CHECK(holds);
}

} // namespace
} // namespace trefoil
