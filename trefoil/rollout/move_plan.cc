#include "trefoil/rollout/move_plan.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr int kPermillePerPercent = 10;
// Bounds of the time that a step takes. The steps share six tenths of the move's time.
constexpr Milliseconds kShortestStep{ 10'000 };
constexpr Milliseconds kLongestStep{ 600'000 };
constexpr std::int64_t kStepTimeTenths = 6;
constexpr std::int64_t kTenths = 10;
// A step of a service with few requests may rise to this share of the target, after this part of
// its time, by this factor at a time.
constexpr int kMaxEarlyPermille = 200;
constexpr int kEarlyLook = 4;
constexpr std::uint64_t kMaxRise = 10;

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

// Returns the first version that the document wants and that has neither proved itself nor been
// withdrawn; null if there is none.
const VersionSpec*
NextVersion(const MoveRecord& aRecord, const ServiceDocument& aDocument)
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
WantedShares(const ServiceDocument& aDocument)
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
Begin(const MoveRecord& aRecord,
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
  next.mEndsAt = aSpec.mMoveBy.value_or(aNow + kDefaultMoveTime);
  next.mReason = MoveReason::kNone;
  next.mFigures = {};
  std::erase_if(next.mWithdrawn, [&aSpec](const WithdrawnVersion& aWithdrawn) {
    return aWithdrawn.mVersion == aSpec.mVersion;
  });
  return next;
}

void
KeepEnded(MoveRecord& aRecord, WallTime aNow)
{
  aRecord.mEnded.push_back({ .mVersion = aRecord.mVersion,
                             .mPhase = aRecord.mPhase,
                             .mReason = aRecord.mReason,
                             .mDocumentRevision = aRecord.mDocumentRevision,
                             .mStartedAt = aRecord.mStartedAt,
                             .mEndedAt = aNow,
                             .mFigures = aRecord.mFigures });
  if (aRecord.mEnded.size() > kMaxEndedMoves) {
    aRecord.mEnded.erase(aRecord.mEnded.begin());
  }
}

MoveRecord
Withdraw(const MoveRecord& aRecord, MoveReason aReason, const MoveFigures& aFigures, WallTime aNow)
{
  MoveRecord next = aRecord;
  next.mPhase = MovePhase::kWithdrawn;
  next.mReason = aReason;
  next.mFigures = aFigures;
  next.mSharePermille = 0;
  next.mWithdrawn.push_back({ .mVersion = aRecord.mVersion, .mSpecDigest = aRecord.mSpecDigest });
  KeepEnded(next, aNow);
  return next;
}

MoveRecord
Finish(const MoveRecord& aRecord, const MoveFigures& aFigures, WallTime aNow)
{
  MoveRecord next = aRecord;
  next.mPhase = MovePhase::kDone;
  next.mFigures = aFigures;
  next.mSharePermille = aRecord.mTargetPermille;
  next.mSettled = SharesOf(aRecord.mSettled, aRecord.mVersion, aRecord.mTargetPermille);
  std::erase_if(next.mSettled, [](const VersionShare& aShare) { return aShare.mPermille == 0; });
  KeepEnded(next, aNow);
  return next;
}

MoveRecord
EnterStep(const MoveRecord& aRecord, int aStep, const MoveFigures& aFigures)
{
  MoveRecord next = aRecord;
  next.mStep = aStep;
  next.mFigures = aFigures;
  const int share =
    aRecord.mTargetPermille * kStepPermille[static_cast<std::size_t>(aStep)] / kWholePermille;
  // A share that rose for want of requests does not fall with the next step.
  const int least = aStep > aRecord.mStep ? aRecord.mSharePermille : 1;
  next.mSharePermille = std::max(least, share);
  return next;
}

MoveFigures
FiguresOf(const Assessment& aAssessment)
{
  const Finding& finding = aAssessment.mLikely;
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
IsDoubtful(const Assessment& aAssessment)
{
  return aAssessment.mLikely.mFault != VersionFault::kNone;
}

bool
HasEnough(const MoveRecord& aRecord, const StepView& aView)
{
  const Instant ends = StepEndsAt(aRecord, aView.mStepAt);
  const Assessment& assessment = aView.mAssessment;
  if (!HasPassed(ends, aView.mNow) || IsDoubtful(assessment)) {
    return false;
  }
  if (assessment.mNewRequests >= kStepRequests[static_cast<std::size_t>(aRecord.mStep)]) {
    return true;
  }
  const bool waited = HasPassed(ends + (ends - aView.mStepAt), aView.mNow);
  return waited && assessment.mNewRequests >= kFewRequests && assessment.mNewErrors == 0;
}

// Returns the record with a larger share in the same step, where too few requests come for the
// step's time. What a faulty version could harm stays bounded by the requests that the step needs.
std::optional<MoveRecord>
AfterFewRequests(const MoveRecord& aRecord, const StepView& aView)
{
  const Instant ends = StepEndsAt(aRecord, aView.mStepAt);
  const Assessment& assessment = aView.mAssessment;
  const int most = aRecord.mTargetPermille * kMaxEarlyPermille / kWholePermille;
  const bool early = HasPassed(aView.mStepAt + (ends - aView.mStepAt) / kEarlyLook, aView.mNow);
  if (!early || IsDoubtful(assessment) || assessment.mOldRequests == 0 ||
      aRecord.mSharePermille >= most) {
    return std::nullopt;
  }
  const auto needed = kStepRequests[static_cast<std::size_t>(aRecord.mStep)];
  const std::uint64_t likely = (assessment.mNewRequests + 1) * kEarlyLook;
  if (likely * 2 > needed) {
    return std::nullopt;
  }
  const std::uint64_t factor = std::clamp<std::uint64_t>(needed / likely, 2, kMaxRise);
  MoveRecord next = aRecord;
  next.mSharePermille = std::min(most, aRecord.mSharePermille * static_cast<int>(factor));
  next.mFigures = FiguresOf(assessment);
  return next;
}

std::optional<MoveRecord>
AfterStop(const MoveRecord& aRecord, const MoveFigures& aFigures, WallTime aNow)
{
  MoveRecord next = EnterStep(aRecord, 0, aFigures);
  next.mStops = aRecord.mStops + 1;
  if (next.mStops >= kMaxStops) {
    return Withdraw(next, MoveReason::kStoppedByHosts, aFigures, aNow);
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
PlanMove(const MoveRecord& aRecord,
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
    return Withdraw(aRecord, MoveReason::kNotWanted, aRecord.mFigures, aNow);
  }
  MoveRecord next = aRecord;
  next.mDocumentRevision = aDocumentRevision;
  if (aRecord.mSettled.empty()) {
    // There is nothing to compare the first versions with.
    next.mSettled = WantedShares(aDocument);
    return next.mSettled.empty() ? std::nullopt : std::optional{ next };
  }
  if (const VersionSpec* spec = NextVersion(aRecord, aDocument)) {
    return Begin(aRecord, *spec, aDocumentRevision, aNow);
  }
  const auto wanted = WantedShares(aDocument);
  const bool proved = std::ranges::all_of(
    wanted, [&aRecord](const VersionShare& aShare) { return IsSettled(aRecord, aShare.mVersion); });
  if (!proved || wanted.empty() || wanted == aRecord.mSettled) {
    return std::nullopt;
  }
  next.mSettled = wanted;
  return next;
}

Instant
StepEndsAt(const MoveRecord& aRecord, Instant aStepAt)
{
  const auto whole = std::chrono::duration_cast<Milliseconds>(aRecord.mEndsAt - aRecord.mStartedAt);
  const auto steps = static_cast<std::int64_t>(kStepPermille.size());
  return aStepAt +
         std::clamp(whole * kStepTimeTenths / (kTenths * steps), kShortestStep, kLongestStep);
}

std::optional<MoveRecord>
DecideMove(const MoveRecord& aRecord, const StepView& aView)
{
  if (aRecord.mPhase != MovePhase::kMoving) {
    return std::nullopt;
  }
  const MoveFigures figures = FiguresOf(aView.mAssessment);
  if (aView.mAssessment.mWorst.mFault != VersionFault::kNone) {
    return Withdraw(aRecord, ReasonOf(aView.mAssessment.mWorst.mFault), figures, aView.mWallNow);
  }
  // A host's alarm and a likely fault in the evidence of all hosts are two independent signs.
  if (aView.mStopped && IsDoubtful(aView.mAssessment)) {
    return Withdraw(aRecord, ReasonOf(aView.mAssessment.mLikely.mFault), figures, aView.mWallNow);
  }
  if (aView.mStopped) {
    return AfterStop(aRecord, figures, aView.mWallNow);
  }
  const bool isLast = aRecord.mStep + 1 == static_cast<int>(kStepPermille.size());
  if (HasEnough(aRecord, aView)) {
    return isLast ? Finish(aRecord, figures, aView.mWallNow)
                  : EnterStep(aRecord, aRecord.mStep + 1, figures);
  }
  if (auto next = AfterFewRequests(aRecord, aView)) {
    return next;
  }
  if (aView.mWallNow + kDecisionMargin >= aRecord.mEndsAt) {
    return Withdraw(aRecord, MoveReason::kTimeUp, figures, aView.mWallNow);
  }
  return std::nullopt;
}

} // namespace trefoil
