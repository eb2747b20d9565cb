#include "trefoil/steering/usage_duty.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <sstream>
#include <utility>

namespace trefoil {
namespace {

// A failed call is repeated after this delay.
constexpr Milliseconds kRetryDelay{ 300 };
// Tasks are kept for this many windows after they have expired, so that a wall clock that jumps
// back does not start them again.
constexpr std::int64_t kWindowsKept = 4;

UsageTask*
FindTask(UsageDuty& aDuty, std::int64_t aWindow)
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
                 Milliseconds aCallTimeout,
                 const CountsOfWindow& aCounts)
{
  const std::int64_t nowMs = UnixMilliseconds(aWallNow);
  const std::int64_t windowMs = aTimes.mWindow.count();
  const std::int64_t lastWindow = (nowMs - aTimes.mSettleTime.count()) / windowMs - 1;
  const std::int64_t firstWindow = (nowMs - aTimes.mLateAfter.count()) / windowMs;
  std::vector<UsageAction> actions;
  for (std::int64_t window = firstWindow; window <= lastWindow; ++window) {
    const auto [entry, inserted] = aDuty.mTasks.try_emplace(window);
    if (inserted) {
      entry->second.mReport = { .mWindow = window, .mCounts = aCounts(window) };
      entry->second.mPhase =
        window < aDuty.mFirstCountedWindow ? UsagePhase::kUnsure : UsagePhase::kCounted;
    }
  }
  aDuty.mTasks.erase(aDuty.mTasks.begin(), aDuty.mTasks.lower_bound(firstWindow - kWindowsKept));
  for (auto& [window, task] : aDuty.mTasks) {
    if (window < firstWindow || task.mPhase == UsagePhase::kSent ||
        !HasPassed(task.mNextCallAt, aNow)) {
      continue;
    }
    task.mNextCallAt = aNow + aCallTimeout;
    actions.push_back({ .mPhase = task.mPhase, .mReport = task.mReport });
  }
  return actions;
}

void
OnUsageRecorded(UsageDuty& aDuty, std::int64_t aWindow, StoreOutcome aOutcome, Instant aNow)
{
  UsageTask* task = FindTask(aDuty, aWindow);
  if (task == nullptr || task->mPhase != UsagePhase::kCounted) {
    return;
  }
  task->mNextCallAt = aNow;
  switch (aOutcome) {
    case StoreOutcome::kDone:
      task->mPhase = UsagePhase::kRecorded;
      break;
    case StoreOutcome::kConflict:
    case StoreOutcome::kUnknown:
      task->mPhase = UsagePhase::kUnsure;
      break;
    case StoreOutcome::kNotFound:
    case StoreOutcome::kCompacted:
    case StoreOutcome::kRefused:
      task->mNextCallAt = aNow + kRetryDelay;
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
  UsageTask* task = FindTask(aDuty, aWindow);
  if (task == nullptr || task->mPhase != UsagePhase::kUnsure) {
    return;
  }
  task->mNextCallAt = aNow + kRetryDelay;
  if (aOutcome == StoreOutcome::kDone) {
    task->mReport = aReport;
    task->mPhase = UsagePhase::kRecorded;
    task->mNextCallAt = aNow;
  } else if (aOutcome == StoreOutcome::kNotFound && aWindow >= aDuty.mFirstCountedWindow) {
    task->mPhase = UsagePhase::kCounted;
  }
}

void
OnUsageSent(UsageDuty& aDuty, std::int64_t aWindow, bool aAccepted, Instant aNow)
{
  UsageTask* task = FindTask(aDuty, aWindow);
  if (task == nullptr || task->mPhase != UsagePhase::kRecorded) {
    return;
  }
  if (aAccepted) {
    task->mPhase = UsagePhase::kSent;
  } else {
    task->mNextCallAt = aNow + kRetryDelay;
  }
}

void
OnStoreRestored(UsageDuty& aDuty, const UsageTimes& aTimes, bool aHoldsDuty, WallTime aWallNow)
{
  for (auto& [window, task] : aDuty.mTasks) {
    task.mIsRecordLost = task.mPhase == UsagePhase::kRecorded || task.mPhase == UsagePhase::kSent;
  }
  if (aHoldsDuty) {
    return;
  }
  aDuty.mFirstCountedWindow =
    std::max(aDuty.mFirstCountedWindow, UnixMilliseconds(aWallNow) / aTimes.mWindow.count());
  for (auto& [window, task] : aDuty.mTasks) {
    if (task.mPhase == UsagePhase::kCounted && window < aDuty.mFirstCountedWindow) {
      task.mPhase = UsagePhase::kUnsure;
    }
  }
}

std::vector<UsageReport>
TakeLostRecords(UsageDuty& aDuty)
{
  std::vector<UsageReport> reports;
  for (auto& [window, task] : aDuty.mTasks) {
    if (std::exchange(task.mIsRecordLost, false)) {
      reports.push_back(task.mReport);
    }
  }
  return reports;
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
