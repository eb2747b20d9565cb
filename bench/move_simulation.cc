#include "bench/move_simulation.h"

#include "trefoil/rollout/local_health.h"
#include "trefoil/rollout/move_duty.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <optional>
#include <random>
#include <set>

namespace trefoil::bench {
namespace {

constexpr std::size_t kHosts = 9;
constexpr std::size_t kZones = 4;
constexpr std::size_t kServersPerZone = 5;
constexpr std::int64_t kTickMilliseconds = 100;
constexpr std::int64_t kReportPeriodMilliseconds = 1'000;
constexpr std::int64_t kMillisecondsPerSecond = 1'000;
constexpr std::int64_t kReplacementDelayMilliseconds = 60'000;
constexpr std::int64_t kRestartDelayMilliseconds = 3'000;
constexpr double kNormalErrorRate = 0.002;
constexpr double kMedianFirstTokenMilliseconds = 150;
constexpr double kMedianTokenGapMilliseconds = 20;
constexpr double kLatencySigma = 0.35;
constexpr double kSlowZoneFactor = 3;
// Share of the traffic from which a version with `kErrorsUnderLoad` fails requests.
constexpr int kOverloadPermille = 300;
constexpr std::array<const char*, 3> kRoutes{ "completion", "chat", "review" };

const ServiceId kService{ "rules" };
const VersionId kOldVersion{ "v1" };
const VersionId kNewVersion{ "v2" };

struct Server
{
  BackendServerId mName;
  VersionId mVersion;
  std::size_t mZone = 0;
  // Time in milliseconds before which the server is unreachable.
  std::int64_t mDownUntil = 0;
};

struct Host
{
  HostId mName;
  LocalHealth mHealth;
  ServiceShares mShares;
};

struct Request
{
  std::uint64_t mDigest = 0;
  std::size_t mRoute = 0;
  bool mCrashesServers = false;
};

struct VersionMoveSimulation
{
  MoveExperiment mExperiment;
  std::mt19937_64 mRandom;
  std::int64_t mTimeMilliseconds = 0;
  std::shared_ptr<ServiceDocument> mDocument = std::make_shared<ServiceDocument>();
  std::vector<Server> mServers;
  std::vector<Host> mHosts{ kHosts };
  MoveDuty mDuty;
  std::uint64_t mRevision = 1;
  std::int64_t mFaultStart = 0;
  std::set<std::int64_t> mReclaimTimes;
  std::int64_t mSlowZoneStart = 0;
  bool mFaultOccurred = false;
  MoveResult mResult;
};

double
Uniform(VersionMoveSimulation& aSimulation)
{
  return std::uniform_real_distribution<double>{ 0, 1 }(aSimulation.mRandom);
}

std::size_t
RandomIndex(VersionMoveSimulation& aSimulation, std::size_t aSize)
{
  return std::uniform_int_distribution<std::size_t>{ 0, aSize - 1 }(aSimulation.mRandom);
}

Instant
MonotonicNow(const VersionMoveSimulation& aSimulation)
{
  return Instant{} + Milliseconds{ aSimulation.mTimeMilliseconds };
}

WallTime
WallClockNow(const VersionMoveSimulation& aSimulation)
{
  return FromUnixMilliseconds(aSimulation.mTimeMilliseconds);
}

AvailabilityZoneId
ZoneName(std::size_t aZone)
{
  return AvailabilityZoneId{ fmt::format("zone-{}", aZone) };
}

ServerCounts
CountServers(const VersionMoveSimulation& aSimulation)
{
  ServerCounts counts;
  for (const Server& server : aSimulation.mServers) {
    ++counts[ZoneName(server.mZone)][server.mVersion];
  }
  return counts;
}

void
AddServers(VersionMoveSimulation& aSimulation)
{
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    for (std::size_t i = 0; i < kServersPerZone; ++i) {
      for (const VersionId& version : { kOldVersion, kNewVersion }) {
        aSimulation.mServers.push_back(
          { .mName = BackendServerId{ fmt::format("{}-{}-{}", version.Value(), zone, i) },
            .mVersion = version,
            .mZone = zone });
      }
    }
  }
}

VersionMoveSimulation
MakeSimulation(const MoveExperiment& aExperiment)
{
  VersionMoveSimulation simulation{ .mExperiment = aExperiment,
                                    .mRandom = std::mt19937_64{ aExperiment.mSeed } };
  const std::int64_t moveDuration = aExperiment.mMoveDurationSeconds * kMillisecondsPerSecond;
  simulation.mDocument->mService = kService;
  simulation.mDocument->mVersions = {
    { .mVersion = kOldVersion, .mSharePercent = 0 },
    { .mVersion = kNewVersion, .mSharePercent = 100, .mMoveBy = FromUnixMilliseconds(moveDuration) }
  };
  AddServers(simulation);
  for (std::size_t i = 0; i < kHosts; ++i) {
    simulation.mHosts[i].mName = HostId{ fmt::format("h{}", i) };
  }
  simulation.mDuty = MakeMoveDuty(kService, Instant{});
  Step(simulation.mDuty,
       MoveRecordRead{
         .mRecord = { .mSettled = { { .mVersion = kOldVersion, .mPermille = kWholePermille } } },
         .mRevision = simulation.mRevision },
       Instant{});
  if (aExperiment.mBehaviour == VersionBehaviour::kErrorsLate) {
    simulation.mFaultStart =
      moveDuration / 10 +
      static_cast<std::int64_t>(Uniform(simulation) * 0.4 * static_cast<double>(moveDuration));
  }
  if (aExperiment.mReclaimWaves) {
    for (int wave = 0; wave < 4; ++wave) {
      simulation.mReclaimTimes.insert(
        static_cast<std::int64_t>(Uniform(simulation) * static_cast<double>(moveDuration)) /
        kTickMilliseconds * kTickMilliseconds);
    }
  }
  simulation.mSlowZoneStart =
    static_cast<std::int64_t>(Uniform(simulation) * 0.7 * static_cast<double>(moveDuration));
  return simulation;
}

// Reclaims without notice all servers of one zone, or each server with a probability of 53%.
void
ReclaimServers(VersionMoveSimulation& aSimulation)
{
  const bool reclaimsHalf = Uniform(aSimulation) < 0.5;
  const std::size_t zone = RandomIndex(aSimulation, kZones);
  for (Server& server : aSimulation.mServers) {
    if (reclaimsHalf ? Uniform(aSimulation) < 0.53 : server.mZone == zone) {
      server.mDownUntil = aSimulation.mTimeMilliseconds + kReplacementDelayMilliseconds;
    }
  }
}

bool
IsFaulty(const VersionMoveSimulation& aSimulation,
         const Server& aServer,
         const Request& aRequest,
         int aTrafficPermille)
{
  if (aServer.mVersion != kNewVersion || aSimulation.mTimeMilliseconds < aSimulation.mFaultStart) {
    return false;
  }
  switch (aSimulation.mExperiment.mBehaviour) {
    case VersionBehaviour::kGood:
      return false;
    case VersionBehaviour::kErrorsUnderLoad:
      return aTrafficPermille >= kOverloadPermille;
    case VersionBehaviour::kErrorsOnRoute:
      return aRequest.mRoute == 2;
    default:
      return true;
  }
}

bool
FailsRequests(VersionBehaviour aBehaviour)
{
  return aBehaviour != VersionBehaviour::kGood && aBehaviour != VersionBehaviour::kSlowFirstToken &&
         aBehaviour != VersionBehaviour::kSlowTokens && aBehaviour != VersionBehaviour::kCrashes;
}

void
SampleLatencies(VersionMoveSimulation& aSimulation,
                const Server& aServer,
                bool aFaulty,
                AttemptOutcome& aOutcome)
{
  std::lognormal_distribution<double> latencyFactor{ 0, kLatencySigma };
  aOutcome.mFirstToken = kMedianFirstTokenMilliseconds * latencyFactor(aSimulation.mRandom);
  aOutcome.mTokenGap = kMedianTokenGapMilliseconds * latencyFactor(aSimulation.mRandom);
  const double slowdown = 1 + aSimulation.mExperiment.mSlowdownPercent / 100.0;
  if (aFaulty && aSimulation.mExperiment.mBehaviour == VersionBehaviour::kSlowFirstToken) {
    aOutcome.mFirstToken *= slowdown;
  }
  if (aFaulty && aSimulation.mExperiment.mBehaviour == VersionBehaviour::kSlowTokens) {
    aOutcome.mTokenGap *= slowdown;
  }
  const bool zoneIsSlow =
    aSimulation.mExperiment.mSlowZone && aServer.mZone == 0 &&
    aSimulation.mTimeMilliseconds >= aSimulation.mSlowZoneStart &&
    aSimulation.mTimeMilliseconds < aSimulation.mSlowZoneStart + 2 * kReplacementDelayMilliseconds;
  if (zoneIsSlow) {
    aOutcome.mFirstToken *= kSlowZoneFactor;
    aOutcome.mTokenGap *= kSlowZoneFactor;
  }
}

// Runs an attempt on a server and returns its outcome. A crash makes the server unreachable for
// `kRestartDelayMilliseconds`.
AttemptOutcome
RunAttempt(VersionMoveSimulation& aSimulation,
           Server& aServer,
           const Request& aRequest,
           int aTrafficPermille)
{
  AttemptOutcome outcome{ .mService = kService,
                          .mVersion = aServer.mVersion,
                          .mZone = ZoneName(aServer.mZone),
                          .mServer = aServer.mName,
                          .mRoute = kRoutes[aRequest.mRoute],
                          .mRequestDigest = aRequest.mDigest };
  const bool faulty = IsFaulty(aSimulation, aServer, aRequest, aTrafficPermille);
  const bool isAffected =
    faulty && Uniform(aSimulation) * 100 < aSimulation.mExperiment.mFailedPercent;
  const bool isSlow = faulty && !FailsRequests(aSimulation.mExperiment.mBehaviour) &&
                      aSimulation.mExperiment.mBehaviour != VersionBehaviour::kCrashes;
  if (aSimulation.mFaultOccurred && aServer.mVersion == kNewVersion) {
    ++aSimulation.mResult.mAttemptsAfterFault;
  }
  if (isAffected || isSlow) {
    aSimulation.mFaultOccurred = true;
    ++aSimulation.mResult.mAffectedAttempts;
  }
  const bool crashes =
    isAffected && aSimulation.mExperiment.mBehaviour == VersionBehaviour::kCrashes;
  if (aRequest.mCrashesServers || crashes) {
    outcome.mKind = OutcomeKind::kLost;
    aServer.mDownUntil = aSimulation.mTimeMilliseconds + kRestartDelayMilliseconds;
  } else if ((isAffected && FailsRequests(aSimulation.mExperiment.mBehaviour)) ||
             Uniform(aSimulation) < kNormalErrorRate) {
    outcome.mKind = OutcomeKind::kError;
  } else {
    SampleLatencies(aSimulation, aServer, faulty, outcome);
  }
  return outcome;
}

VersionId
SampleVersion(VersionMoveSimulation& aSimulation, const Host& aHost)
{
  const auto shares = TrafficShares(aHost.mShares);
  double remaining = Uniform(aSimulation) * kWholePermille;
  for (const VersionShare& share : shares) {
    remaining -= share.mPermille;
    if (remaining < 0) {
      return share.mVersion;
    }
  }
  return kOldVersion;
}

// Returns a random reachable server of the version, or nullptr if there is none.
Server*
PickServer(VersionMoveSimulation& aSimulation, const VersionId& aVersion)
{
  std::vector<Server*> up;
  for (Server& server : aSimulation.mServers) {
    if (server.mVersion == aVersion && server.mDownUntil <= aSimulation.mTimeMilliseconds) {
      up.push_back(&server);
    }
  }
  return up.empty() ? nullptr : up[RandomIndex(aSimulation, up.size())];
}

void
StopMove(VersionMoveSimulation& aSimulation, std::uint64_t aNumber)
{
  ++aSimulation.mResult.mLocalStops;
  for (Host& host : aSimulation.mHosts) {
    StopVersion(host.mShares, kNewVersion, aNumber);
  }
  Step(aSimulation.mDuty, VersionStopReceived{ .mNumber = aNumber }, MonotonicNow(aSimulation));
}

void
RecordAttempt(VersionMoveSimulation& aSimulation, Host& aHost, const AttemptOutcome& aOutcome)
{
  const VersionId moving =
    aHost.mShares.mPhase == MovePhase::kMoving ? aHost.mShares.mVersion : VersionId{};
  const auto fault = RecordOutcome(aHost.mHealth, aOutcome, moving, MonotonicNow(aSimulation));
  if (fault.has_value() && aHost.mShares.mPermille > 0) {
    StopMove(aSimulation, aHost.mShares.mNumber);
  }
}

// Serves a request on a random host with up to three attempts.
void
ServeRequest(VersionMoveSimulation& aSimulation, const Request& aRequest)
{
  ++aSimulation.mResult.mRequests;
  Host& host = aSimulation.mHosts[RandomIndex(aSimulation, kHosts)];
  for (int attempt = 0; attempt < 3; ++attempt) {
    Server* server = PickServer(aSimulation, SampleVersion(aSimulation, host));
    if (server == nullptr) {
      continue;
    }
    const auto outcome = RunAttempt(aSimulation, *server, aRequest, host.mShares.mPermille);
    RecordAttempt(aSimulation, host, outcome);
    if (outcome.mKind == OutcomeKind::kGood) {
      return;
    }
  }
}

// Records lost requests on the servers that were reclaimed in this tick: for each server, each
// host loses up to three requests, in proportion to the traffic share of the server's version.
void
FailRequestsOnReclaimedServers(VersionMoveSimulation& aSimulation)
{
  for (const Server& server : aSimulation.mServers) {
    if (server.mDownUntil != aSimulation.mTimeMilliseconds + kReplacementDelayMilliseconds) {
      continue;
    }
    for (Host& host : aSimulation.mHosts) {
      const int permille = server.mVersion == kNewVersion ? host.mShares.mPermille
                                                          : kWholePermille - host.mShares.mPermille;
      for (int request = 0; request < 3; ++request) {
        if (Uniform(aSimulation) * kWholePermille < permille) {
          RecordAttempt(aSimulation,
                        host,
                        { .mService = kService,
                          .mVersion = server.mVersion,
                          .mZone = ZoneName(server.mZone),
                          .mServer = server.mName,
                          .mRoute = kRoutes[RandomIndex(aSimulation, kRoutes.size())],
                          .mKind = OutcomeKind::kLost,
                          .mRequestDigest = aSimulation.mRandom() });
        }
      }
    }
  }
}

void
StepMoveDuty(VersionMoveSimulation& aSimulation)
{
  const auto effects = Step(aSimulation.mDuty,
                            MoveTick{ .mDocument = aSimulation.mDocument,
                                      .mDocumentRevision = 1,
                                      .mServers = CountServers(aSimulation),
                                      .mWallNow = WallClockNow(aSimulation) },
                            MonotonicNow(aSimulation));
  for (const MoveEffect& effect : effects) {
    if (const auto* write = std::get_if<WriteMoveRecord>(&effect)) {
      Step(aSimulation.mDuty,
           MoveRecordWritten{ .mRecord = write->mRecord, .mRevision = ++aSimulation.mRevision },
           MonotonicNow(aSimulation));
    }
  }
}

void
ExchangeReports(VersionMoveSimulation& aSimulation)
{
  for (Host& host : aSimulation.mHosts) {
    const VersionHealthReport report = TakeReport(host.mHealth, host.mName, kService);
    Step(aSimulation.mDuty,
         VersionHealthReportReceived{ .mReport = report },
         MonotonicNow(aSimulation));
    ApplyPermit(host.mShares,
                MakePermit(aSimulation.mDuty, WallClockNow(aSimulation)),
                MonotonicNow(aSimulation),
                MonotonicNow(aSimulation));
    ExpireMove(host.mShares, MonotonicNow(aSimulation));
  }
}

void
Tick(VersionMoveSimulation& aSimulation)
{
  if (aSimulation.mReclaimTimes.contains(aSimulation.mTimeMilliseconds)) {
    ReclaimServers(aSimulation);
    FailRequestsOnReclaimedServers(aSimulation);
  }
  const std::int64_t requestsPerSecond = aSimulation.mExperiment.mRequestsPerSecond;
  const double meanRequests =
    static_cast<double>(requestsPerSecond * kTickMilliseconds) / kMillisecondsPerSecond;
  const int requests = std::poisson_distribution<int>{ meanRequests }(aSimulation.mRandom);
  for (int i = 0; i < requests; ++i) {
    ServeRequest(
      aSimulation,
      { .mDigest = aSimulation.mRandom(), .mRoute = RandomIndex(aSimulation, kRoutes.size()) });
  }
  const bool crashes = aSimulation.mExperiment.mCrashingRequests && Uniform(aSimulation) < 0.005;
  // The caller sends a request that crashes servers three times.
  const Request crashing{ .mDigest = aSimulation.mRandom(), .mCrashesServers = true };
  for (int i = 0; crashes && i < 3; ++i) {
    ServeRequest(aSimulation, crashing);
  }
  StepMoveDuty(aSimulation);
  if (aSimulation.mTimeMilliseconds % kReportPeriodMilliseconds == 0) {
    ExchangeReports(aSimulation);
  }
}

} // namespace

MoveResult
SimulateMove(const MoveExperiment& aExperiment)
{
  VersionMoveSimulation simulation = MakeSimulation(aExperiment);
  const std::int64_t end = (aExperiment.mMoveDurationSeconds + 10) * kMillisecondsPerSecond;
  for (; simulation.mTimeMilliseconds < end; simulation.mTimeMilliseconds += kTickMilliseconds) {
    Tick(simulation);
    const MovePhase phase = simulation.mDuty.mRecord.mPhase;
    if (phase == MovePhase::kDone || phase == MovePhase::kWithdrawn) {
      break;
    }
  }
  simulation.mResult.mPhase = simulation.mDuty.mRecord.mPhase;
  simulation.mResult.mReason = simulation.mDuty.mRecord.mReason;
  simulation.mResult.mDurationSeconds = simulation.mTimeMilliseconds / kMillisecondsPerSecond;
  return simulation.mResult;
}

} // namespace trefoil::bench
