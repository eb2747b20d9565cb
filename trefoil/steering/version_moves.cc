#include "trefoil/steering/version_moves.h"

#include "trefoil/base/store_revision.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <fmt/format.h>
#include <sstream>
#include <utility>

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
// The fractions of the order's time after which all requests go to a new version that has answered
// enough of them, and after which the move is decided. In between, requests to the other versions
// end, and a fault that shows under the whole load is noticed.
constexpr double kSwitchShare = 0.8;
constexpr double kDecisionShare = 0.9;
// The fraction of the order's time for which the new version gets all requests before it completes.
constexpr double kMinSwitchingShare = 0.05;
// Servers that crash register again within a few seconds. A service without a server of another
// version for longer has only the target left.
constexpr Milliseconds kOthersGoneAfter{ 5'000 };
// Time from one call to the store for a move to the next: for a call without an answer, after a
// refused one, and at least between the reads of a host that was not told of the decision in time.
constexpr Milliseconds kCallTimeout{ 1'500 };
constexpr Milliseconds kRetryDelay{ 250 };
constexpr Milliseconds kOverdueReadInterval{ 5'000 };

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

// Returns whether a decision is about the recorded order. After the store was restored from a copy,
// the same order has another revision.
bool
IsSameOrder(const VersionMove& aMove, const MoveDecision& aDecision)
{
  return aDecision.mOrder == aMove.mOrder && (aDecision.mRevision == aMove.mRevision ||
                                              EraOf(aDecision.mRevision) != EraOf(aMove.mRevision));
}

// Raises the stage. Returns whether it changed.
bool
RaiseStage(VersionMove& aMove, MoveStage aStage, Instant aNow)
{
  if (aStage <= aMove.mStage) {
    return false;
  }
  aMove.mStage = aStage;
  aMove.mStageSince = aNow;
  aMove.mCompletes = aMove.mCompletes && !IsDecided(aStage);
  return true;
}

Instant
TimeOfShare(const VersionMove& aMove, double aShare)
{
  return aMove.mSeenAt +
         std::chrono::duration_cast<Instant::duration>(aShare * aMove.mOrder.mTimeLimit);
}

// Returns the stage that the record is to have.
MoveStage
StageToRecord(const VersionMove& aMove)
{
  return aMove.mCompletes ? MoveStage::kCompleted : aMove.mStage;
}

MoveDecision
DecisionOf(const VersionMove& aMove, MoveStage aStage)
{
  return { .mOrder = aMove.mOrder, .mRevision = aMove.mRevision, .mStage = aStage };
}

double
TargetShare(const VersionMove& aMove)
{
  switch (aMove.mStage) {
    case MoveStage::kTrial:
      // The move may have been rolled back before this host started.
      return aMove.mRecordKnown ? kCanaryShare : 0.0;
    case MoveStage::kSwitching:
    case MoveStage::kCompleted:
      return 1.0;
    case MoveStage::kRolledBack:
      break;
  }
  return 0.0;
}

} // namespace

bool
IsDecided(MoveStage aStage)
{
  return aStage == MoveStage::kRolledBack || aStage == MoveStage::kCompleted;
}

bool
NeedsAllVersions(const VersionMove& aMove)
{
  const bool othersLeave =
    aMove.mStage == MoveStage::kCompleted && !aMove.mOthersAbsentSince.has_value();
  return !IsDecided(aMove.mStage) || aMove.mWrittenState != StateOf(aMove.mStage) || othersLeave;
}

VersionMoveState
StateOf(MoveStage aStage)
{
  switch (aStage) {
    case MoveStage::kTrial:
    case MoveStage::kSwitching:
      break;
    case MoveStage::kRolledBack:
      return VersionMoveState::kRolledBack;
    case MoveStage::kCompleted:
      return VersionMoveState::kCompleted;
  }
  return VersionMoveState::kRunning;
}

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
  aMoves.mMoves[aOrder.mService] = VersionMove{ .mOrder = aOrder,
                                                .mRevision = aRevision,
                                                .mSeenAt = aNow,
                                                .mStageSince = aNow,
                                                .mBaseline = aOutcomes };
  return true;
}

void
OnStoreRestored(VersionMoves& aMoves)
{
  for (auto& [service, move] : aMoves.mMoves) {
    move.mRecordKnown = false;
    move.mRecordRevision = 0;
    move.mRecordedStage.reset();
    move.mWrittenState.reset();
    move.mStatusRevision = 0;
    move.mNextCallAt = {};
  }
}

bool
EvaluateMove(VersionMove& aMove,
             const std::map<VersionId, VersionOutcomes>& aOutcomes,
             Instant aNow)
{
  if (IsDecided(aMove.mStage) || aMove.mCompletes) {
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
    return RaiseStage(aMove, MoveStage::kRolledBack, aNow);
  }
  const bool isTimeUp = HasPassed(TimeOfShare(aMove, kDecisionShare), aNow);
  if (aMove.mStage == MoveStage::kSwitching) {
    const Instant::duration minSwitching =
      std::chrono::duration_cast<Instant::duration>(kMinSwitchingShare * aMove.mOrder.mTimeLimit);
    aMove.mCompletes = isTimeUp && HasPassed(aMove.mStageSince + minSwitching, aNow);
    return false;
  }
  if (!HasPassed(TimeOfShare(aMove, kSwitchShare), aNow)) {
    return false;
  }
  if (Summarize(target).mAnswers >= kMinAnswers) {
    return RaiseStage(aMove, MoveStage::kSwitching, aNow);
  }
  return isTimeUp && RaiseStage(aMove, MoveStage::kRolledBack, aNow);
}

bool
ApplyDecision(VersionMoves& aMoves, const MoveDecision& aDecision, Instant aNow)
{
  const auto found = aMoves.mMoves.find(aDecision.mOrder.mService);
  return found != aMoves.mMoves.end() && IsSameOrder(found->second, aDecision) &&
         RaiseStage(found->second, aDecision.mStage, aNow);
}

std::vector<MoveDecision>
DecisionsToTell(const VersionMoves& aMoves)
{
  std::vector<MoveDecision> decisions;
  for (const auto& [service, move] : aMoves.mMoves) {
    if (move.mStage != MoveStage::kTrial) {
      decisions.push_back(DecisionOf(move, move.mStage));
    }
  }
  return decisions;
}

void
ObserveVersions(VersionMoves& aMoves, const ServerRegistry& aServers, Instant aNow)
{
  std::set<ServiceId> withOthers;
  for (const auto& [id, server] : aServers.mServers) {
    const auto move = aMoves.mMoves.find(server.mService);
    if (move != aMoves.mMoves.end() && server.mVersion != move->second.mOrder.mTarget) {
      withOthers.insert(server.mService);
    }
  }
  for (auto& [service, move] : aMoves.mMoves) {
    if (withOthers.contains(service)) {
      move.mOthersAbsentSince.reset();
    } else if (!move.mOthersAbsentSince.has_value()) {
      move.mOthersAbsentSince = aNow;
    }
  }
}

std::map<ServiceId, VersionSteering>
SteeringOf(const VersionMoves& aMoves, Instant aNow)
{
  std::map<ServiceId, VersionSteering> steering;
  for (const auto& [service, move] : aMoves.mMoves) {
    VersionSteering& entry = steering[service];
    entry.mTarget = move.mOrder.mTarget;
    const bool isAlone = move.mOthersAbsentSince.has_value() &&
                         HasPassed(*move.mOthersAbsentSince + kOthersGoneAfter, aNow);
    entry.mTargetShare = isAlone && move.mStage != MoveStage::kRolledBack ? 1.0 : TargetShare(move);
  }
  return steering;
}

std::string
MoveRecordKey(const ServiceId& aService)
{
  return fmt::format("version_moves/{}", aService.Value());
}

std::string
RenderMoveStageRecord(const MoveStageRecord& aRecord)
{
  const MoveDecision& decision = aRecord.mDecision;
  Poco::JSON::Object object;
  object.set("service", decision.mOrder.mService.Value());
  object.set("target", decision.mOrder.mTarget.Value());
  object.set("time_limit_ms", decision.mOrder.mTimeLimit.count());
  // JSON numbers do not hold 64 bits everywhere.
  object.set("order_revision", std::to_string(decision.mRevision));
  object.set("stage", std::string{ NameOf(kMoveStageNames, decision.mStage) });
  object.set("started_unix_ms", UnixMilliseconds(aRecord.mStartedAt));
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

absl::StatusOr<MoveStageRecord>
ParseMoveStageRecord(const std::string& aText)
{
  try {
    const auto object = Poco::JSON::Parser{}.parse(aText).extract<Poco::JSON::Object::Ptr>();
    const auto stage = ValueOf(kMoveStageNames, object->getValue<std::string>("stage"));
    if (!stage.has_value()) {
      return absl::DataLossError("a record of a version move has an unknown stage");
    }
    return MoveStageRecord{
      .mDecision = { .mOrder = { .mService = ServiceId{ object->getValue<std::string>("service") },
                                 .mTarget = VersionId{ object->getValue<std::string>("target") },
                                 .mTimeLimit = Milliseconds{ object->getValue<std::int64_t>(
                                   "time_limit_ms") } },
                     .mRevision = object->getValue<std::int64_t>("order_revision"),
                     .mStage = *stage },
      .mStartedAt = FromUnixMilliseconds(object->getValue<std::int64_t>("started_unix_ms"))
    };
  } catch (const Poco::Exception& error) {
    return absl::DataLossError(error.displayText());
  }
}

std::optional<MoveCall>
NextMoveCall(VersionMove& aMove, bool aHoldsDuty, const ClockReading& aClock)
{
  if (!HasPassed(aMove.mNextCallAt, aClock.mNow)) {
    return std::nullopt;
  }
  if (!aMove.mRecordKnown) {
    aMove.mNextCallAt = aClock.mNow + kCallTimeout;
    return ReadMoveStage{};
  }
  const Instant::duration overdue = aClock.mNow - TimeOfShare(aMove, 1);
  if (!aHoldsDuty && !IsDecided(aMove.mStage) && overdue >= Instant::duration::zero()) {
    // Reads become rare if nobody decides.
    aMove.mNextCallAt = aClock.mNow + std::max<Instant::duration>(kOverdueReadInterval, overdue);
    return ReadMoveStage{};
  }
  if (!aHoldsDuty) {
    return std::nullopt;
  }
  if (aMove.mRecordedStage != StageToRecord(aMove)) {
    aMove.mNextCallAt = aClock.mNow + kCallTimeout;
    const auto elapsed =
      std::chrono::duration_cast<WallTime::duration>(aClock.mNow - aMove.mSeenAt);
    return WriteMoveStage{ .mRecord = { .mDecision = DecisionOf(aMove, StageToRecord(aMove)),
                                        .mStartedAt = aClock.mWallNow - elapsed },
                           .mExpected = aMove.mRecordRevision };
  }
  if (aMove.mWrittenState != StateOf(aMove.mStage)) {
    aMove.mNextCallAt = aClock.mNow + kCallTimeout;
    return WriteMoveStatus{ .mState = StateOf(aMove.mStage), .mExpected = aMove.mStatusRevision };
  }
  return std::nullopt;
}

bool
OnMoveStageRead(VersionMove& aMove, const StoredText& aStored, const ClockReading& aClock)
{
  if (!std::exchange(aMove.mRecordKnown, true)) {
    aMove.mNextCallAt = {};
  }
  aMove.mRecordRevision = aStored.mRevision;
  aMove.mRecordedStage.reset();
  const auto record = ParseMoveStageRecord(aStored.mText);
  if (aStored.mRevision == 0 || !record.ok() || !IsSameOrder(aMove, record->mDecision)) {
    return false;
  }
  // The host that recorded the start can have seen the order earlier than this one.
  const auto elapsed =
    std::chrono::duration_cast<Instant::duration>(aClock.mWallNow - record->mStartedAt);
  aMove.mSeenAt = std::min(aMove.mSeenAt, aClock.mNow - elapsed);
  aMove.mRecordedStage = record->mDecision.mStage;
  return RaiseStage(aMove, record->mDecision.mStage, aClock.mNow);
}

bool
OnMoveStageWritten(VersionMove& aMove,
                   const MoveStageRecord& aRecord,
                   std::int64_t aRevision,
                   Instant aNow)
{
  if (!IsSameOrder(aMove, aRecord.mDecision)) {
    // The service has another order by now.
    aMove.mRecordKnown = false;
    return false;
  }
  aMove.mNextCallAt = {};
  aMove.mRecordRevision = aRevision;
  aMove.mRecordedStage = aRecord.mDecision.mStage;
  return RaiseStage(aMove, aRecord.mDecision.mStage, aNow);
}

void
OnMoveStatusWritten(VersionMove& aMove, VersionMoveState aState, std::int64_t aRevision)
{
  aMove.mNextCallAt = {};
  aMove.mWrittenState = aState;
  aMove.mStatusRevision = aRevision;
}

void
OnMoveStatusConflict(VersionMove& aMove,
                     VersionMoveState aState,
                     const std::string& aText,
                     const StoredText& aStored)
{
  aMove.mNextCallAt = {};
  aMove.mStatusRevision = aStored.mRevision;
  if (aStored.mText == aText && aStored.mRevision > aMove.mRevision) {
    // An earlier write of the same state was executed although it got no answer.
    aMove.mWrittenState = aState;
    return;
  }
  // Another holder may have decided meanwhile.
  aMove.mRecordKnown = false;
}

void
OnMoveCallFailed(VersionMove& aMove, bool aMayHaveRun, Instant aNow)
{
  aMove.mNextCallAt = aNow + kRetryDelay;
  aMove.mRecordKnown = aMove.mRecordKnown && !aMayHaveRun;
}

} // namespace trefoil
