#include "trefoil/steering/version_moves.h"

namespace trefoil {
namespace {

// The part of a service's requests that a version under trial gets: half of what may be exposed to
// a bad one.
constexpr double kTrialShare = 0.05;
// Answers of the new version from which it is judged good or bad.
constexpr std::int64_t kEnoughAnswers = 25;
constexpr std::int64_t kEnoughFailures = 4;
// A version is worse if its failures, or the mean time of its answers, exceed those of the version
// before by so much.
constexpr double kMaxExtraFailures = 0.1;
constexpr double kMaxSlowdown = 1.8;
// The part of the order's time after which a decision is due without further proof.
constexpr double kDecideBy = 0.8;

struct Means
{
  double mFailures = 0;
  double mLatencyMs = 0;
  std::int64_t mAnswers = 0;
  std::int64_t mFailed = 0;
};

Means
MeansOf(const VersionOutcomes& aOutcomes)
{
  Means means{ .mAnswers = aOutcomes.mServed + aOutcomes.mFailed, .mFailed = aOutcomes.mFailed };
  if (means.mAnswers > 0) {
    means.mFailures = static_cast<double>(aOutcomes.mFailed) / static_cast<double>(means.mAnswers);
  }
  if (aOutcomes.mServed > 0) {
    means.mLatencyMs = aOutcomes.mLatencyMs / static_cast<double>(aOutcomes.mServed);
  }
  return means;
}

bool
IsWorse(const Means& aNew, const Means& aOld)
{
  const bool fails =
    aNew.mFailed >= kEnoughFailures && aNew.mFailures > aOld.mFailures + kMaxExtraFailures;
  const bool slow = aNew.mAnswers >= kEnoughAnswers && aOld.mLatencyMs > 0 &&
                    aNew.mLatencyMs > kMaxSlowdown * aOld.mLatencyMs;
  return fails || slow;
}

} // namespace

bool
OnOrder(VersionMoves& aMoves,
        const VersionOrder& aOrder,
        std::int64_t aRevision,
        const std::map<VersionId, VersionOutcomes>& aOutcomes,
        Instant aNow)
{
  const auto found = aMoves.mMoves.find(aOrder.mService);
  if (found != aMoves.mMoves.end() && found->second.mRevision >= aRevision) {
    return false;
  }
  aMoves.mMoves[aOrder.mService] =
    VersionMove{ .mOrder = aOrder, .mRevision = aRevision, .mSeenAt = aNow, .mBefore = aOutcomes };
  return true;
}

bool
JudgeMove(VersionMove& aMove, const std::map<VersionId, VersionOutcomes>& aOutcomes, Instant aNow)
{
  if (aMove.mState != VersionMoveState::kRunning) {
    return false;
  }
  VersionOutcomes target;
  VersionOutcomes others;
  for (const auto& [version, total] : aOutcomes) {
    const auto known = aMove.mBefore.find(version);
    const VersionOutcomes before = known == aMove.mBefore.end() ? VersionOutcomes{} : known->second;
    VersionOutcomes& sum = version == aMove.mOrder.mTarget ? target : others;
    sum.mServed += total.mServed - before.mServed;
    sum.mFailed += total.mFailed - before.mFailed;
    sum.mLatencyMs += total.mLatencyMs - before.mLatencyMs;
  }
  const Means now = MeansOf(target);
  if (IsWorse(now, MeansOf(others))) {
    aMove.mState = VersionMoveState::kRolledBack;
    return true;
  }
  const auto elapsed = std::chrono::duration<double>(aNow - aMove.mSeenAt);
  if (elapsed < kDecideBy * std::chrono::duration<double>(aMove.mOrder.mWithin)) {
    return false;
  }
  aMove.mState =
    now.mAnswers >= kEnoughAnswers ? VersionMoveState::kCompleted : VersionMoveState::kRolledBack;
  return true;
}

std::map<ServiceId, VersionSteering>
SteeringOf(const VersionMoves& aMoves)
{
  std::map<ServiceId, VersionSteering> steering;
  for (const auto& [service, move] : aMoves.mMoves) {
    VersionSteering& entry = steering[service];
    entry.mTarget = move.mOrder.mTarget;
    entry.mTargetShare = move.mState == VersionMoveState::kRunning     ? kTrialShare
                         : move.mState == VersionMoveState::kCompleted ? 1.0
                                                                       : 0.0;
  }
  return steering;
}

} // namespace trefoil
