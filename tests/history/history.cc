#include "tests/history/history.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace trefoil::history {
namespace {

using ExecutionsByKey = std::map<std::string, std::vector<const Execution*>>;

ExecutionsByKey
GroupByKey(const std::vector<Execution>& aExecutions)
{
  ExecutionsByKey groups;
  for (const Execution& execution : aExecutions) {
    groups[execution.mKey].push_back(&execution);
  }
  return groups;
}

void
CheckAnswer(const CallerCall& aCall,
            const std::vector<const Execution*>& aExecutions,
            std::vector<Violation>& aViolations)
{
  const auto ranBeforeAnswer = [&aCall](const Execution* aExecution) {
    return aExecution->mAt <= aCall.mAnsweredAt;
  };
  const auto sameBody = [&aCall](const Execution* aExecution) {
    return aExecution->mBody == aCall.mBody;
  };
  const bool ran = std::ranges::any_of(aExecutions, ranBeforeAnswer);
  if (aCall.mVerdict == Verdict::kNotRun && ran) {
    aViolations.push_back({ .mKind = ViolationKind::kFalseNotRun, .mSubject = aCall.mKey });
  }
  if (aCall.mVerdict == Verdict::kRan && !ran) {
    aViolations.push_back({ .mKind = ViolationKind::kFalseRan, .mSubject = aCall.mKey });
  }
  if (aCall.mVerdict == Verdict::kRan && ran && std::ranges::none_of(aExecutions, sameBody)) {
    aViolations.push_back({ .mKind = ViolationKind::kForeignAnswer, .mSubject = aCall.mKey });
  }
  if (aCall.mAccepted && !aCall.mComplete) {
    aViolations.push_back({ .mKind = ViolationKind::kUnfinished, .mSubject = aCall.mKey });
  }
}

void
CheckRevisions(std::vector<ObservedRevision> aRevisions, std::vector<Violation>& aViolations)
{
  std::ranges::sort(aRevisions, {}, &ObservedRevision::mAt);
  std::map<std::string, std::uint64_t> highestRevisions;
  for (const ObservedRevision& observed : aRevisions) {
    const std::string subject = observed.mHost + " " + observed.mService;
    std::uint64_t& revision = highestRevisions[subject];
    if (observed.mRevision < revision) {
      aViolations.push_back({ .mKind = ViolationKind::kRevisionReverted, .mSubject = subject });
    }
    revision = std::max(revision, observed.mRevision);
  }
}

} // namespace

std::vector<Violation>
CheckHistory(const History& aHistory)
{
  std::vector<Violation> violations;
  ExecutionsByKey executions = GroupByKey(aHistory.mExecutions);
  for (const auto& [key, runs] : executions) {
    if (runs.size() > 1) {
      violations.push_back({ .mKind = ViolationKind::kRanTwice, .mSubject = key });
    }
  }
  for (const CallerCall& call : aHistory.mCalls) {
    CheckAnswer(call, executions[call.mKey], violations);
  }
  CheckRevisions(aHistory.mRevisions, violations);
  return violations;
}

std::string
ToText(const std::vector<Violation>& aViolations)
{
  std::string text;
  for (const Violation& violation : aViolations) {
    text +=
      fmt::format("{} {}\n", NameOf(kViolationKindNames, violation.mKind), violation.mSubject);
  }
  return text;
}

} // namespace trefoil::history
