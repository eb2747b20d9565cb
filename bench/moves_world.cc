#include "bench/moves_world.h"

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
constexpr std::int64_t kReportEvery = 1'000;
constexpr std::int64_t kMillisecondsPerSecond = 1'000;
constexpr std::int64_t kGoneMilliseconds = 60'000;
constexpr std::int64_t kRestartMilliseconds = 3'000;
constexpr double kNormalErrorRate = 0.002;
constexpr double kFirstTokenMedian = 150;
constexpr double kTokenGapMedian = 20;
constexpr double kSpread = 0.35;
constexpr double kSlowZoneFactor = 3;
// A version that fails under load does so from this share of the traffic on.
constexpr int kLoadPermille = 300;
constexpr std::array<const char*, 3> kRoutes{ "completion", "chat", "review" };

const ServiceId kService{ "rules" };
const VersionId kOldVersion{ "v1" };
const VersionId kNewVersion{ "v2" };

struct Server
{
  BackendServerId mName;
  VersionId mVersion;
  std::size_t mZone = 0;
  // Not reachable before this time.
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
  bool mCrashes = false;
};

struct World
{
  MoveExperiment mExperiment;
  std::mt19937_64 mRandom;
  std::int64_t mTime = 0;
  std::shared_ptr<ServiceDocument> mDocument = std::make_shared<ServiceDocument>();
  std::vector<Server> mServers;
  std::vector<Host> mHosts{ kHosts };
  MoveDuty mDuty;
  std::uint64_t mRevision = 1;
  std::int64_t mFaultFrom = 0;
  std::set<std::int64_t> mWaves;
  std::int64_t mSlowFrom = 0;
  bool mFaultShown = false;
  MoveResult mResult;
};

double
Uniform(World& aWorld)
{
  return std::uniform_real_distribution<double>{ 0, 1 }(aWorld.mRandom);
}

std::size_t
Pick(World& aWorld, std::size_t aSize)
{
  return std::uniform_int_distribution<std::size_t>{ 0, aSize - 1 }(aWorld.mRandom);
}

Instant
ClockOf(const World& aWorld)
{
  return Instant{} + Milliseconds{ aWorld.mTime };
}

WallTime
WallOf(const World& aWorld)
{
  return FromUnixMilliseconds(aWorld.mTime);
}

AvailabilityZoneId
ZoneName(std::size_t aZone)
{
  return AvailabilityZoneId{ fmt::format("zone-{}", aZone) };
}

ServerCounts
CountServers(const World& aWorld)
{
  ServerCounts counts;
  for (const Server& server : aWorld.mServers) {
    ++counts[ZoneName(server.mZone)][server.mVersion];
  }
  return counts;
}

void
AddServers(World& aWorld)
{
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    for (std::size_t i = 0; i < kServersPerZone; ++i) {
      for (const VersionId& version : { kOldVersion, kNewVersion }) {
        aWorld.mServers.push_back(
          { .mName = BackendServerId{ fmt::format("{}-{}-{}", version.Value(), zone, i) },
            .mVersion = version,
            .mZone = zone });
      }
    }
  }
}

World
MakeWorld(const MoveExperiment& aExperiment)
{
  World world{ .mExperiment = aExperiment, .mRandom = std::mt19937_64{ aExperiment.mSeed } };
  const std::int64_t whole = aExperiment.mMoveSeconds * kMillisecondsPerSecond;
  world.mDocument->mService = kService;
  world.mDocument->mVersions = {
    { .mVersion = kOldVersion, .mSharePercent = 0 },
    { .mVersion = kNewVersion, .mSharePercent = 100, .mMoveBy = FromUnixMilliseconds(whole) }
  };
  AddServers(world);
  for (std::size_t i = 0; i < kHosts; ++i) {
    world.mHosts[i].mName = HostId{ fmt::format("h{}", i) };
  }
  world.mDuty = MakeMoveDuty(kService, Instant{});
  Step(world.mDuty,
       MoveRecordRead{
         .mRecord = { .mSettled = { { .mVersion = kOldVersion, .mPermille = kWholePermille } } },
         .mRevision = world.mRevision },
       Instant{});
  if (aExperiment.mBehaviour == VersionBehaviour::kErrorsLate) {
    world.mFaultFrom =
      whole / 10 + static_cast<std::int64_t>(Uniform(world) * 0.4 * static_cast<double>(whole));
  }
  if (aExperiment.mReclaimWaves) {
    for (int wave = 0; wave < 4; ++wave) {
      world.mWaves.insert(static_cast<std::int64_t>(Uniform(world) * static_cast<double>(whole)) /
                          kTickMilliseconds * kTickMilliseconds);
    }
  }
  world.mSlowFrom = static_cast<std::int64_t>(Uniform(world) * 0.7 * static_cast<double>(whole));
  return world;
}

// Takes a zone's servers, or half of all, without notice.
void
Reclaim(World& aWorld)
{
  const bool half = Uniform(aWorld) < 0.5;
  const std::size_t zone = Pick(aWorld, kZones);
  for (Server& server : aWorld.mServers) {
    if (half ? Uniform(aWorld) < 0.53 : server.mZone == zone) {
      server.mDownUntil = aWorld.mTime + kGoneMilliseconds;
    }
  }
}

bool
IsFaulty(const World& aWorld, const Server& aServer, const Request& aRequest, int aPermille)
{
  if (aServer.mVersion != kNewVersion || aWorld.mTime < aWorld.mFaultFrom) {
    return false;
  }
  switch (aWorld.mExperiment.mBehaviour) {
    case VersionBehaviour::kGood:
      return false;
    case VersionBehaviour::kErrorsUnderLoad:
      return aPermille >= kLoadPermille;
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
DrawLatencies(World& aWorld, const Server& aServer, bool aFaulty, AttemptOutcome& aOutcome)
{
  std::lognormal_distribution<double> spread{ 0, kSpread };
  aOutcome.mFirstToken = kFirstTokenMedian * spread(aWorld.mRandom);
  aOutcome.mTokenGap = kTokenGapMedian * spread(aWorld.mRandom);
  const double slow = 1 + aWorld.mExperiment.mSlowPercent / 100.0;
  if (aFaulty && aWorld.mExperiment.mBehaviour == VersionBehaviour::kSlowFirstToken) {
    aOutcome.mFirstToken *= slow;
  }
  if (aFaulty && aWorld.mExperiment.mBehaviour == VersionBehaviour::kSlowTokens) {
    aOutcome.mTokenGap *= slow;
  }
  const bool slowNow = aWorld.mExperiment.mSlowZone && aServer.mZone == 0 &&
                       aWorld.mTime >= aWorld.mSlowFrom &&
                       aWorld.mTime < aWorld.mSlowFrom + 2 * kGoneMilliseconds;
  if (slowNow) {
    aOutcome.mFirstToken *= kSlowZoneFactor;
    aOutcome.mTokenGap *= kSlowZoneFactor;
  }
}

// Runs an attempt on a server.
AttemptOutcome
RunAttempt(World& aWorld, Server& aServer, const Request& aRequest, int aPermille)
{
  AttemptOutcome outcome{ .mService = kService,
                          .mVersion = aServer.mVersion,
                          .mZone = ZoneName(aServer.mZone),
                          .mServer = aServer.mName,
                          .mRoute = kRoutes[aRequest.mRoute],
                          .mRequestDigest = aRequest.mDigest };
  const bool faulty = IsFaulty(aWorld, aServer, aRequest, aPermille);
  const bool strikes = faulty && Uniform(aWorld) * 100 < aWorld.mExperiment.mErrorPercent;
  const bool isSlow = faulty && !FailsRequests(aWorld.mExperiment.mBehaviour) &&
                      aWorld.mExperiment.mBehaviour != VersionBehaviour::kCrashes;
  if (aWorld.mFaultShown && aServer.mVersion == kNewVersion) {
    ++aWorld.mResult.mSentAfterFault;
  }
  if (strikes || isSlow) {
    aWorld.mFaultShown = true;
    ++aWorld.mResult.mHarmed;
  }
  const bool crashes = strikes && aWorld.mExperiment.mBehaviour == VersionBehaviour::kCrashes;
  if (aRequest.mCrashes || crashes) {
    outcome.mKind = OutcomeKind::kLost;
    aServer.mDownUntil = aWorld.mTime + kRestartMilliseconds;
  } else if ((strikes && FailsRequests(aWorld.mExperiment.mBehaviour)) ||
             Uniform(aWorld) < kNormalErrorRate) {
    outcome.mKind = OutcomeKind::kError;
  } else {
    DrawLatencies(aWorld, aServer, faulty, outcome);
  }
  return outcome;
}

VersionId
DrawVersion(World& aWorld, const Host& aHost)
{
  const auto shares = TrafficShares(aHost.mShares);
  double left = Uniform(aWorld) * kWholePermille;
  for (const VersionShare& share : shares) {
    left -= share.mPermille;
    if (left < 0) {
      return share.mVersion;
    }
  }
  return kOldVersion;
}

// Picks a server of the version. One that went down in this tick still takes the request and
// breaks it; one that is down longer is not picked.
Server*
PickServer(World& aWorld, const VersionId& aVersion)
{
  std::vector<Server*> up;
  for (Server& server : aWorld.mServers) {
    if (server.mVersion == aVersion && server.mDownUntil <= aWorld.mTime) {
      up.push_back(&server);
    }
  }
  return up.empty() ? nullptr : up[Pick(aWorld, up.size())];
}

void
TellStop(World& aWorld, std::uint64_t aNumber)
{
  ++aWorld.mResult.mStops;
  for (Host& host : aWorld.mHosts) {
    StopVersion(host.mShares, kNewVersion, aNumber);
  }
  Step(aWorld.mDuty, VersionStopReceived{ .mNumber = aNumber }, ClockOf(aWorld));
}

void
TakeIn(World& aWorld, Host& aHost, const AttemptOutcome& aOutcome)
{
  const VersionId moving =
    aHost.mShares.mPhase == MovePhase::kMoving ? aHost.mShares.mVersion : VersionId{};
  const auto fault = RecordOutcome(aHost.mHealth, aOutcome, moving, ClockOf(aWorld));
  if (fault.has_value() && aHost.mShares.mPermille > 0) {
    TellStop(aWorld, aHost.mShares.mNumber);
  }
}

// Serves a request with up to three attempts.
void
Serve(World& aWorld, const Request& aRequest)
{
  ++aWorld.mResult.mRequests;
  Host& host = aWorld.mHosts[Pick(aWorld, kHosts)];
  for (int attempt = 0; attempt < 3; ++attempt) {
    Server* server = PickServer(aWorld, DrawVersion(aWorld, host));
    if (server == nullptr) {
      continue;
    }
    const auto outcome = RunAttempt(aWorld, *server, aRequest, host.mShares.mPermille);
    TakeIn(aWorld, host, outcome);
    if (outcome.mKind == OutcomeKind::kGood) {
      return;
    }
  }
}

// Breaks requests on the servers that were just reclaimed.
void
BreakRequests(World& aWorld)
{
  for (const Server& server : aWorld.mServers) {
    if (server.mDownUntil != aWorld.mTime + kGoneMilliseconds) {
      continue;
    }
    for (Host& host : aWorld.mHosts) {
      const int permille = server.mVersion == kNewVersion ? host.mShares.mPermille
                                                          : kWholePermille - host.mShares.mPermille;
      for (int request = 0; request < 3; ++request) {
        if (Uniform(aWorld) * kWholePermille < permille) {
          TakeIn(aWorld,
                 host,
                 { .mService = kService,
                   .mVersion = server.mVersion,
                   .mZone = ZoneName(server.mZone),
                   .mServer = server.mName,
                   .mRoute = kRoutes[Pick(aWorld, kRoutes.size())],
                   .mKind = OutcomeKind::kLost,
                   .mRequestDigest = aWorld.mRandom() });
        }
      }
    }
  }
}

void
RunHolder(World& aWorld)
{
  const auto effects = Step(aWorld.mDuty,
                            MoveTick{ .mDocument = aWorld.mDocument,
                                      .mDocumentRevision = 1,
                                      .mServers = CountServers(aWorld),
                                      .mWallNow = WallOf(aWorld) },
                            ClockOf(aWorld));
  for (const MoveEffect& effect : effects) {
    if (const auto* write = std::get_if<WriteMoveRecord>(&effect)) {
      Step(aWorld.mDuty,
           MoveRecordWritten{ .mRecord = write->mRecord, .mRevision = ++aWorld.mRevision },
           ClockOf(aWorld));
    }
  }
}

void
Report(World& aWorld)
{
  for (Host& host : aWorld.mHosts) {
    const VersionHealthReport report = TakeReport(host.mHealth, host.mName, kService);
    Step(aWorld.mDuty, VersionHealthReportReceived{ .mReport = report }, ClockOf(aWorld));
    ApplyPermit(
      host.mShares, MakePermit(aWorld.mDuty, WallOf(aWorld)), ClockOf(aWorld), ClockOf(aWorld));
    ExpireMove(host.mShares, ClockOf(aWorld));
  }
}

void
Tick(World& aWorld)
{
  if (aWorld.mWaves.contains(aWorld.mTime)) {
    Reclaim(aWorld);
    BreakRequests(aWorld);
  }
  const std::int64_t perSecond = aWorld.mExperiment.mRequestsPerSecond;
  const double mean = static_cast<double>(perSecond * kTickMilliseconds) / kMillisecondsPerSecond;
  const int requests = std::poisson_distribution<int>{ mean }(aWorld.mRandom);
  for (int i = 0; i < requests; ++i) {
    Serve(aWorld, { .mDigest = aWorld.mRandom(), .mRoute = Pick(aWorld, kRoutes.size()) });
  }
  const bool crashes = aWorld.mExperiment.mCrashingRequests && Uniform(aWorld) < 0.005;
  // The caller sends the request that crashes servers three times.
  const Request crashing{ .mDigest = aWorld.mRandom(), .mCrashes = true };
  for (int i = 0; crashes && i < 3; ++i) {
    Serve(aWorld, crashing);
  }
  RunHolder(aWorld);
  if (aWorld.mTime % kReportEvery == 0) {
    Report(aWorld);
  }
}

} // namespace

MoveResult
SimulateMove(const MoveExperiment& aExperiment)
{
  World world = MakeWorld(aExperiment);
  const std::int64_t end = (aExperiment.mMoveSeconds + 10) * kMillisecondsPerSecond;
  for (; world.mTime < end; world.mTime += kTickMilliseconds) {
    Tick(world);
    const MovePhase phase = world.mDuty.mRecord.mPhase;
    if (phase == MovePhase::kDone || phase == MovePhase::kWithdrawn) {
      break;
    }
  }
  world.mResult.mPhase = world.mDuty.mRecord.mPhase;
  world.mResult.mReason = world.mDuty.mRecord.mReason;
  world.mResult.mEndedAfterSeconds = world.mTime / kMillisecondsPerSecond;
  return world.mResult;
}

} // namespace trefoil::bench
