#include "trefoil/steering/internal/server_limit_messages.h"

#include "trefoil/steering/internal/datagrams.h"
#include "trefoil/wire/codec.h"
#include "trefoil/wire/server_limit_conversion.h"

#include <algorithm>
#include <set>
#include <utility>

namespace trefoil {
namespace {

// Limits of other hosts that arrive within this time are forwarded together.
constexpr Milliseconds kForwardBatchDelay{ 100 };
// A limit that was forwarded is not forwarded again if it was stated less than this time after the
// forwarded statement: both aggregators of a zone receive the same reports.
constexpr Milliseconds kMinForwardInterval{ 1'000 };

void
SendToEndpoints(SteeringState& aState,
                const std::set<Endpoint>& aEndpoints,
                RelayStage aStage,
                const std::vector<LimitReport>& aReports)
{
  if (aEndpoints.empty() || aReports.empty()) {
    return;
  }
  const std::string bytes =
    Encode(ToServerLimitMessage(aState.mOptions.mHost, aStage, aReports, SuspendAwareNow()));
  for (const Endpoint& to : aEndpoints) {
    SendBytes(aState, to, bytes);
  }
}

// Returns the reports that were not forwarded yet and marks them as forwarded.
std::vector<LimitReport>
TakeNewReports(SteeringState& aState, const std::vector<LimitReport>& aReports)
{
  std::vector<LimitReport> reports;
  for (const LimitReport& report : aReports) {
    LimitReport& forwarded = aState.mForwardedLimits[report.mServer];
    const bool isNew = report.mIncarnation != forwarded.mIncarnation ||
                       report.mStated != forwarded.mStated ||
                       report.mStatedAt - forwarded.mStatedAt >= kMinForwardInterval;
    if (isNew) {
      forwarded = report;
      reports.push_back(report);
    }
  }
  std::erase_if(aState.mForwardedLimits, [&aState](const auto& aItem) {
    return !aState.mServers.mServers.contains(aItem.first);
  });
  return reports;
}

void
SendForwardedLimits(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  const RelayRecipients recipients = RelayRecipientsOf(aState.mPeers, aState.mAggregation, now);
  SendToEndpoints(aState,
                  recipients.mOtherZones,
                  RelayStage::kOtherZones,
                  std::exchange(aState.mLimitsForZones, {}));
  SendToEndpoints(
    aState, recipients.mMembers, RelayStage::kHosts, std::exchange(aState.mLimitsForMembers, {}));
}

void
ForwardLimits(SteeringState& aState, RelayStage aStage, const std::vector<LimitReport>& aReports)
{
  const std::vector<LimitReport> reports = TakeNewReports(aState, aReports);
  if (reports.empty()) {
    return;
  }
  if (aState.mLimitsForMembers.empty()) {
    aState.mLoop.CallAt(SuspendAwareNow() + kForwardBatchDelay,
                        [&aState] { SendForwardedLimits(aState); });
  }
  const auto append = [&reports](std::vector<LimitReport>& aTarget) {
    aTarget.insert(aTarget.end(), reports.begin(), reports.end());
  };
  append(aState.mLimitsForMembers);
  if (aStage == RelayStage::kZoneAggregators) {
    append(aState.mLimitsForZones);
  }
}

} // namespace

void
SendServerLimits(SteeringState& aState, const std::vector<LimitReport>& aReports)
{
  if (aReports.empty()) {
    return;
  }
  const FirstRecipients first = FirstRecipientsOf(aState, SuspendAwareNow());
  if (first.mIsAggregator) {
    ForwardLimits(aState, first.mStage, aReports);
  } else {
    SendToEndpoints(aState, first.mEndpoints, first.mStage, aReports);
  }
}

void
OnServerLimitMessage(SteeringState& aState, const ServerLimitMessage& aMessage)
{
  std::vector<LimitReport> reports = ToLimitReports(aMessage, SuspendAwareNow());
  if (aMessage.mStage == RelayStage::kZoneAggregators ||
      aMessage.mStage == RelayStage::kOtherZones) {
    ForwardLimits(aState, aMessage.mStage, reports);
  }
  aState.mTraffic.ApplyLimits(std::move(reports));
}

} // namespace trefoil
