#include "trefoil/steering/usage_duty.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace trefoil {
namespace {

// A call that failed is repeated after this.
constexpr Milliseconds kRetryPause{ 300 };
// Tasks are kept for so many windows after they are late, so that none is taken up again.
constexpr std::int64_t kWindowsKept = 4;

UsageTask*
Find(UsageDuty& aDuty, std::int64_t aWindow)
{
  const auto found = aDuty.mTasks.find(aWindow);
  return found == aDuty.mTasks.end() ? nullptr : &found->second;
}

} // namespace

std::vector<UsageAction>
NextUsageActions(UsageDuty& aDuty,
                 const UsageTimes& aTimes,
                 WallTime aWallNow,
                 Instant aNow,
                 Milliseconds aCallLimit,
                 const CountsOfWindow& aCounts)
{
  const std::int64_t now = UnixMilliseconds(aWallNow);
  const std::int64_t window = aTimes.mWindow.count();
  const std::int64_t last = (now - aTimes.mSettle.count()) / window - 1;
  const std::int64_t first = (now - aTimes.mLateAfter.count()) / window;
  std::vector<UsageAction> actions;
  for (std::int64_t number = first; number <= last; ++number) {
    const auto [entry, fresh] = aDuty.mTasks.try_emplace(number);
    if (fresh) {
      entry->second.mReport = { .mWindow = number, .mCounts = aCounts(number) };
    }
  }
  aDuty.mTasks.erase(aDuty.mTasks.begin(), aDuty.mTasks.lower_bound(first - kWindowsKept));
  for (auto& [number, task] : aDuty.mTasks) {
    if (number < first || task.mPhase == UsagePhase::kSent || !HasPassed(task.mNextAt, aNow)) {
      continue;
    }
    task.mNextAt = aNow + aCallLimit;
    actions.push_back({ .mPhase = task.mPhase, .mReport = task.mReport });
  }
  return actions;
}

void
OnUsageRecorded(UsageDuty& aDuty, std::int64_t aWindow, StoreOutcome aOutcome, Instant aNow)
{
  UsageTask* task = Find(aDuty, aWindow);
  if (task == nullptr || task->mPhase != UsagePhase::kCounted) {
    return;
  }
  task->mNextAt = aNow;
  switch (aOutcome) {
    case StoreOutcome::kDone:
      task->mPhase = UsagePhase::kRecorded;
      break;
    case StoreOutcome::kConflict:
    case StoreOutcome::kUnknown:
      task->mPhase = UsagePhase::kUnsure;
      break;
    case StoreOutcome::kNotFound:
    case StoreOutcome::kHistoryGone:
    case StoreOutcome::kRefused:
      task->mNextAt = aNow + kRetryPause;
      break;
  }
}

void
OnUsageRead(UsageDuty& aDuty,
            std::int64_t aWindow,
            StoreOutcome aOutcome,
            const UsageReport& aReport,
            Instant aNow)
{
  UsageTask* task = Find(aDuty, aWindow);
  if (task == nullptr || task->mPhase != UsagePhase::kUnsure) {
    return;
  }
  task->mNextAt = aNow + kRetryPause;
  if (aOutcome == StoreOutcome::kDone) {
    task->mReport = aReport;
    task->mPhase = UsagePhase::kRecorded;
    task->mNextAt = aNow;
  } else if (aOutcome == StoreOutcome::kNotFound) {
    task->mPhase = UsagePhase::kCounted;
  }
}

void
OnUsageSent(UsageDuty& aDuty, std::int64_t aWindow, bool aAccepted, Instant aNow)
{
  UsageTask* task = Find(aDuty, aWindow);
  if (task == nullptr || task->mPhase != UsagePhase::kRecorded) {
    return;
  }
  if (aAccepted) {
    task->mPhase = UsagePhase::kSent;
  } else {
    task->mNextAt = aNow + kRetryPause;
  }
}

std::string
UsageKey(std::int64_t aWindow)
{
  return "usage/" + std::to_string(aWindow);
}

std::string
RenderUsage(const UsageReport& aReport)
{
  Poco::JSON::Object counts;
  for (const auto& [account, requests] : aReport.mCounts) {
    counts.set(account.Value(), requests);
  }
  Poco::JSON::Object object;
  object.set("window", aReport.mWindow);
  object.set("counts", counts);
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

absl::StatusOr<UsageReport>
ParseUsage(const std::string& aText)
{
  try {
    const auto object = Poco::JSON::Parser{}.parse(aText).extract<Poco::JSON::Object::Ptr>();
    UsageReport report{ .mWindow = object->getValue<std::int64_t>("window") };
    const auto counts = object->getObject("counts");
    if (counts.isNull()) {
      return absl::DataLossError("a usage record has no counts");
    }
    for (const std::string& account : counts->getNames()) {
      report.mCounts[ClientAccountId{ account }] = counts->getValue<std::int64_t>(account);
    }
    return report;
  } catch (const Poco::Exception& error) {
    return absl::DataLossError(error.displayText());
  }
}

} // namespace trefoil
