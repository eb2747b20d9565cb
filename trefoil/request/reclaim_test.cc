#include "trefoil/request/reclaim.h"
#include "trefoil/request/resume_queue.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace trefoil {
namespace {

const Instant kStart{};

TEST_CASE("An engine announces its termination in two seconds")
{
  ReclaimInput input{ .mPromptTokens = 8000,
                      .mTokensSoFar = 100,
                      .mMaxTokens = 120,
                      .mTokensPerSecond = 40,
                      .mTransferTokensPerSecond = 50'000,
                      .mEndsAt = kStart + Milliseconds{ 2000 } };

  SECTION("a stream that ends before the termination stays on the engine")
  {
    CHECK(PlanReclaim(input, kStart).mChoice == ReclaimChoice::kFinish);
  }
  SECTION("a longer stream is transferred with its KV cache")
  {
    input.mMaxTokens = 2000;
    CHECK(PlanReclaim(input, kStart).mChoice == ReclaimChoice::kTransfer);
    CHECK(PlanReclaim(input, kStart).mTokensRecomputed == 0);

    SECTION("unless the remaining notice period is too short for the transfer")
    {
      const ReclaimPlan plan = PlanReclaim(input, kStart + Milliseconds{ 1800 });
      CHECK(plan.mChoice == ReclaimChoice::kResume);
      CHECK(plan.mTokensRecomputed == 8100);
    }
    SECTION("unless the engine does not support the export")
    {
      input.mTransferTokensPerSecond = 0;
      CHECK(PlanReclaim(input, kStart).mChoice == ReclaimChoice::kResume);
    }
  }
  SECTION("a stream with an unknown rate is not expected to end in time")
  {
    input.mTokensPerSecond = 0;
    CHECK(PlanReclaim(input, kStart).mChoice == ReclaimChoice::kTransfer);
  }
}

TEST_CASE("Tokens are recomputed only if the notice period is too short to avoid it")
{
  const bool holds = rc::check([] {
    const ReclaimInput input{ .mPromptTokens = *rc::gen::inRange<std::int64_t>(0, 100'000),
                              .mTokensSoFar = *rc::gen::inRange<std::int64_t>(0, 1000),
                              .mMaxTokens = *rc::gen::inRange<std::int64_t>(0, 2000),
                              .mTokensPerSecond = *rc::gen::inRange(0, 100) * 1.0,
                              .mTransferTokensPerSecond = *rc::gen::inRange(0, 100'000) * 1.0,
                              .mEndsAt = kStart + Milliseconds{ *rc::gen::inRange(0, 10'000) } };
    const ReclaimPlan plan = PlanReclaim(input, kStart);
    const double notice = std::chrono::duration<double>(input.mEndsAt - kStart).count();
    const auto context = static_cast<double>(input.mPromptTokens + input.mTokensSoFar);
    const auto left = static_cast<double>(input.mMaxTokens - input.mTokensSoFar);
    if (plan.mChoice == ReclaimChoice::kFinish) {
      RC_ASSERT(left <= input.mTokensPerSecond * notice);
    }
    if (plan.mChoice == ReclaimChoice::kTransfer) {
      RC_ASSERT(context <= input.mTransferTokensPerSecond * notice);
    }
    if (plan.mChoice == ReclaimChoice::kResume) {
      RC_ASSERT(context >= input.mTransferTokensPerSecond * (notice - 0.1) * 0.79);
    }
  });
  CHECK(holds);
}

TEST_CASE("After many reclaims at the same time, resumptions are limited")
{
  ResumeQueue queue;
  for (std::uint64_t ticket = 1; ticket <= 10; ++ticket) {
    Enter(queue, { .mDeadline = kStart + Milliseconds{ 1000 - ticket }, .mTicket = ticket });
  }

  SECTION("resumptions with the earliest deadlines start first, up to the limit")
  {
    CHECK(Grant(queue, 30) == std::vector<std::uint64_t>{ 10, 9, 8 });
    CHECK(Grant(queue, 30).empty());

    SECTION("the next resumption starts when a running one has its first token")
    {
      Leave(queue, 9);
      CHECK(Grant(queue, 30) == std::vector<std::uint64_t>{ 7 });
    }
    SECTION("a resumption that left the queue is skipped")
    {
      Leave(queue, 7);
      Leave(queue, 10);
      CHECK(Grant(queue, 30) == std::vector<std::uint64_t>{ 6 });
    }
  }
  SECTION("a host without live streams may still run two resumptions")
  {
    CHECK(Grant(queue, 0).size() == 2);
  }
}

TEST_CASE("Running resumptions never exceed the limit and none is lost")
{
  const bool holds = rc::check([] {
    ResumeQueue queue;
    std::uint64_t entered = 0;
    std::size_t ended = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
    for (const int step : steps) {
      if (step == 0) {
        Enter(queue, { .mDeadline = kStart, .mTicket = ++entered });
      } else if (step == 1) {
        Grant(queue, 50);
      } else if (!queue.mRunning.empty()) {
        Leave(queue, *queue.mRunning.begin());
        ++ended;
      }
      RC_ASSERT(queue.mRunning.size() <= 5U);
      RC_ASSERT(queue.mRunning.size() + queue.mWaiting.size() + ended == entered);
    }
  });
  CHECK(holds);
}

} // namespace
} // namespace trefoil
