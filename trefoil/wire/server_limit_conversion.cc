#include "trefoil/wire/server_limit_conversion.h"

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

// Bounds the ages in messages, so that arithmetic with them cannot overflow.
constexpr std::int64_t kMaxMilliseconds = std::int64_t{ 24 } * 3'600'000;

} // namespace

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
    const Milliseconds age{ std::clamp<std::int64_t>(entry.mAgeMilliseconds, 0, kMaxMilliseconds) };
    reports.push_back({ .mServer = entry.mServer,
                        .mIncarnation = entry.mIncarnation,
                        .mStated = { .mKind = entry.mLimited ? LimitStatement::kLimited
                                                             : LimitStatement::kUnlimited,
                                     .mPerSecond = entry.mPerSecond },
                        .mStatedAt = aNow - age });
  }
  return reports;
}

} // namespace trefoil
