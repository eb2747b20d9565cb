#include "trefoil/dispatch/server_path.h"

#include <algorithm>
#include <iterator>

namespace trefoil {
namespace {

// A host is cut off if the direct paths to this many servers fail and no direct connection is
// established meanwhile, or to all servers if there are fewer.
constexpr std::size_t kMinFailedServers = 3;
constexpr std::size_t kMinServersToJudge = 2;
// Time to the next probe of a direct path. It doubles with each failure, at most kMaxDoublings
// times.
constexpr Milliseconds kBaseProbeDelay{ 250 };
constexpr int kMaxDoublings = 2;
// The probes after the end of a cut are spread over this time.
constexpr Milliseconds kRecoverySpread{ 500 };
constexpr std::size_t kMaxProbesAtOnce = 4;
// A path that fails again within this time after it has recovered is probed as rarely as before.
constexpr Milliseconds kStableTime{ 5'000 };
// How long a carrier that failed is not asked again.
constexpr Milliseconds kBaseCarrierAvoidance{ 500 };
constexpr int kMaxCarrierDoublings = 3;
// A carrier that has connected to a server within this time has paths of its own, so that a server
// that it cannot reach is to blame.
constexpr Milliseconds kCarrierProven{ 2'000 };
// After this number of asks in vain, carriers of all zones are asked alike.
constexpr int kMaxOwnZoneAsks = 2;
// The number of carriers that must find a server unreachable, since one may have lost its own path.
constexpr std::ptrdiff_t kMinUnreachable = 2;
// How long a carrier that could not connect to a server is not asked for it again.
constexpr Milliseconds kUnreachableTime{ 1'000 };

// Unanswered requests to several servers within this time, with no answer between, show that the
// host is cut off.
constexpr Milliseconds kUnansweredTime{ 3'000 };
// After this number of unanswered requests by way of other hosts, the servers are to blame. Hosts
// that are cut off at the same time know it of themselves after kRelaySettleTime and decline.
constexpr int kMaxRelaysUnanswered = 3;
constexpr Milliseconds kRelaySettleTime{ 3'000 };
constexpr Milliseconds kUnansweredPause{ 5'000 };

// How often a carrier is asked while all are avoided.
constexpr Milliseconds kAskAvoidedInterval{ 100 };

// Returns `aDelay` with up to a quarter added or taken away, so that hosts that fail together do
// not act together.
Milliseconds
WithJitter(Milliseconds aDelay, std::uint64_t aRandomValue)
{
  constexpr std::int64_t kJitterDivisor = 4;
  const std::int64_t jitter = aDelay.count() / kJitterDivisor;
  const auto range = static_cast<std::uint64_t>(2 * jitter + 1);
  return aDelay + Milliseconds{ static_cast<std::int64_t>(aRandomValue % range) - jitter };
}

Milliseconds
ProbeDelay(int aFailures, std::uint64_t aRandomValue)
{
  const int doublings = std::clamp(aFailures - 1, 0, kMaxDoublings);
  return WithJitter(kBaseProbeDelay * (1 << doublings), aRandomValue);
}

const FailedPath*
FindFailedPath(const ServerPaths& aPaths, const RegisteredServer& aServer)
{
  const auto found = aPaths.mFailed.find(aServer.mId);
  if (found == aPaths.mFailed.end() || found->second.mRecoveredAt.has_value() ||
      found->second.mIncarnation != aServer.mIncarnation) {
    return nullptr;
  }
  return &found->second;
}

// Returns the failed path to the server. A host that is cut off has failed paths also to servers
// that it has not tried to connect to.
FailedPath*
FailedPathOf(ServerPaths& aPaths, const RegisteredServer& aServer, Instant aNow)
{
  const auto found = aPaths.mFailed.find(aServer.mId);
  if (found != aPaths.mFailed.end() && found->second.mIncarnation == aServer.mIncarnation) {
    return &found->second;
  }
  if (!aPaths.mCutOffSince.has_value()) {
    return nullptr;
  }
  FailedPath& path = aPaths.mFailed[aServer.mId];
  path = { .mIncarnation = aServer.mIncarnation,
           .mFailure = aPaths.mCutOffFailure,
           .mProbeAt = aNow };
  return &path;
}

std::ptrdiff_t
CountUnreachable(const FailedPath& aPath, Instant aNow)
{
  return std::ranges::count_if(
    aPath.mUnreachableUntil, [aNow](const auto& aItem) { return !HasPassed(aItem.second, aNow); });
}

bool
CanAsk(const ServerPaths& aPaths, const FailedPath* aPath, const HostId& aCarrier, Instant aNow)
{
  if (!IsUsable(aPaths, aCarrier, aNow)) {
    return false;
  }
  if (aPath == nullptr) {
    return true;
  }
  const auto unreachable = aPath->mUnreachableUntil.find(aCarrier);
  return unreachable == aPath->mUnreachableUntil.end() || HasPassed(unreachable->second, aNow);
}

// Returns whether the carrier has connected lately.
bool
IsProven(const CarrierStatus& aStatus, Instant aNow)
{
  return aStatus.mLastConnectedAt != Instant{} && aNow - aStatus.mLastConnectedAt < kStableTime;
}

const CarrierStatus&
StatusOf(const ServerPaths& aPaths, const HostId& aCarrier)
{
  static const CarrierStatus kUnknown;
  const auto found = aPaths.mCarriers.find(aCarrier);
  return found == aPaths.mCarriers.end() ? kUnknown : found->second;
}

struct UsableCarrier
{
  std::size_t mIndex = 0;
  bool mIsProven = false;
  // Whether the carrier was not asked in vain since it last carried.
  bool mWasNotRefused = false;
  bool mIsInOwnZone = false;
};

// Leaves those of the carriers that have the property, unless none has.
void
Prefer(std::vector<UsableCarrier>& aCarriers, bool UsableCarrier::*aProperty)
{
  if (std::ranges::any_of(aCarriers, aProperty)) {
    std::erase_if(aCarriers,
                  [aProperty](const UsableCarrier& aItem) { return !(aItem.*aProperty); });
  }
}

// Returns whether the host was cut off.
bool
EndCutOff(ServerPaths& aPaths, std::uint64_t aRandomValue, Instant aNow)
{
  if (!aPaths.mCutOffSince.has_value()) {
    return false;
  }
  aPaths.mCutOffSince.reset();
  aPaths.mCutOffProbes = 0;
  // The other servers can probably be reached again too.
  std::erase_if(aPaths.mFailed, [](const auto& aItem) { return aItem.second.mFailures == 0; });
  std::uint64_t random = aRandomValue;
  for (auto& [server, failed] : aPaths.mFailed) {
    constexpr std::uint64_t kStride = 7'919;
    random += kStride;
    failed.mProbeAt =
      std::min(failed.mProbeAt,
               aNow + Milliseconds{ static_cast<std::int64_t>(
                        random % static_cast<std::uint64_t>(kRecoverySpread.count())) });
  }
  return true;
}

} // namespace

ConnectFailure
ConnectFailureAfter(Instant aStartedAt, Instant aNow)
{
  return aNow - aStartedAt < kDirectConnectTimeout ? ConnectFailure::kRefused
                                                   : ConnectFailure::kTimedOut;
}

bool
HasDirectPath(const ServerPaths& aPaths, const RegisteredServer& aServer)
{
  return !aPaths.mCutOffSince.has_value() && FindFailedPath(aPaths, aServer) == nullptr;
}

bool
HasFailedPaths(const ServerPaths& aPaths)
{
  return aPaths.mCutOffSince.has_value() ||
         std::ranges::any_of(aPaths.mFailed, [](const auto& aItem) {
           return !aItem.second.mRecoveredAt.has_value();
         });
}

bool
MayUseOpenConnections(const ServerPaths& aPaths, const RegisteredServer& aServer)
{
  const FailedPath* path = FindFailedPath(aPaths, aServer);
  if (path != nullptr) {
    return path->mFailure == ConnectFailure::kRefused;
  }
  return !aPaths.mCutOffSince.has_value() || aPaths.mCutOffFailure == ConnectFailure::kRefused;
}

ServerReach
ReachOf(const ServerPaths& aPaths,
        const RegisteredServer& aServer,
        const Carriers& aCarriers,
        Instant aNow)
{
  if (aCarriers.empty() || HasDirectPath(aPaths, aServer)) {
    return ServerReach::kDirect;
  }
  const FailedPath* path = FindFailedPath(aPaths, aServer);
  const bool hasCarrier = HasPassed(aPaths.mAllAvoidedUntil, aNow) &&
                          std::ranges::any_of(aCarriers, [&](const Carrier& aItem) {
                            return CanAsk(aPaths, path, aItem.mHost, aNow);
                          });
  const bool isUnreachable =
    path != nullptr && !path->mRelayProven && CountUnreachable(*path, aNow) >= kMinUnreachable;
  if (!hasCarrier && !isUnreachable && HasPassed(aPaths.mAskAvoidedFrom, aNow)) {
    return ServerReach::kUnproven;
  }
  if (!hasCarrier || isUnreachable) {
    // Connections that are established, but not answered, are tried by TakeDirectTrial.
    const bool wasTried =
      (path != nullptr && path->mFailures > 0) ||
      (aPaths.mCutOffSince.has_value() && aPaths.mCutOffFailure == ConnectFailure::kUnanswered);
    return wasTried ? ServerReach::kUnreachable : ServerReach::kDirect;
  }
  return aPaths.mCutOffSince.has_value() || path->mRelayProven ? ServerReach::kRelayed
                                                               : ServerReach::kUnproven;
}

bool
IsUsable(const ServerPaths& aPaths, const HostId& aCarrier, Instant aNow)
{
  const auto status = aPaths.mCarriers.find(aCarrier);
  return status == aPaths.mCarriers.end() || HasPassed(status->second.mAvoidUntil, aNow);
}

bool
NeedsCarrier(const ServerPaths& aPaths, const Carriers& aCarriers, Instant aNow)
{
  if (!aPaths.mCutOffSince.has_value()) {
    return false;
  }
  bool wasOneNotAsked = false;
  for (const Carrier& carrier : aCarriers) {
    const CarrierStatus& status = StatusOf(aPaths, carrier.mHost);
    if (IsProven(status, aNow)) {
      return false;
    }
    wasOneNotAsked = wasOneNotAsked || status.mFailures == 0;
  }
  return wasOneNotAsked;
}

std::optional<std::size_t>
ChooseCarrier(ServerPaths& aPaths,
              const RegisteredServer& aServer,
              const Carriers& aCarriers,
              const CarrierChoice& aChoice,
              Instant aNow)
{
  const FailedPath* path = FindFailedPath(aPaths, aServer);
  std::vector<UsableCarrier> usable;
  Instant allAvoidedUntil = Instant::max();
  for (std::size_t i = 0; i < aCarriers.size(); ++i) {
    const CarrierStatus& status = StatusOf(aPaths, aCarriers[i].mHost);
    allAvoidedUntil = std::min(allAvoidedUntil, status.mAvoidUntil);
    if (CanAsk(aPaths, path, aCarriers[i].mHost, aNow)) {
      usable.push_back({ .mIndex = i,
                         .mIsProven = IsProven(status, aNow),
                         .mWasNotRefused = status.mFailures == 0,
                         .mIsInOwnZone = aCarriers[i].mZone == aChoice.mZone });
    }
  }
  const bool hasProven =
    aPaths.mAsksFailed > 0 && std::ranges::any_of(usable, &UsableCarrier::mIsProven);
  if (hasProven) {
    Prefer(usable, &UsableCarrier::mIsProven);
  } else if (aPaths.mAsksFailed >= kMaxOwnZoneAsks) {
    Prefer(usable, &UsableCarrier::mWasNotRefused);
  }
  if (hasProven || aPaths.mAsksFailed < kMaxOwnZoneAsks) {
    Prefer(usable, &UsableCarrier::mIsInOwnZone);
  }
  if (!usable.empty()) {
    return usable[aChoice.mRandomValue % usable.size()].mIndex;
  }
  aPaths.mAllAvoidedUntil = aCarriers.empty() ? Instant{} : allAvoidedUntil;
  if (aCarriers.empty() || !HasPassed(aPaths.mAskAvoidedFrom, aNow)) {
    return std::nullopt;
  }
  aPaths.mAskAvoidedFrom = aNow + kAskAvoidedInterval;
  return aChoice.mRandomValue % aCarriers.size();
}

bool
RecordUnanswered(ServerPaths& aPaths,
                 const BackendServerId& aServer,
                 std::size_t aServers,
                 Instant aNow)
{
  std::erase_if(aPaths.mUnansweredAt, [aNow](const auto& aItem) {
    return HasPassed(aItem.second + kUnansweredTime, aNow);
  });
  if (!HasPassed(aPaths.mUnansweredCountFrom, aNow)) {
    return false;
  }
  aPaths.mUnansweredAt[aServer] = aNow;
  if (aPaths.mCutOffSince.has_value() || aServers < kMinServersToJudge ||
      aPaths.mUnansweredAt.size() < std::min(kMinFailedServers, aServers)) {
    return false;
  }
  aPaths.mCutOffSince = aNow;
  aPaths.mCutOffFailure = ConnectFailure::kUnanswered;
  aPaths.mCutOffProbes = 0;
  aPaths.mCutOffProbeAt = aNow + kBaseProbeDelay;
  aPaths.mRelaysUnanswered = 0;
  return true;
}

bool
RecordRelayedAnswer(ServerPaths& aPaths, bool aIsAnswered, Instant aNow)
{
  if (!aPaths.mCutOffSince.has_value() ||
      !HasPassed(*aPaths.mCutOffSince + kRelaySettleTime, aNow)) {
    return false;
  }
  aPaths.mRelaysUnanswered = aIsAnswered ? 0 : aPaths.mRelaysUnanswered + 1;
  if (aPaths.mRelaysUnanswered < kMaxRelaysUnanswered ||
      aPaths.mCutOffFailure != ConnectFailure::kUnanswered) {
    return false;
  }
  aPaths.mUnansweredCountFrom = aNow + kUnansweredPause;
  return RecordDirectAnswer(aPaths, 0, aNow);
}

PathChange
RecordAnswered(ServerPaths& aPaths,
               const PathRequest& aRequest,
               std::uint64_t aRandomValue,
               Instant aNow)
{
  const bool isEnded = aRequest.mPath == PathKind::kDirect
                         ? RecordDirectAnswer(aPaths, aRandomValue, aNow)
                         : RecordRelayedAnswer(aPaths, true, aNow);
  return isEnded ? PathChange::kCutOffEnded : PathChange::kNone;
}

PathChange
RecordNotAnswered(ServerPaths& aPaths,
                  const PathRequest& aRequest,
                  std::size_t aServers,
                  Instant aNow)
{
  if (aRequest.mPath == PathKind::kRelayed) {
    return RecordRelayedAnswer(aPaths, false, aNow) ? PathChange::kCutOffEnded : PathChange::kNone;
  }
  return RecordUnanswered(aPaths, aRequest.mServer, aServers, aNow) ? PathChange::kCutOff
                                                                    : PathChange::kNone;
}

bool
TakeDirectTrial(ServerPaths& aPaths, std::uint64_t aRandomValue, Instant aNow)
{
  if (!aPaths.mCutOffSince.has_value() || aPaths.mCutOffFailure != ConnectFailure::kUnanswered ||
      !HasPassed(aPaths.mCutOffProbeAt, aNow)) {
    return false;
  }
  ++aPaths.mCutOffProbes;
  aPaths.mCutOffProbeAt = aNow + ProbeDelay(aPaths.mCutOffProbes, aRandomValue);
  return true;
}

bool
TakeUnrepeatableTrial(ServerPaths& aPaths, std::uint64_t aRandomValue, Instant aNow)
{
  return HasPassed(aPaths.mCutOffProbeAt + kStableTime, aNow) &&
         TakeDirectTrial(aPaths, aRandomValue, aNow);
}

bool
RecordConnected(ServerPaths& aPaths,
                const RegisteredServer& aServer,
                std::uint64_t aRandomValue,
                Instant aNow)
{
  const auto path = aPaths.mFailed.find(aServer.mId);
  if (path != aPaths.mFailed.end()) {
    path->second.mRecoveredAt = path->second.mRecoveredAt.value_or(aNow);
  }
  aPaths.mFailedSinceAnswer.clear();
  return aPaths.mCutOffFailure != ConnectFailure::kUnanswered &&
         EndCutOff(aPaths, aRandomValue, aNow);
}

bool
RecordDirectAnswer(ServerPaths& aPaths, std::uint64_t aRandomValue, Instant aNow)
{
  aPaths.mFailedSinceAnswer.clear();
  aPaths.mUnansweredAt.clear();
  return EndCutOff(aPaths, aRandomValue, aNow);
}

bool
RecordConnectFailure(ServerPaths& aPaths,
                     const RegisteredServer& aServer,
                     ConnectFailure aFailure,
                     std::size_t aServers,
                     std::uint64_t aRandomValue,
                     Instant aNow)
{
  FailedPath& path = aPaths.mFailed[aServer.mId];
  const bool isRepeated =
    path.mIncarnation == aServer.mIncarnation && path.mFailures > 0 &&
    (!path.mRecoveredAt.has_value() || aNow - *path.mRecoveredAt < kStableTime);
  const bool isNew = !isRepeated || path.mRecoveredAt.has_value();
  if (!isRepeated) {
    path = { .mIncarnation = aServer.mIncarnation };
  }
  if (isNew) {
    path.mRecoveredAt.reset();
    path.mRelayProven = false;
    path.mUnreachableUntil.clear();
    aPaths.mFailedSinceAnswer.insert(aServer.mId);
  }
  path.mFailure = aFailure;
  ++path.mFailures;
  path.mProbeAt = aNow + ProbeDelay(path.mFailures, aRandomValue);
  if (!aPaths.mCutOffSince.has_value() || aPaths.mCutOffFailure != ConnectFailure::kUnanswered) {
    aPaths.mCutOffFailure = aFailure;
  }
  if (aPaths.mCutOffSince.has_value() || aServers < kMinServersToJudge ||
      aPaths.mFailedSinceAnswer.size() < std::min(kMinFailedServers, aServers)) {
    return false;
  }
  aPaths.mCutOffSince = aNow;
  aPaths.mCutOffProbes = 0;
  // A server that has not failed yet is probed at once.
  aPaths.mCutOffProbeAt = aNow;
  return true;
}

void
RecordRelayed(ServerPaths& aPaths,
              const RegisteredServer& aServer,
              const HostId& aCarrier,
              Instant aNow)
{
  CarrierStatus& carrier = aPaths.mCarriers[aCarrier];
  carrier.mFailures = 0;
  carrier.mAvoidUntil = {};
  carrier.mLastConnectedAt = aNow;
  aPaths.mAsksFailed = 0;
  aPaths.mAllAvoidedUntil = {};
  if (FailedPath* path = FailedPathOf(aPaths, aServer, aNow)) {
    path->mRelayProven = true;
    path->mUnreachableUntil.clear();
  }
}

bool
RecordRelayFailure(ServerPaths& aPaths,
                   const RegisteredServer& aServer,
                   const HostId& aCarrier,
                   CarrierFailure aFailure,
                   std::uint64_t aRandomValue,
                   Instant aNow)
{
  CarrierStatus& carrier = aPaths.mCarriers[aCarrier];
  const bool isProven =
    carrier.mLastConnectedAt != Instant{} && aNow - carrier.mLastConnectedAt < kCarrierProven;
  bool isServerToBlame = false;
  FailedPath* path = FailedPathOf(aPaths, aServer, aNow);
  if (aFailure != CarrierFailure::kDeclined && path != nullptr) {
    path->mUnreachableUntil[aCarrier] = aNow + kUnreachableTime;
    if (CountUnreachable(*path, aNow) >= kMinUnreachable) {
      path->mRelayProven = false;
      // While this host is cut off, others often are too.
      isServerToBlame = aFailure == CarrierFailure::kServerUnreachable &&
                        (isProven || !aPaths.mCutOffSince.has_value());
    }
  }
  // A carrier that reaches other servers stays in use for them.
  if (isProven && aFailure != CarrierFailure::kDeclined) {
    return isServerToBlame;
  }
  aPaths.mAskAvoidedFrom = aNow + kAskAvoidedInterval;
  ++aPaths.mAsksFailed;
  ++carrier.mFailures;
  const int doublings = std::min(carrier.mFailures - 1, kMaxCarrierDoublings);
  carrier.mAvoidUntil = aNow + WithJitter(kBaseCarrierAvoidance * (1 << doublings), aRandomValue);
  return isServerToBlame;
}

std::vector<BackendServerId>
TakeProbesDue(ServerPaths& aPaths,
              const ServerRegistry& aServers,
              std::uint64_t aRandomValue,
              Instant aNow)
{
  const auto& servers = aServers.mServers;
  if (aPaths.mCutOffSince.has_value() && aPaths.mCutOffFailure == ConnectFailure::kUnanswered) {
    // A connection that is established shows nothing; TakeDirectTrial does.
    return {};
  }
  if (aPaths.mCutOffSince.has_value()) {
    if (!HasPassed(aPaths.mCutOffProbeAt, aNow) || servers.empty()) {
      return {};
    }
    const bool isFirst = aPaths.mCutOffProbes == 0;
    ++aPaths.mCutOffProbes;
    aPaths.mCutOffProbeAt = aNow + ProbeDelay(aPaths.mCutOffProbes, aRandomValue);
    const auto start = static_cast<std::ptrdiff_t>(aRandomValue % servers.size());
    for (std::size_t i = 0; isFirst && i < servers.size(); ++i) {
      const auto position = (static_cast<std::size_t>(start) + i) % servers.size();
      const auto server = std::next(servers.begin(), static_cast<std::ptrdiff_t>(position));
      if (!aPaths.mFailed.contains(server->first)) {
        return { server->first };
      }
    }
    return { std::next(servers.begin(), start)->first };
  }
  std::vector<BackendServerId> due;
  for (auto& [server, path] : aPaths.mFailed) {
    if (due.size() < kMaxProbesAtOnce && !path.mRecoveredAt.has_value() &&
        HasPassed(path.mProbeAt, aNow) && servers.contains(server)) {
      due.push_back(server);
      path.mProbeAt = aNow + ProbeDelay(path.mFailures, aRandomValue);
    }
  }
  return due;
}

void
ExpirePaths(ServerPaths& aPaths, const ServerRegistry& aServers, Instant aNow)
{
  std::erase_if(aPaths.mFailed, [&](const auto& aItem) {
    const auto& [server, path] = aItem;
    const auto registered = aServers.mServers.find(server);
    return registered == aServers.mServers.end() ||
           registered->second.mIncarnation != path.mIncarnation ||
           (path.mRecoveredAt.has_value() && aNow - *path.mRecoveredAt >= kStableTime);
  });
  std::erase_if(aPaths.mFailedSinceAnswer, [&](const BackendServerId& aServer) {
    return !aServers.mServers.contains(aServer);
  });
  std::erase_if(aPaths.mCarriers, [&](const auto& aItem) {
    const CarrierStatus& carrier = aItem.second;
    return HasPassed(carrier.mAvoidUntil + kStableTime, aNow) &&
           aNow - carrier.mLastConnectedAt > kStableTime;
  });
}

} // namespace trefoil
