#include "trefoil/steering/merged_totals.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <rapidcheck.h>

namespace trefoil {
namespace {

const Instant kNow{ std::chrono::hours{ 1 } };
const CounterKey kQuota{ .mKind = CounterKind::kQuotaUsed, .mSubject = "club", .mVersion = {} };
const SourceId kFirst{ HostId{ "first" }, 1 };
const SourceId kSecond{ HostId{ "second" }, 1 };
constexpr Milliseconds kTimeout{ 2'000 };

std::uint64_t
Added(MergedTotals& aMerged,
      const SourceId& aSource,
      std::uint64_t aSequence,
      std::uint64_t aTotal,
      Instant aNow = kNow)
{
  return MergeTotals(aMerged, aSource, aSequence, { { kQuota, aTotal } }, aNow)[kQuota];
}

SCENARIO("two sources report the same requests")
{
  MergedTotals merged;
  CHECK(Added(merged, kFirst, 1, 9'000) == 0);
  CHECK(Added(merged, kSecond, 1, 100) == 0);
  WHEN("both report an increase")
  {
    CHECK(Added(merged, kFirst, 2, 9'050) == 50);
    THEN("it counts once")
    {
      CHECK(Added(merged, kSecond, 2, 150) == 0);
    }
    AND_WHEN("the second one is ahead with the next increase")
    {
      CHECK(Added(merged, kSecond, 2, 180) == 30);
      THEN("only the rest of it counts when the first one follows")
      {
        CHECK(Added(merged, kFirst, 3, 9'090) == 10);
      }
    }
  }
  WHEN("the first one falls silent")
  {
    CHECK(Added(merged, kFirst, 2, 9'050) == 50);
    CHECK(Added(merged, kSecond, 2, 150) == 0);
    THEN("the second one carries on without a gap")
    {
      CHECK(Added(merged, kSecond, 3, 170, kNow + kTimeout) == 20);
    }
  }
  WHEN("a message arrives late or twice")
  {
    CHECK(Added(merged, kFirst, 3, 9'050) == 50);
    THEN("it adds nothing")
    {
      CHECK(Added(merged, kFirst, 2, 9'020) == 0);
      CHECK(Added(merged, kFirst, 3, 9'050) == 0);
      CHECK(merged.mTotals.at(kQuota) == 50);
    }
  }
  WHEN("a source restarts and counts from 0 again")
  {
    CHECK(Added(merged, kFirst, 2, 9'050) == 50);
    const SourceId restarted{ kFirst.first, 2 };
    THEN("its first totals are not taken for new requests, and later increases count")
    {
      CHECK(Added(merged, restarted, 1, 20) == 0);
      CHECK(Added(merged, restarted, 2, 45) == 25);
    }
  }
  WHEN("an account appears that no source has reported before")
  {
    const CounterKey other{ .mKind = CounterKind::kQuotaUsed, .mSubject = "new", .mVersion = {} };
    THEN("it counts from the start, once")
    {
      CHECK(MergeTotals(merged, kFirst, 2, { { other, 7 } }, kNow).at(other) == 7);
      CHECK(MergeTotals(merged, kSecond, 2, { { other, 7 } }, kNow).empty());
    }
  }
}

SCENARIO("the source that is ahead is lost for good")
{
  MergedTotals merged;
  Added(merged, kFirst, 1, 0);
  Added(merged, kSecond, 1, 0);
  // The second source has missed a host for a while.
  CHECK(Added(merged, kFirst, 2, 1'000) == 1'000);
  CHECK(Added(merged, kSecond, 2, 400, kNow + kTimeout) == 0);
  WHEN("it has been silent for the timeout")
  {
    ExpireSources(merged, kTimeout, kNow + kTimeout + Milliseconds{ 1 });
    CHECK(merged.mSources.size() == 1);
    THEN("the next increase of the other one counts in full")
    {
      CHECK(Added(merged, kSecond, 3, 450, kNow + kTimeout + Milliseconds{ 500 }) == 50);
    }
  }
}

SCENARIO("a corrupted total is too large")
{
  const auto counters =
    FromCounterTotals({ { .mSubject = "club", .mTotal = std::numeric_limits<std::uint64_t>::max() },
                        { .mSubject = "other", .mTotal = 5 } });
  THEN("it is left out, and the others hold")
  {
    CHECK(counters.size() == 1);
    CHECK(counters.begin()->second == 5);
  }
}

SCENARIO("messages are lost, repeated and reordered")
{
  const bool passed = rc::check("merged totals equal what was counted", [] {
    MergedTotals merged;
    std::uint64_t truth = 0;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> inFlight;
    std::uint64_t sequence = 0;
    // Sources count the same requests from different starts.
    const std::uint64_t firstBase = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
    const std::uint64_t secondBase = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
    Added(merged, kFirst, ++sequence, firstBase);
    Added(merged, kSecond, sequence, secondBase);
    std::uint64_t counted = 0;
    for (int step = 0; step < 40; ++step) {
      truth += *rc::gen::inRange<std::uint64_t>(0, 500);
      inFlight.emplace_back(++sequence, truth);
      const auto index = *rc::gen::inRange<std::size_t>(0, inFlight.size());
      const auto [sentSequence, sentTotal] = inFlight[index];
      if (*rc::gen::inRange(0, 3) != 0) {
        const bool fromFirst = *rc::gen::arbitrary<bool>();
        counted += Added(merged,
                         fromFirst ? kFirst : kSecond,
                         sentSequence,
                         sentTotal + (fromFirst ? firstBase : secondBase));
      }
      RC_ASSERT(counted <= truth);
      RC_ASSERT(merged.mTotals.at(kQuota) == counted);
    }
    // One message of one source suffices to know everything.
    counted += Added(merged, kSecond, sequence + 1, truth + secondBase);
    RC_ASSERT(counted == truth);
  });
  CHECK(passed);
}

} // namespace
} // namespace trefoil
