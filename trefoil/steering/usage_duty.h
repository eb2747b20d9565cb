// Reports how many requests of each account began in each window of the calendar.
//
//   for (const UsageAction& action : NextUsageActions(duty, times, wallNow, now, counts)) { ... }
//   OnRecorded(duty, window, outcome, report);
//
// The counts of a window are written to the store once, under the condition that no other host
// wrote them, and only what stands there is sent, so that every holder of the duty sends the same
// report. Pure functions; the caller carries out the actions.
#pragma once

#include "trefoil/base/name_table.h"
#include "trefoil/steering/platform_codec.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace trefoil {

enum class UsagePhase
{
  // The counts are to be written.
  kCounted,
  // Another host wrote counts, or may have: they are to be read.
  kUnsure,
  // The counts stand in the store and are to be sent.
  kRecorded,
  kSent,
};

inline constexpr NameTable<UsagePhase, 4> kUsagePhaseNames{ {
  { UsagePhase::kCounted, "counted" },
  { UsagePhase::kUnsure, "unsure" },
  { UsagePhase::kRecorded, "recorded" },
  { UsagePhase::kSent, "sent" },
} };

struct UsageTask
{
  UsagePhase mPhase = UsagePhase::kCounted;
  UsageReport mReport;
  // A call is under way until then.
  Instant mNextAt;
};

struct UsageDuty
{
  std::map<std::int64_t, UsageTask> mTasks;
};

struct UsageTimes
{
  Milliseconds mWindow{ 0 };
  // After the end of a window, the hosts' counts of it are complete.
  Milliseconds mSettle{ 0 };
  // A report is due so long after the end of its window.
  Milliseconds mLateAfter{ 0 };
};

struct UsageAction
{
  UsagePhase mPhase = UsagePhase::kCounted;
  UsageReport mReport;
};

// Returns what a window's requests are, over all hosts.
using CountsOfWindow = std::function<std::map<ClientAccountId, std::int64_t>(std::int64_t aWindow)>;

// Returns the calls that are due. A call that is not answered within `aCallLimit` is repeated.
std::vector<UsageAction>
NextUsageActions(UsageDuty& aDuty,
                 const UsageTimes& aTimes,
                 WallTime aWallNow,
                 Instant aNow,
                 Milliseconds aCallLimit,
                 const CountsOfWindow& aCounts);

// The counts were written (kDone), others stand there (kConflict), or it is not known.
void
OnUsageRecorded(UsageDuty& aDuty, std::int64_t aWindow, StoreOutcome aOutcome, Instant aNow);

// The counts that stand in the store; nothing was found with `aOutcome` kNotFound.
void
OnUsageRead(UsageDuty& aDuty,
            std::int64_t aWindow,
            StoreOutcome aOutcome,
            const UsageReport& aReport,
            Instant aNow);

void
OnUsageSent(UsageDuty& aDuty, std::int64_t aWindow, bool aAccepted, Instant aNow);

std::string
UsageKey(std::int64_t aWindow);

std::string
RenderUsage(const UsageReport& aReport);

// Returns DataLoss for a text that is no report.
absl::StatusOr<UsageReport>
ParseUsage(const std::string& aText);

} // namespace trefoil
