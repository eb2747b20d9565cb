#include "trefoil/steering/refusal_record.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

// Guards against servers that crash under a part of prompts that all hosts knew and refused before
// they were killed (BUDGET).
SCENARIO("all hosts are killed while a part of prompts is refused")
{
  const ClockReading before{ .mNow = Instant{ std::chrono::hours{ 1 } },
                             .mWallNow = WallTime{ std::chrono::hours{ 500'000 } } };
  constexpr PromptPartKey kPart = 0xfedcba9876543210;
  std::map<PromptPartKey, Refusal> refusals{
    { kPart, { .mUntil = before.mNow + std::chrono::seconds{ 40 }, .mGeneration = 2, .mLevel = 1 } }
  };
  const auto readAfter = [&](Milliseconds aTime) {
    // Monotonic clocks of different processes are unrelated.
    const ClockReading after{ .mNow = Instant{ std::chrono::hours{ 7 } } + aTime,
                              .mWallNow = before.mWallNow + aTime };
    CrashTracker tracker;
    const auto record = ParseRefusalRecord(
      RenderRefusalRecord(RefusalsInForce(refusals, before.mNow), before), after);
    REQUIRE(record.ok());
    MergeEvidence(tracker, { .mRefusals = *record }, after.mNow);
    return RefusedUntil(tracker, { kPart }, after.mNow);
  };
  GIVEN("a host that starts before the refusal ends")
  {
    THEN("it refuses the part for the rest of the time")
    {
      CHECK(readAfter(std::chrono::seconds{ 10 }) ==
            Instant{ std::chrono::hours{ 7 } } + std::chrono::seconds{ 40 });
    }
  }
  GIVEN("a host that starts after the refusal has ended")
  {
    THEN("it does not refuse the part")
    {
      CHECK_FALSE(readAfter(std::chrono::seconds{ 41 }).has_value());
    }
  }
  GIVEN("a host whose time of day is far behind")
  {
    THEN("it refuses the part for the longest time of a refusal at most")
    {
      CHECK(readAfter(std::chrono::hours{ -20 }) ==
            Instant{ std::chrono::hours{ 7 } } + std::chrono::hours{ -20 } + kMaxRefusal);
    }
  }
  GIVEN("a request with the part that was answered before")
  {
    refusals.at(kPart).mAnswered = true;
    THEN("the part is not refused")
    {
      CHECK_FALSE(readAfter(Milliseconds{ 0 }).has_value());
    }
  }
}

SCENARIO("the store returns a record of refused parts that is none")
{
  const ClockReading clock{ .mNow = SuspendAwareNow(), .mWallNow = WallNow() };
  for (const char* text : { "",
                            "[]",
                            "{}",
                            R"({"parts":{"x":{}}})",
                            R"({"parts":{"00":1}})",
                            R"({"parts":{"00":{"until_ms":"soon"}}})" }) {
    CHECK_FALSE(ParseRefusalRecord(text, clock).ok());
  }
}

} // namespace
} // namespace trefoil
