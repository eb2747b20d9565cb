// Converts between the crash counts of the crash tracker and crash report messages.
//
//   CrashReport report = ToCrashReport(count);
#pragma once

#include "trefoil/request/crash_tracker.h"
#include "trefoil/wire/crash_report.h"

namespace trefoil {

inline CrashReport
ToCrashReport(const CrashCount& aCount)
{
  CrashReport report{ .mHost = aCount.mHost,
                      .mDigest = aCount.mDigest.Value(),
                      .mCleared = aCount.mCrashes.mCleared };
  for (const auto& [server, crashes] : aCount.mCrashes.mByServer) {
    report.mCrashes.push_back({ .mServer = server, .mCrashes = crashes });
  }
  return report;
}

inline CrashCount
ToCrashCount(const CrashReport& aReport)
{
  CrashCount count{ .mHost = aReport.mHost,
                    .mDigest = RequestDigest{ aReport.mDigest },
                    .mCrashes = { .mCleared = aReport.mCleared } };
  for (const ServerCrashes& crashes : aReport.mCrashes) {
    count.mCrashes.mByServer[crashes.mServer] = crashes.mCrashes;
  }
  return count;
}

} // namespace trefoil
