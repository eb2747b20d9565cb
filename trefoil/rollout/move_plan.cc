#include "trefoil/rollout/move_plan.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr int kPermillePerPercent = 10;
// Bounds of a step's duration. All steps together take six tenths of the move's duration.
constexpr Milliseconds kMinStepDuration{ 10'000 };
constexpr Milliseconds kMaxStepDuration{ 600'000 };
constexpr std::int64_t kStepTimeTenths = 6;
constexpr std::int64_t kTenths = 10;
// With low traffic, the share may rise within a step, up to kMaxEarlyPermille of the target. It
// is checked after 1/kEarlyCheckDivisor of the step's duration and rises by at most
// kMaxRiseFactor at a time.
constexpr int kMaxEarlyPermille = 200;
constexpr int kEarlyCheckDivisor = 4;
constexpr std::uint64_t kMaxRiseFactor = 10;

const VersionSpec*
FindVersion(const ServiceDocument& aDocument, const VersionId& aVersion)
{
  const auto found = std::ranges::find(aDocument.mVersions, aVersion, &VersionSpec::mVersion);
  return found == aDocument.mVersions.end() ? nullptr : &*found;
}

bool
IsSettled(const MoveRecord& aRecord, const VersionId& aVersion)
{
  return std::ranges::any_of(aRecord.mSettled, [&](const VersionShare& aShare) {
    return aShare.mVersion == aVersion && aShare.mPermille > 0;
  });
}

bool
IsWithdrawn(const MoveRecord& aRecord, const VersionSpec& aSpec)
{
  return std::ranges::any_of(aRecord.mWithdrawn, [&](const WithdrawnVersion& aWithdrawn) {
    return aWithdrawn.mVersion == aSpec.mVersion && aWithdrawn.mSpecDigest == SpecDigest(aSpec);
  });
}

// Returns the first version with a share in the document that is neither settled nor withdrawn;
// nullptr if there is none.
const VersionSpec*
NextVersionToMove(const MoveRecord& aRecord, const ServiceDocument& aDocument)
{
  for (const VersionSpec& spec : aDocument.mVersions) {
    if (spec.mSharePercent > 0 && !IsSettled(aRecord, spec.mVersion) &&
        !IsWithdrawn(aRecord, spec)) {
      return &spec;
    }
  }
  return nullptr;
}

std::vector<VersionShare>
TargetShares(const ServiceDocument& aDocument)
{
  std::vector<VersionShare> shares;
  for (const VersionSpec& spec : aDocument.mVersions) {
    if (spec.mSharePercent > 0) {
      shares.push_back(
        { .mVersion = spec.mVersion, .mPermille = spec.mSharePercent * kPermillePerPercent });
    }
  }
  return shares;
}

MoveRecord
BeginMove(const MoveRecord& aRecord,
          const VersionSpec& aSpec,
          std::uint64_t aDocumentRevision,
          WallTime aNow)
{
  MoveRecord next = aRecord;
  next.mPhase = MovePhase::kMoving;
  next.mDocumentRevision = aDocumentRevision;
  next.mVersion = aSpec.mVersion;
  next.mSpecDigest = SpecDigest(aSpec);
  next.mTargetPermille = aSpec.mSharePercent * kPermillePerPercent;
  next.mStep = 0;
  next.mSharePermille = std::max(1, next.mTargetPermille * kStepPermille[0] / kWholePermille);
  next.mStops = 0;
  next.mStartedAt = aNow;
  next.mEndsAt = aSpec.mMoveBy.value_or(aNow + kDefaultMoveDuration);
  next.mReason = MoveReason::kNone;
  next.mStatistics = {};
  std::erase_if(next.mWithdrawn, [&aSpec](const WithdrawnVersion& aWithdrawn) {
    return aWithdrawn.mVersion == aSpec.mVersion;
  });
  return next;
}

void
AppendEndedMove(MoveRecord& aRecord, WallTime aNow)
{
  aRecord.mEnded.push_back({ .mVersion = aRecord.mVersion,
                             .mPhase = aRecord.mPhase,
                             .mReason = aRecord.mReason,
                             .mDocumentRevision = aRecord.mDocumentRevision,
                             .mStartedAt = aRecord.mStartedAt,
                             .mEndedAt = aNow,
                             .mStatistics = aRecord.mStatistics });
  if (aRecord.mEnded.size() > kMaxEndedMoves) {
    aRecord.mEnded.erase(aRecord.mEnded.begin());
  }
}

MoveRecord
WithdrawVersion(const MoveRecord& aRecord,
                MoveReason aReason,
                const MoveStatistics& aStatistics,
                WallTime aNow)
{
  MoveRecord next = aRecord;
  next.mPhase = MovePhase::kWithdrawn;
  next.mReason = aReason;
  next.mStatistics = aStatistics;
  next.mSharePermille = 0;
  next.mWithdrawn.push_back({ .mVersion = aRecord.mVersion, .mSpecDigest = aRecord.mSpecDigest });
  AppendEndedMove(next, aNow);
  return next;
}

MoveRecord
FinishMove(const MoveRecord& aRecord, const MoveStatistics& aStatistics, WallTime aNow)
{
  MoveRecord next = aRecord;
  next.mPhase = MovePhase::kDone;
  next.mStatistics = aStatistics;
  next.mSharePermille = aRecord.mTargetPermille;
  next.mSettled = TrafficShares(aRecord.mSettled, aRecord.mVersion, aRecord.mTargetPermille);
  std::erase_if(next.mSettled, [](const VersionShare& aShare) { return aShare.mPermille == 0; });
  AppendEndedMove(next, aNow);
  return next;
}

MoveRecord
EnterStep(const MoveRecord& aRecord, int aStep, const MoveStatistics& aStatistics)
{
  MoveRecord next = aRecord;
  next.mStep = aStep;
  next.mStatistics = aStatistics;
  const int share =
    aRecord.mTargetPermille * kStepPermille[static_cast<std::size_t>(aStep)] / kWholePermille;
  // A share that was raised because of low traffic is not lowered by the next step.
  const int minPermille = aStep > aRecord.mStep ? aRecord.mSharePermille : 1;
  next.mSharePermille = std::max(minPermille, share);
  return next;
}

MoveStatistics
StatisticsOf(const Assessment& aAssessment)
{
  const Finding& finding = aAssessment.mSuspected;
  return { .mNewRequests = aAssessment.mNewRequests,
           .mNewErrors = aAssessment.mNewErrors,
           .mOldRequests = aAssessment.mOldRequests,
           .mOldErrors = aAssessment.mOldErrors,
           .mRoute = finding.mRoute,
           .mPValue = finding.mPValue,
           .mEffect = finding.mEffect };
}

MoveReason
ReasonOf(VersionFault aFault)
{
  switch (aFault) {
    case VersionFault::kNone:
      return MoveReason::kNone;
    case VersionFault::kErrors:
      return MoveReason::kErrors;
    case VersionFault::kFirstToken:
      return MoveReason::kFirstToken;
    case VersionFault::kTokenGap:
      return MoveReason::kTokenGap;
    case VersionFault::kServersLost:
      return MoveReason::kServersLost;
  }
  return MoveReason::kNone;
}

bool
HasSuspectedFault(const Assessment& aAssessment)
{
  return aAssessment.mSuspected.mFault != VersionFault::kNone;
}

bool
IsStepComplete(const MoveRecord& aRecord, const MoveStepStatus& aStatus)
{
  const Instant stepEnd = EarliestStepEnd(aRecord, aStatus.mStepStartedAt);
  const Assessment& assessment = aStatus.mAssessment;
  if (!HasPassed(stepEnd, aStatus.mNow) || HasSuspectedFault(assessment)) {
    return false;
  }
  if (assessment.mNewRequests >= kMinStepRequests[static_cast<std::size_t>(aRecord.mStep)]) {
    return true;
  }
  const bool isOvertime = HasPassed(stepEnd + (stepEnd - aStatus.mStepStartedAt), aStatus.mNow);
  return isOvertime && assessment.mNewRequests >= kMinLowTrafficRequests &&
         assessment.mNewErrors == 0;
}

// Returns the record with a larger share in the same step if the step is projected to get less
// than half of its required requests; otherwise std::nullopt. The impact of a faulty version
// stays bounded by the number of requests that the step requires.
std::optional<MoveRecord>
RaiseShareForLowTraffic(const MoveRecord& aRecord, const MoveStepStatus& aStatus)
{
  const Instant stepEnd = EarliestStepEnd(aRecord, aStatus.mStepStartedAt);
  const Assessment& assessment = aStatus.mAssessment;
  const int maxPermille = aRecord.mTargetPermille * kMaxEarlyPermille / kWholePermille;
  const bool isEarlyCheckDue = HasPassed(
    aStatus.mStepStartedAt + (stepEnd - aStatus.mStepStartedAt) / kEarlyCheckDivisor, aStatus.mNow);
  if (!isEarlyCheckDue || HasSuspectedFault(assessment) || assessment.mOldRequests == 0 ||
      aRecord.mSharePermille >= maxPermille) {
    return std::nullopt;
  }
  const auto needed = kMinStepRequests[static_cast<std::size_t>(aRecord.mStep)];
  const std::uint64_t projectedRequests = (assessment.mNewRequests + 1) * kEarlyCheckDivisor;
  if (projectedRequests * 2 > needed) {
    return std::nullopt;
  }
  const std::uint64_t factor =
    std::clamp<std::uint64_t>(needed / projectedRequests, 2, kMaxRiseFactor);
  MoveRecord next = aRecord;
  next.mSharePermille = std::min(maxPermille, aRecord.mSharePermille * static_cast<int>(factor));
  next.mStatistics = StatisticsOf(assessment);
  return next;
}

std::optional<MoveRecord>
RestartAfterStop(const MoveRecord& aRecord, const MoveStatistics& aStatistics, WallTime aNow)
{
  MoveRecord next = EnterStep(aRecord, 0, aStatistics);
  next.mStops = aRecord.mStops + 1;
  if (next.mStops >= kMaxLocalStops) {
    return WithdrawVersion(next, MoveReason::kStoppedByHosts, aStatistics, aNow);
  }
  return next;
}

} // namespace

std::uint64_t
SpecDigest(const VersionSpec& aSpec)
{
  const std::int64_t moveBy = aSpec.mMoveBy.has_value() ? UnixMilliseconds(*aSpec.mMoveBy) : 0;
  return Digest64(fmt::format("{} {} {}", aSpec.mVersion.Value(), aSpec.mSharePercent, moveBy));
}

std::optional<MoveRecord>
ApplyDocument(const MoveRecord& aRecord,
              const ServiceDocument& aDocument,
              std::uint64_t aDocumentRevision,
              WallTime aNow)
{
  if (aDocumentRevision < aRecord.mDocumentRevision) {
    return std::nullopt;
  }
  if (aRecord.mPhase == MovePhase::kMoving) {
    const VersionSpec* spec = FindVersion(aDocument, aRecord.mVersion);
    if (spec != nullptr && SpecDigest(*spec) == aRecord.mSpecDigest) {
      return std::nullopt;
    }
    return WithdrawVersion(aRecord, MoveReason::kNotWanted, aRecord.mStatistics, aNow);
  }
  MoveRecord next = aRecord;
  next.mDocumentRevision = aDocumentRevision;
  if (aRecord.mSettled.empty()) {
    // The first versions are settled without a move because there is no version to compare them
    // with.
    next.mSettled = TargetShares(aDocument);
    return next.mSettled.empty() ? std::nullopt : std::optional{ next };
  }
  if (const VersionSpec* spec = NextVersionToMove(aRecord, aDocument)) {
    return BeginMove(aRecord, *spec, aDocumentRevision, aNow);
  }
  const auto targetShares = TargetShares(aDocument);
  const bool allSettled = std::ranges::all_of(targetShares, [&aRecord](const VersionShare& aShare) {
    return IsSettled(aRecord, aShare.mVersion);
  });
  if (!allSettled || targetShares.empty() || targetShares == aRecord.mSettled) {
    return std::nullopt;
  }
  next.mSettled = targetShares;
  return next;
}

Instant
EarliestStepEnd(const MoveRecord& aRecord, Instant aStepStartedAt)
{
  const auto moveDuration =
    std::chrono::duration_cast<Milliseconds>(aRecord.mEndsAt - aRecord.mStartedAt);
  const auto steps = static_cast<std::int64_t>(kStepPermille.size());
  return aStepStartedAt + std::clamp(moveDuration * kStepTimeTenths / (kTenths * steps),
                                     kMinStepDuration,
                                     kMaxStepDuration);
}

std::optional<MoveRecord>
AdvanceMove(const MoveRecord& aRecord, const MoveStepStatus& aStatus)
{
  if (aRecord.mPhase != MovePhase::kMoving) {
    return std::nullopt;
  }
  const MoveStatistics statistics = StatisticsOf(aStatus.mAssessment);
  if (aStatus.mAssessment.mConfirmed.mFault != VersionFault::kNone) {
    return WithdrawVersion(
      aRecord, ReasonOf(aStatus.mAssessment.mConfirmed.mFault), statistics, aStatus.mWallNow);
  }
  // A stop by one host and a suspected fault in the evidence of all hosts together confirm the
  // fault.
  if (aStatus.mStopped && HasSuspectedFault(aStatus.mAssessment)) {
    return WithdrawVersion(
      aRecord, ReasonOf(aStatus.mAssessment.mSuspected.mFault), statistics, aStatus.mWallNow);
  }
  if (aStatus.mStopped) {
    return RestartAfterStop(aRecord, statistics, aStatus.mWallNow);
  }
  const bool isLast = aRecord.mStep + 1 == static_cast<int>(kStepPermille.size());
  if (IsStepComplete(aRecord, aStatus)) {
    return isLast ? FinishMove(aRecord, statistics, aStatus.mWallNow)
                  : EnterStep(aRecord, aRecord.mStep + 1, statistics);
  }
  if (auto next = RaiseShareForLowTraffic(aRecord, aStatus)) {
    return next;
  }
  if (aStatus.mWallNow + kDecisionMargin >= aRecord.mEndsAt) {
    return WithdrawVersion(aRecord, MoveReason::kTimeUp, statistics, aStatus.mWallNow);
  }
  return std::nullopt;
}

} // namespace trefoil
