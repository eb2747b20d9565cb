#include "trefoil/node/internal/attempt_meter.h"

#include "trefoil/base/digest.h"
#include "trefoil/node/outcome_buffer.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr std::size_t kMaxTokenGaps = 4096;
constexpr double kTokenGapQuantile = 0.95;

double
ToMilliseconds(Instant::duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace

AttemptMeter::AttemptMeter(const TrafficContext& aContext, const AttemptMeterOptions& aOptions)
  : mContext(aContext)
  , mOutcome{ .mService = aOptions.mService,
              .mVersion = aOptions.mServer->mVersion,
              .mZone = aOptions.mServer->mZone,
              .mServer = aOptions.mServer->mServer,
              .mRoute = aOptions.mRoute,
              .mRequestDigest = Digest64(aOptions.mIdentity) }
  , mStartedAt(Now())
  , mLastTokenAt(mStartedAt)
{
}

void
AttemptMeter::RecordToken()
{
  const Instant now = Now();
  if (mOutcome.mFirstToken < 0) {
    mOutcome.mFirstToken = ToMilliseconds(now - mStartedAt);
  } else if (mTokenGaps.size() < kMaxTokenGaps) {
    mTokenGaps.push_back(ToMilliseconds(now - mLastTokenAt));
  }
  mLastTokenAt = now;
}

void
AttemptMeter::ReportOutcome(OutcomeKind aKind)
{
  if (mContext.mOutcomes == nullptr) {
    return;
  }
  mOutcome.mKind = aKind;
  if (aKind == OutcomeKind::kGood && mOutcome.mFirstToken < 0) {
    mOutcome.mFirstToken = ToMilliseconds(Now() - mStartedAt);
  }
  if (!mTokenGaps.empty()) {
    const auto index =
      static_cast<std::size_t>(kTokenGapQuantile * static_cast<double>(mTokenGaps.size() - 1));
    std::nth_element(mTokenGaps.begin(),
                     mTokenGaps.begin() + static_cast<std::ptrdiff_t>(index),
                     mTokenGaps.end());
    mOutcome.mTokenGap = mTokenGaps[index];
  }
  mContext.mOutcomes->Add(mOutcome);
}

OutcomeKind
OutcomeOf(const Failure& aFailure)
{
  if (aFailure.mVerdict == Verdict::kNotRun) {
    return OutcomeKind::kNotCounted;
  }
  return absl::IsUnavailable(aFailure.mStatus) ? OutcomeKind::kLost : OutcomeKind::kError;
}

OutcomeKind
OutcomeOfBrokenStream(const absl::Status& aStatus, Instant aDeadline)
{
  if (HasPassed(aDeadline, Now())) {
    return OutcomeKind::kNotCounted;
  }
  return absl::IsUnavailable(aStatus) ? OutcomeKind::kLost : OutcomeKind::kError;
}

OutcomeKind
OutcomeOf(const HttpResponse& aAnswer)
{
  constexpr int kHttpServerError = 500;
  return aAnswer.mStatus >= kHttpServerError ? OutcomeKind::kError : OutcomeKind::kGood;
}

std::string
RouteLabel(const HttpRequest& aRequest)
{
  const std::string_view path = PathOf(aRequest.mTarget);
  return aRequest.mMethod + " " + std::string{ path.substr(0, path.find('/', 1)) };
}

} // namespace trefoil
