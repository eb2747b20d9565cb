#include "trefoil/steering/version_moves.h"

#include "trefoil/base/store_revision.h"

#include <algorithm>

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
// kMaxFailureRateIncrease, or if it takes longer for the same requests by more than the factor
// kMaxSlowdown, or for those of one route by kMaxRouteSlowdown. Fewer answers suffice for the
// latter.
constexpr double kMaxFailureRateIncrease = 0.1;
constexpr double kMaxSlowdown = 1.8;
constexpr double kMaxRouteSlowdown = 2.5;
constexpr std::int64_t kMinRouteAnswers = 10;
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

// Adds the outcomes since `aBefore`.
void
AddSince(VersionOutcomes& aSum, const VersionOutcomes& aTotal, const VersionOutcomes& aBefore)
{
  aSum.mServed += aTotal.mServed - aBefore.mServed;
  aSum.mFailed += aTotal.mFailed - aBefore.mFailed;
  aSum.mLatencyMs += aTotal.mLatencyMs - aBefore.mLatencyMs;
  for (const auto& [route, total] : aTotal.mRoutes) {
    const auto found = aBefore.mRoutes.find(route);
    const RouteOutcomes before = found == aBefore.mRoutes.end() ? RouteOutcomes{} : found->second;
    aSum.mRoutes[route].mServed += total.mServed - before.mServed;
    aSum.mRoutes[route].mSpentMs += total.mSpentMs - before.mSpentMs;
  }
}

// The time that the new version took for requests, and the time that the other versions take for
// as many of the same routes.
struct LatencyComparison
{
  std::int64_t mAnswers = 0;
  double mSpentMs = 0;
  double mExpectedMs = 0;
  // Whether one route alone shows that the new version is slow.
  bool mHasSlowRoute = false;
};

// Compares by route, since the versions can have answered different mixtures of requests: of a slow
// version, the answers to short requests come first.
LatencyComparison
CompareRoutes(const VersionOutcomes& aNew, const VersionOutcomes& aOld)
{
  LatencyComparison comparison;
  for (const auto& [route, current] : aNew.mRoutes) {
    const auto old = aOld.mRoutes.find(route);
    if (old == aOld.mRoutes.end() || old->second.mServed == 0) {
      continue;
    }
    const double expected = old->second.mSpentMs / static_cast<double>(old->second.mServed) *
                            static_cast<double>(current.mServed);
    comparison.mAnswers += current.mServed;
    comparison.mSpentMs += current.mSpentMs;
    comparison.mExpectedMs += expected;
    comparison.mHasSlowRoute =
      comparison.mHasSlowRoute ||
      (std::min(current.mServed, old->second.mServed) >= kMinRouteAnswers &&
       current.mSpentMs > kMaxRouteSlowdown * expected);
  }
  return comparison;
}

bool
IsSlow(const VersionOutcomes& aNew, const VersionOutcomes& aOld)
{
  const LatencyComparison routes = CompareRoutes(aNew, aOld);
  if (routes.mAnswers > 0) {
    return routes.mHasSlowRoute ||
           (routes.mAnswers >= kMinAnswers && routes.mSpentMs > kMaxSlowdown * routes.mExpectedMs);
  }
  // Hosts of an earlier version do not count by route.
  const OutcomeSummary current = Summarize(aNew);
  const OutcomeSummary old = Summarize(aOld);
  return current.mAnswers >= kMinAnswers && old.mMeanLatencyMs > 0 &&
         current.mMeanLatencyMs > kMaxSlowdown * old.mMeanLatencyMs;
}

bool
IsWorse(const VersionOutcomes& aNew, const VersionOutcomes& aOld)
{
  const OutcomeSummary current = Summarize(aNew);
  const bool fails = current.mFailed >= kMinFailures &&
                     current.mFailureRate > Summarize(aOld).mFailureRate + kMaxFailureRateIncrease;
  return fails || IsSlow(aNew, aOld);
}

// Returns whether an order in the store is the recorded one or one that it has replaced.
bool
IsKnownOrder(const VersionMove& aMove,
             const VersionOrder& aOrder,
             std::int64_t aRevision,
             OrderSource aSource)
{
  if (EraOf(aRevision) <= EraOf(aMove.mRevision)) {
    return aRevision <= aMove.mRevision;
  }
  return aOrder == aMove.mOrder ||
         (aSource == OrderSource::kList && NumberOf(aRevision) <= NumberOf(aMove.mRevision));
}

} // namespace

bool
OnVersionOrder(VersionMoves& aMoves,
               const VersionOrder& aOrder,
               std::int64_t aRevision,
               OrderSource aSource,
               const std::map<VersionId, VersionOutcomes>& aOutcomes,
               Instant aNow)
{
  const auto found = aMoves.mMoves.find(aOrder.mService);
  if (found != aMoves.mMoves.end() && IsKnownOrder(found->second, aOrder, aRevision, aSource)) {
    if (found->second.mOrder == aOrder) {
      found->second.mRevision = std::max(found->second.mRevision, aRevision);
    }
    return false;
  }
  aMoves.mMoves[aOrder.mService] = VersionMove{
    .mOrder = aOrder, .mRevision = aRevision, .mSeenAt = aNow, .mBaseline = aOutcomes
  };
  return true;
}

void
OnStoreRestored(VersionMoves& aMoves)
{
  for (auto& [service, move] : aMoves.mMoves) {
    move.mWrittenState.reset();
    move.mNextWriteAt = {};
  }
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
    AddSince(version == aMove.mOrder.mTarget ? target : others,
             total,
             baseline == aMove.mBaseline.end() ? VersionOutcomes{} : baseline->second);
  }
  if (IsWorse(target, others)) {
    aMove.mState = VersionMoveState::kRolledBack;
    return true;
  }
  const auto elapsed = std::chrono::duration<double>(aNow - aMove.mSeenAt);
  if (elapsed < kDecisionShare * std::chrono::duration<double>(aMove.mOrder.mTimeLimit)) {
    return false;
  }
  aMove.mState = Summarize(target).mAnswers >= kMinAnswers ? VersionMoveState::kCompleted
                                                           : VersionMoveState::kRolledBack;
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
