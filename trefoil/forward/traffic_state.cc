#include "trefoil/forward/traffic_state.h"

#include <utility>

namespace trefoil {
namespace {

// Evidence of a crash that is recorded within this time is reported together, since many requests
// break at once.
constexpr Milliseconds kCrashReportDelay{ 10 };
// Changes of limits within this time are reported in one message.
constexpr Milliseconds kLimitReportDelay{ 50 };

} // namespace

TrafficState::TrafficState(TrafficOptions aOptions, EventLog& aLog, Metrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mConnectionPool(mLoop)
  , mRetries(MakeServiceRetryBudget(mOptions.mRetries))
  , mMemory{ .mLimits = mOptions.mMemoryLimits }
  , mRandom(std::random_device{}())
{
  mLoop.SetFailureHandler([this](std::string_view aReason) {
    mLog.Write(
      LogSeverity::kNotable, LogEvent::kInternalError, "thread=traffic reason=\"{}\"", aReason);
  });
}

void
ReportCrashEvidence(TrafficState& aState, bool aIsOwn)
{
  aState.mHasOwnEvidence = aState.mHasOwnEvidence || aIsOwn;
  if (!aState.mOnCrashEvidence || std::exchange(aState.mEvidenceDue, true)) {
    return;
  }
  aState.mLoop.CallAt(SuspendAwareNow() + kCrashReportDelay, [&aState] {
    aState.mEvidenceDue = false;
    const Instant since = std::exchange(aState.mEvidenceSentAt, SuspendAwareNow());
    CrashEvidence evidence = EvidenceChangedSince(aState.mCrashes, since);
    CountLeftOutOfReport(aState.mCrashes, evidence);
    aState.mOnCrashEvidence(std::move(evidence), std::exchange(aState.mHasOwnEvidence, false));
  });
}

std::size_t
RankForServer(const TrafficState& aState, const BackendServerId& aServer, ServerLimit& aLimit)
{
  if (!aLimit.mRank.has_value()) {
    aLimit.mRank = RankOfHost(*aState.mView->mHostList, aState.mOptions.mHost, aServer);
  }
  return *aLimit.mRank;
}

bool
IsEvacuated(const TrafficState& aState, const RegisteredServer& aServer)
{
  return aState.mView && aState.mView->mEvacuatedZones.contains(aServer.mZone);
}

RefillRate
OwnPartOfLimit(const TrafficState& aState, const BackendServerId& aServer, ServerLimit& aLimit)
{
  if (!aState.mView || !aState.mView->mHostList) {
    return {};
  }
  return PartOfLimit(aLimit.mStated.mPerSecond,
                     RankForServer(aState, aServer, aLimit),
                     aState.mView->mHostList->size());
}

ServerUse
UseOfServer(const TrafficState& aState, const RegisteredServer& aServer, ServerStatus& aStatus)
{
  if (!aState.mView || !aState.mView->mHostList) {
    return { .mInFlight = aStatus.mInFlight };
  }
  return { .mInFlight = aStatus.mInFlight,
           .mSlots = aServer.mSlots,
           .mRank = RankForServer(aState, aServer.mId, aStatus.mLimit),
           .mHosts = aState.mView->mHostList->size() };
}

void
ReportLimit(TrafficState& aState, const BackendServerId& aServer)
{
  if (aState.mChangedLimits.empty()) {
    aState.mLoop.CallAt(SuspendAwareNow() + kLimitReportDelay, [&aState] {
      std::vector<LimitReport> reports;
      for (const BackendServerId& server : std::exchange(aState.mChangedLimits, {})) {
        const auto status = aState.mServerStatuses.find(server);
        if (status != aState.mServerStatuses.end()) {
          reports.push_back(LimitReportOf(server, status->second.mLimit));
        }
      }
      if (aState.mOnLimitReports) {
        aState.mOnLimitReports(std::move(reports));
      }
    });
  }
  aState.mChangedLimits.insert(aServer);
}

QuotaParameters
QuotaParametersNow(TrafficState& aState)
{
  QuotaParameters parameters{ .mOverage = aState.mOptions.mQuotaOverage,
                              .mSlack = aState.mOptions.mQuotaSlack,
                              .mRandomValue = std::generate_canonical<double, 32>(aState.mRandom) };
  if (aState.mView) {
    parameters.mShare = aState.mView->mQuotaShare;
    parameters.mHosts = aState.mView->mHosts;
    parameters.mPropagationTime = aState.mView->mPropagationTime;
  }
  return parameters;
}

} // namespace trefoil
