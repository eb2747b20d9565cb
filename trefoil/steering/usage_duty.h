// Reports how many requests of each account began in each usage window.
//
//   for (const UsageAction& action :
//        NextUsageActions(duty, times, wallNow, now, callTimeout, counts)) { ... }
//   OnUsageRecorded(duty, window, outcome, now);
//
// The counts of a window are written to the store once, on condition that no other host has
// written them, and only the stored counts are sent. So every holder of the duty sends the same
// report. Plain data and pure functions; the caller performs the actions.
#pragma once

#include "trefoil/base/name_table.h"
#include "trefoil/steering/control_codec.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace trefoil {

enum class UsagePhase
{
  // The counts have to be written to the store.
  kCounted,
  // Another host has written counts, or this host's write may have succeeded: the stored counts
  // have to be read.
  kUnsure,
  // The counts are stored and have to be sent.
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
  // The earliest time of the next call: the timeout of a call in progress, or the end of a
  // retry delay.
  Instant mNextCallAt;
  // Whether the stored counts may have been lost and have to be written again.
  bool mIsRecordLost = false;
};

struct UsageDuty
{
  std::map<std::int64_t, UsageTask> mTasks;
  // Another host may have reported earlier windows with counts that the store has lost. They are
  // reported only with counts that are stored again.
  std::int64_t mFirstCountedWindow = 0;
};

struct UsageTimes
{
  Milliseconds mWindow{ 0 };
  // The counts of a window have arrived from all hosts this long after its end.
  Milliseconds mSettleTime{ 0 };
  // A report is no longer sent this long after the end of its window.
  Milliseconds mLateAfter{ 0 };
};

struct UsageAction
{
  UsagePhase mPhase = UsagePhase::kCounted;
  UsageReport mReport;
};

// Returns the requests of each account in a window, summed over all hosts.
using CountsOfWindow = std::function<std::map<ClientAccountId, std::int64_t>(std::int64_t aWindow)>;

// Returns the calls that are due. A call that is not answered within `aCallTimeout` is returned
// again.
std::vector<UsageAction>
NextUsageActions(UsageDuty& aDuty,
                 const UsageTimes& aTimes,
                 WallTime aWallNow,
                 Instant aNow,
                 Milliseconds aCallTimeout,
                 const CountsOfWindow& aCounts);

// Handles the result of writing the counts: kDone if they were written, kConflict if the store
// has other counts, kUnknown if the write may have succeeded. After another outcome the write
// is repeated.
void
OnUsageRecorded(UsageDuty& aDuty, std::int64_t aWindow, StoreOutcome aOutcome, Instant aNow);

// Handles the result of reading the stored counts: kDone with `aReport`, or kNotFound if none
// are stored. After another outcome the read is repeated.
void
OnUsageRead(UsageDuty& aDuty,
            std::int64_t aWindow,
            StoreOutcome aOutcome,
            const UsageReport& aReport,
            Instant aNow);

// Handles the answer to a report. A report that was not accepted is sent again after a delay.
void
OnUsageSent(UsageDuty& aDuty, std::int64_t aWindow, bool aAccepted, Instant aNow);

// Must be called when the store was restored from a copy. `aHoldsDuty` is whether this host has
// held the duty until now.
void
OnStoreRestored(UsageDuty& aDuty, const UsageTimes& aTimes, bool aHoldsDuty, WallTime aWallNow);

// Returns the reports whose stored counts have to be written again, unless the store has others.
// Every host that has recorded them must do so, whether or not it still holds the duty. They are
// not returned again.
std::vector<UsageReport>
TakeLostRecords(UsageDuty& aDuty);

// Returns the key of a window in the store.
std::string
UsageKey(std::int64_t aWindow);

// Returns a report as JSON, as it is stored.
std::string
RenderUsage(const UsageReport& aReport);

// Returns DataLoss if `aText` is not a valid report.
absl::StatusOr<UsageReport>
ParseUsage(const std::string& aText);

} // namespace trefoil
