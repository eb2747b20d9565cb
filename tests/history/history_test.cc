#include "tests/history/history.h"

#include <catch2/catch.hpp>

namespace trefoil::history {
namespace {

const Instant kStart{};
const Instant kLater = kStart + Milliseconds{ 1 };

std::string
ViolationText(const History& aHistory)
{
  return ToText(CheckHistory(aHistory));
}

TEST_CASE("The checker compares the answers that callers received with the executions")
{
  History history{
    .mCalls = { { .mKey = "k", .mVerdict = Verdict::kRan, .mBody = "ok", .mAnsweredAt = kLater } },
    .mExecutions = { { .mKey = "k", .mBody = "ok", .mAt = kStart } }
  };
  CallerCall& call = history.mCalls[0];

  SECTION("a request that ran once is no violation")
  {
    CHECK(ViolationText(history).empty());
  }
  SECTION("a request that ran twice is a violation")
  {
    history.mExecutions.push_back(history.mExecutions[0]);
    CHECK(ViolationText(history) == "ran_twice k\n");
  }
  SECTION("'not run' is a violation after the request ran")
  {
    call.mVerdict = Verdict::kNotRun;
    CHECK(ViolationText(history) == "false_not_run k\n");
    SECTION("and no violation before it ran")
    {
      history.mExecutions[0].mAt = kLater + Milliseconds{ 1 };
      CHECK(ViolationText(history).empty());
    }
  }
  SECTION("'ran' is a violation if the request did not run")
  {
    history.mExecutions.clear();
    CHECK(ViolationText(history) == "false_ran k\n");
  }
  SECTION("'may have run' is never a violation")
  {
    call.mVerdict = Verdict::kMayHaveRun;
    CHECK(ViolationText(history).empty());
  }
  SECTION("the body of another request's answer is a violation")
  {
    call.mBody = "other";
    CHECK(ViolationText(history) == "foreign_answer k\n");
  }
  SECTION("an incomplete answer to an accepted request is a violation")
  {
    call.mAccepted = true;
    CHECK(ViolationText(history) == "unfinished k\n");
  }
  SECTION("a revision that decreases on one host is a violation")
  {
    history.mRevisions = { { .mHost = "h1", .mService = "s", .mRevision = 5, .mAt = kStart },
                           { .mHost = "h2", .mService = "s", .mRevision = 4, .mAt = kLater } };
    CHECK(ViolationText(history).empty());
    history.mRevisions[1].mHost = "h1";
    CHECK(ViolationText(history) == "revision_reverted h1 s\n");
  }
}

} // namespace
} // namespace trefoil::history
