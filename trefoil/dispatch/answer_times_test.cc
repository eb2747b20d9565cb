#include "trefoil/dispatch/answer_times.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const Instant kStart{ std::chrono::hours{ 1 } };
constexpr std::chrono::seconds kSecond{ 1 };

// Guards against requests that a host takes shortly before it ends, and cuts (LOST).
SCENARIO("a host that stops gets a request")
{
  AnswerTimes times;
  const Instant end = kStart + 8 * kSecond;
  const auto canEnd = [&](Instant aDeadline, Instant aNow) {
    return CanEndBefore(times, { .mRoute = "talk", .mDeadline = aDeadline }, end, aNow);
  };
  GIVEN("no answer of its route yet")
  {
    THEN("only its deadline tells when it ends")
    {
      CHECK(canEnd(end, kStart));
      CHECK_FALSE(canEnd(end + kSecond, kStart));
    }
  }
  GIVEN("answers of its route, the slowest of which took two seconds")
  {
    RecordAnswerTime(times, "talk", kStart - 2 * kSecond, kStart);
    RecordAnswerTime(times, "talk", kStart, kStart + kSecond);
    THEN("it is taken while twice that time is left")
    {
      CHECK(canEnd(end + kSecond, kStart + 4 * kSecond));
      CHECK_FALSE(canEnd(end + kSecond, kStart + 5 * kSecond));
      CHECK(canEnd(end, kStart + 5 * kSecond));
    }
    WHEN("they are a minute old")
    {
      const Instant later = kStart + 60 * kSecond;
      RecordAnswerTime(times, "talk", later, later + kSecond);
      RecordAnswerTime(times, "talk", later + 40 * kSecond, later + 41 * kSecond);
      THEN("newer ones count")
      {
        CHECK(CanEndBefore(times,
                           { .mRoute = "talk", .mDeadline = later + 60 * kSecond },
                           later + 43 * kSecond,
                           later + 41 * kSecond));
      }
    }
  }
}

} // namespace
} // namespace trefoil
