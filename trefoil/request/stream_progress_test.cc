#include "trefoil/request/stream_progress.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

namespace trefoil {
namespace {

TEST_CASE("A stream's answer is whole, whatever its attempts send")
{
  StreamProgress progress{ .mRequest = RequestId{ "r" },
                           .mDeadline = Instant{} + Milliseconds{ 1000 } };
  BeginAttempt(progress, AttemptId{ "a1" });
  REQUIRE(Accept(progress, { .mAttempt = AttemptId{ "a1" }, .mIndex = 0, .mText = "x" }) ==
          TokenFate::kForward);

  SECTION("a repeated token is dropped")
  {
    CHECK(Accept(progress, { .mAttempt = AttemptId{ "a1" }, .mIndex = 0, .mText = "x" }) ==
          TokenFate::kDrop);
  }
  SECTION("a token after a gap breaks the attempt")
  {
    CHECK(Accept(progress, { .mAttempt = AttemptId{ "a1" }, .mIndex = 2, .mText = "z" }) ==
          TokenFate::kGap);
  }
  SECTION("when the server is lost, another attempt goes on from there")
  {
    REQUIRE(AfterFailure(progress, Instant{}) == NextStep::kRetry);
    BeginAttempt(progress, AttemptId{ "a2" });

    SECTION("a late token of the first attempt is dropped")
    {
      CHECK(Accept(progress, { .mAttempt = AttemptId{ "a1" }, .mIndex = 1, .mText = "y" }) ==
            TokenFate::kDrop);
    }
    SECTION("the next token of the second one is taken")
    {
      CHECK(Accept(progress, { .mAttempt = AttemptId{ "a2" }, .mIndex = 1, .mText = "y" }) ==
            TokenFate::kForward);
      CHECK(progress.mGenerated == "xy");
    }
  }
  SECTION("no attempt follows after the deadline")
  {
    CHECK(AfterFailure(progress, progress.mDeadline) == NextStep::kGiveUp);
  }
  SECTION("attempts are bounded")
  {
    for (int i = 1; i < progress.mMaxAttempts; ++i) {
      BeginAttempt(progress, AttemptId{ "more" });
    }
    CHECK(AfterFailure(progress, Instant{}) == NextStep::kGiveUp);
  }
}

TEST_CASE("Tokens that arrive late, twice or from old attempts never change the answer")
{
  const bool holds = rc::check([] {
    StreamProgress progress;
    BeginAttempt(progress, AttemptId{ "current" });
    const auto indices =
      *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 6));
    for (const std::int64_t index : indices) {
      const bool foreign = *rc::gen::arbitrary<bool>();
      Accept(progress,
             { .mAttempt = AttemptId{ foreign ? "old" : "current" },
               .mIndex = index,
               .mText = std::string(1, foreign ? '!' : static_cast<char>('a' + index)) });
    }
    RC_ASSERT(std::string{ "abcdef" }.starts_with(progress.mGenerated));
    RC_ASSERT(progress.mGenerated.size() == static_cast<std::size_t>(progress.mTokens));
  });
  CHECK(holds);
}

} // namespace
} // namespace trefoil
