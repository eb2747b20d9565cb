// Records the answers that callers received and the requests that backend servers executed, and
// checks that they are consistent.
//
//   History history;
//   history.mCalls.push_back({ .mKey = "k1", .mVerdict = Verdict::kRan, ... });
//   history.mExecutions.push_back({ .mKey = "k1", .mBody = "ok", ... });
//   std::vector<Violation> violations = CheckHistory(history);
//
// All times come from one monotonic clock, since callers and stand-ins run on one machine.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/base/verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoil::history {

// One attempt of a caller to send a request. Attempts of the same request have the same key.
struct CallerCall
{
  std::string mKey;
  // std::nullopt if the caller received no answer with a verdict.
  std::optional<Verdict> mVerdict;
  // The body of the answer.
  std::string mBody;
  // Whether the system had accepted the request.
  bool mAccepted = false;
  // Whether the answer's end mark arrived.
  bool mComplete = false;
  Instant mAnsweredAt;
};

// One execution of a request on a backend server.
struct Execution
{
  std::string mKey;
  // The body of the backend server's answer.
  std::string mBody;
  Instant mAt;
};

// A revision of a service document that a host reported to be in force.
struct ObservedRevision
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
  std::vector<ObservedRevision> mRevisions;
};

enum class ViolationKind
{
  kRanTwice,
  // An answer said "not run" although the request had run before.
  kFalseNotRun,
  // An answer said "ran" although the request had not run.
  kFalseRan,
  // The body of an answer is not one that a backend server returned for this request.
  kForeignAnswer,
  // The answer to an accepted request was not complete.
  kUnfinished,
  // A host reported an older revision after a newer one.
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
  // The request's key, or for kRevisionReverted "HOST SERVICE".
  std::string mSubject;
};

// Returns all inconsistencies of a history of non-idempotent requests and configuration revisions.
// A pure function.
std::vector<Violation>
CheckHistory(const History& aHistory);

// Returns one line "KIND SUBJECT" for each violation, for the message of a failed test.
std::string
ToText(const std::vector<Violation>& aViolations);

} // namespace trefoil::history
