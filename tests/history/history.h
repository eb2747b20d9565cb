// What callers were told and what backend servers really did, and whether the two agree.
//
//   History history;
//   history.mCalls.push_back({ .mKey = "k1", .mVerdict = Verdict::kRan, ... });
//   history.mExecutions.push_back({ .mKey = "k1", ... });
//   std::vector<Violation> violations = CheckHistory(history);
//
// All times are of one monotonic clock: callers and stand-ins run on one machine.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/base/verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoil::history {

// One sending of a request by a caller.
struct CallerCall
{
  std::string mKey;
  // Nothing if the caller got no answer.
  std::optional<Verdict> mVerdict;
  std::string mBody;
  // The system had accepted the request, and the answer's end mark came.
  bool mAccepted = false;
  bool mWhole = false;
  Instant mAnsweredAt;
};

// One effect on a backend server.
struct Execution
{
  std::string mKey;
  // What the backend server answered.
  std::string mBody;
  Instant mAt;
};

// A document's revision that a host showed to be in force.
struct RevisionSeen
{
  std::string mHost;
  std::string mService;
  std::uint64_t mRevision = 0;
  Instant mAt;
};

struct History
{
  std::vector<CallerCall> mCalls;
  std::vector<Execution> mExecutions;
  std::vector<RevisionSeen> mRevisions;
};

enum class ViolationKind
{
  kRanTwice,
  // A caller was told "not run" after the request had run.
  kFalseNotRun,
  // A caller was told "ran" and it did not run.
  kFalseRan,
  // A caller's answer is not the one that the backend server gave to its request.
  kForeignAnswer,
  // An accepted request did not come to its end.
  kUnfinished,
  // A host showed an older revision after a newer one.
  kRevisionReverted,
};

inline constexpr NameTable<ViolationKind, 6> kViolationKindNames{ {
  { ViolationKind::kRanTwice, "ran_twice" },
  { ViolationKind::kFalseNotRun, "false_not_run" },
  { ViolationKind::kFalseRan, "false_ran" },
  { ViolationKind::kForeignAnswer, "foreign_answer" },
  { ViolationKind::kUnfinished, "unfinished" },
  { ViolationKind::kRevisionReverted, "revision_reverted" },
} };

struct Violation
{
  ViolationKind mKind = ViolationKind::kRanTwice;
  // The key, or host and service.
  std::string mSubject;
};

// Checks a history of non-idempotent requests and of configuration.
std::vector<Violation>
CheckHistory(const History& aHistory);

// Returns the violations as lines, for the message of a failed test.
std::string
ToText(const std::vector<Violation>& aViolations);

} // namespace trefoil::history
