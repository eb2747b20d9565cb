#include "trefoil/wire/server_limit_conversion.h"

#include "trefoil/wire/age.h"

#include <cmath>

namespace trefoil {
ServerLimitMessage
ToServerLimitMessage(const HostId& aHost,
                     RelayStage aStage,
                     const std::vector<LimitReport>& aReports,
                     Instant aNow)
{
  ServerLimitMessage message{ .mHost = aHost, .mStage = aStage };
  for (const LimitReport& report : aReports) {
    message.mEntries.push_back(
      { .mServer = report.mServer,
        .mIncarnation = report.mIncarnation,
        .mLimited = report.mStated.mKind == LimitStatement::kLimited,
        .mPerSecond = report.mStated.mPerSecond,
        .mAgeMilliseconds =
          std::chrono::duration_cast<Milliseconds>(aNow - report.mStatedAt).count() });
  }
  return message;
}

std::vector<LimitReport>
ToLimitReports(const ServerLimitMessage& aMessage, Instant aNow)
{
  std::vector<LimitReport> reports;
  for (const ServerLimitEntry& entry : aMessage.mEntries) {
    if (!std::isfinite(entry.mPerSecond) || entry.mPerSecond < 0) {
      continue;
    }
    reports.push_back({ .mServer = entry.mServer,
                        .mIncarnation = entry.mIncarnation,
                        .mStated = { .mKind = entry.mLimited ? LimitStatement::kLimited
                                                             : LimitStatement::kUnlimited,
                                     .mPerSecond = entry.mPerSecond },
                        .mStatedAt = aNow - BoundedAge(entry.mAgeMilliseconds) });
  }
  return reports;
}

} // namespace trefoil
