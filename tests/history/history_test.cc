#include "tests/history/history.h"

#include <catch2/catch.hpp>

namespace trefoil::history {
namespace {

const Instant kStart{};
const Instant kLater = kStart + Milliseconds{ 1 };

std::string
KindOf(const History& aHistory)
{
  return ToText(CheckHistory(aHistory));
}

TEST_CASE("The checker joins what callers were told with what ran")
{
  History history{
    .mCalls = { { .mKey = "k", .mVerdict = Verdict::kRan, .mBody = "ok", .mAnsweredAt = kLater } },
    .mExecutions = { { .mKey = "k", .mBody = "ok", .mAt = kStart } }
  };
  CallerCall& call = history.mCalls[0];

  SECTION("a request that ran once is right")
  {
    CHECK(KindOf(history).empty());
  }
  SECTION("one that ran twice is wrong")
  {
    history.mExecutions.push_back(history.mExecutions[0]);
    CHECK(KindOf(history) == "ran_twice k\n");
  }
  SECTION("'not run' is wrong once it ran")
  {
    call.mVerdict = Verdict::kNotRun;
    CHECK(KindOf(history) == "false_not_run k\n");
    SECTION("and right before")
    {
      history.mExecutions[0].mAt = kLater + Milliseconds{ 1 };
      CHECK(KindOf(history).empty());
    }
  }
  SECTION("'ran' is wrong if it did not")
  {
    history.mExecutions.clear();
    CHECK(KindOf(history) == "false_ran k\n");
  }
  SECTION("'may have run' is always right")
  {
    call.mVerdict = Verdict::kMayHaveRun;
    CHECK(KindOf(history).empty());
  }
  SECTION("another request's answer is wrong")
  {
    call.mBody = "other";
    CHECK(KindOf(history) == "foreign_answer k\n");
  }
  SECTION("an accepted request has to come to its end")
  {
    call.mAccepted = true;
    CHECK(KindOf(history) == "unfinished k\n");
  }
  SECTION("a revision never goes back on a host")
  {
    history.mRevisions = { { .mHost = "h1", .mService = "s", .mRevision = 5, .mAt = kStart },
                           { .mHost = "h2", .mService = "s", .mRevision = 4, .mAt = kLater } };
    CHECK(KindOf(history).empty());
    history.mRevisions[1].mHost = "h1";
    CHECK(KindOf(history) == "revision_reverted h1 s\n");
  }
}

} // namespace
} // namespace trefoil::history
