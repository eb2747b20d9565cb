#include "trefoil/request/reclaim.h"
#include "trefoil/request/resume_queue.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace trefoil {
namespace {

const Instant kStart{};

TEST_CASE("An engine announces that it leaves in two seconds")
{
  ReclaimView view{ .mPromptTokens = 8000,
                    .mTokensSoFar = 100,
                    .mMaxTokens = 120,
                    .mTokensPerSecond = 40,
                    .mTransferTokensPerSecond = 50'000,
                    .mEndsAt = kStart + Milliseconds{ 2000 } };

  SECTION("a stream that ends before stays")
  {
    CHECK(PlanReclaim(view, kStart).mChoice == ReclaimChoice::kFinish);
  }
  SECTION("a longer one moves with its cache")
  {
    view.mMaxTokens = 2000;
    CHECK(PlanReclaim(view, kStart).mChoice == ReclaimChoice::kTransfer);
    CHECK(PlanReclaim(view, kStart).mTokensRecomputed == 0);

    SECTION("unless the notice left is too short for the transfer")
    {
      const ReclaimPlan plan = PlanReclaim(view, kStart + Milliseconds{ 1800 });
      CHECK(plan.mChoice == ReclaimChoice::kResume);
      CHECK(plan.mTokensRecomputed == 8100);
    }
    SECTION("or the engine exports nothing")
    {
      view.mTransferTokensPerSecond = 0;
      CHECK(PlanReclaim(view, kStart).mChoice == ReclaimChoice::kResume);
    }
  }
  SECTION("one whose speed is unknown is not trusted to end in time")
  {
    view.mTokensPerSecond = 0;
    CHECK(PlanReclaim(view, kStart).mChoice == ReclaimChoice::kTransfer);
  }
}

TEST_CASE("A reclaim never recomputes tokens that the notice would have saved")
{
  const bool holds = rc::check([] {
    const ReclaimView view{ .mPromptTokens = *rc::gen::inRange<std::int64_t>(0, 100'000),
                            .mTokensSoFar = *rc::gen::inRange<std::int64_t>(0, 1000),
                            .mMaxTokens = *rc::gen::inRange<std::int64_t>(0, 2000),
                            .mTokensPerSecond = *rc::gen::inRange(0, 100) * 1.0,
                            .mTransferTokensPerSecond = *rc::gen::inRange(0, 100'000) * 1.0,
                            .mEndsAt = kStart + Milliseconds{ *rc::gen::inRange(0, 10'000) } };
    const ReclaimPlan plan = PlanReclaim(view, kStart);
    const double notice = std::chrono::duration<double>(view.mEndsAt - kStart).count();
    const auto context = static_cast<double>(view.mPromptTokens + view.mTokensSoFar);
    const auto left = static_cast<double>(view.mMaxTokens - view.mTokensSoFar);
    if (plan.mChoice == ReclaimChoice::kFinish) {
      RC_ASSERT(left <= view.mTokensPerSecond * notice);
    }
    if (plan.mChoice == ReclaimChoice::kTransfer) {
      RC_ASSERT(context <= view.mTransferTokensPerSecond * notice);
    }
    if (plan.mChoice == ReclaimChoice::kResume) {
      RC_ASSERT(context >= view.mTransferTokensPerSecond * (notice - 0.1) * 0.79);
    }
  });
  CHECK(holds);
}

TEST_CASE("After a wave of reclaims, resumptions are paced")
{
  ResumeQueue queue;
  for (std::uint64_t ticket = 1; ticket <= 10; ++ticket) {
    Enter(queue, { .mDeadline = kStart + Milliseconds{ 1000 - ticket }, .mTicket = ticket });
  }

  SECTION("the earliest deadlines go first, within the allowance")
  {
    CHECK(Grant(queue, 30) == std::vector<std::uint64_t>{ 10, 9, 8 });
    CHECK(Grant(queue, 30).empty());

    SECTION("the next one follows when one has its first token")
    {
      Leave(queue, 9);
      CHECK(Grant(queue, 30) == std::vector<std::uint64_t>{ 7 });
    }
    SECTION("one that gave up waiting is passed over")
    {
      Leave(queue, 7);
      Leave(queue, 10);
      CHECK(Grant(queue, 30) == std::vector<std::uint64_t>{ 6 });
    }
  }
  SECTION("an idle host may still resume a few")
  {
    CHECK(Grant(queue, 0).size() == 2);
  }
}

TEST_CASE("Resumptions stay within their allowance and none is lost")
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
