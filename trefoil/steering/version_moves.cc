#include "trefoil/steering/version_moves.h"

namespace trefoil {
namespace {

// The fraction of a service's requests that a version under evaluation gets: half of the
// fraction that may be exposed to a bad version.
constexpr double kCanaryShare = 0.05;
// Answers of the new version from which its latency can be compared and the move can complete,
// and failures from which its failure rate can be compared.
constexpr std::int64_t kMinAnswers = 25;
constexpr std::int64_t kMinFailures = 4;
// A version is worse if its failure rate exceeds that of the other versions by more than
// kMaxFailureRateIncrease, or its mean latency exceeds theirs by more than the factor
// kMaxSlowdown.
constexpr double kMaxFailureRateIncrease = 0.1;
constexpr double kMaxSlowdown = 1.8;
// The fraction of the order's time after which the move is decided by the answers so far.
constexpr double kDecisionShare = 0.8;

struct OutcomeSummary
{
  double mFailureRate = 0;
  double mMeanLatencyMs = 0;
  std::int64_t mAnswers = 0;
  std::int64_t mFailed = 0;
};

OutcomeSummary
Summarize(const VersionOutcomes& aOutcomes)
{
  OutcomeSummary summary{ .mAnswers = aOutcomes.mServed + aOutcomes.mFailed,
                          .mFailed = aOutcomes.mFailed };
  if (summary.mAnswers > 0) {
    summary.mFailureRate =
      static_cast<double>(aOutcomes.mFailed) / static_cast<double>(summary.mAnswers);
  }
  if (aOutcomes.mServed > 0) {
    summary.mMeanLatencyMs = aOutcomes.mLatencyMs / static_cast<double>(aOutcomes.mServed);
  }
  return summary;
}

bool
IsWorse(const OutcomeSummary& aNew, const OutcomeSummary& aOld)
{
  const bool fails =
    aNew.mFailed >= kMinFailures && aNew.mFailureRate > aOld.mFailureRate + kMaxFailureRateIncrease;
  const bool slow = aNew.mAnswers >= kMinAnswers && aOld.mMeanLatencyMs > 0 &&
                    aNew.mMeanLatencyMs > kMaxSlowdown * aOld.mMeanLatencyMs;
  return fails || slow;
}

} // namespace

bool
OnVersionOrder(VersionMoves& aMoves,
               const VersionOrder& aOrder,
               std::int64_t aRevision,
               const std::map<VersionId, VersionOutcomes>& aOutcomes,
               Instant aNow)
{
  const auto found = aMoves.mMoves.find(aOrder.mService);
  if (found != aMoves.mMoves.end() && found->second.mRevision >= aRevision) {
    return false;
  }
  aMoves.mMoves[aOrder.mService] = VersionMove{
    .mOrder = aOrder, .mRevision = aRevision, .mSeenAt = aNow, .mBaseline = aOutcomes
  };
  return true;
}

bool
EvaluateMove(VersionMove& aMove,
             const std::map<VersionId, VersionOutcomes>& aOutcomes,
             Instant aNow)
{
  if (aMove.mState != VersionMoveState::kRunning) {
    return false;
  }
  VersionOutcomes target;
  VersionOutcomes others;
  for (const auto& [version, total] : aOutcomes) {
    const auto baseline = aMove.mBaseline.find(version);
    const VersionOutcomes before =
      baseline == aMove.mBaseline.end() ? VersionOutcomes{} : baseline->second;
    VersionOutcomes& sum = version == aMove.mOrder.mTarget ? target : others;
    sum.mServed += total.mServed - before.mServed;
    sum.mFailed += total.mFailed - before.mFailed;
    sum.mLatencyMs += total.mLatencyMs - before.mLatencyMs;
  }
  const OutcomeSummary current = Summarize(target);
  if (IsWorse(current, Summarize(others))) {
    aMove.mState = VersionMoveState::kRolledBack;
    return true;
  }
  const auto elapsed = std::chrono::duration<double>(aNow - aMove.mSeenAt);
  if (elapsed < kDecisionShare * std::chrono::duration<double>(aMove.mOrder.mTimeLimit)) {
    return false;
  }
  aMove.mState =
    current.mAnswers >= kMinAnswers ? VersionMoveState::kCompleted : VersionMoveState::kRolledBack;
  return true;
}

std::map<ServiceId, VersionSteering>
SteeringOf(const VersionMoves& aMoves)
{
  std::map<ServiceId, VersionSteering> steering;
  for (const auto& [service, move] : aMoves.mMoves) {
    VersionSteering& entry = steering[service];
    entry.mTarget = move.mOrder.mTarget;
    entry.mTargetShare = move.mState == VersionMoveState::kRunning     ? kCanaryShare
                         : move.mState == VersionMoveState::kCompleted ? 1.0
                                                                       : 0.0;
  }
  return steering;
}

} // namespace trefoil
