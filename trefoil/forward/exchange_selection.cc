// Selects the server of an attempt from the servers of the request's service.
#include "trefoil/forward/exchange.h"
#include "trefoil/forward/server_connector.h"
#include "trefoil/forward/warm_up_limits.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>
#include <vector>

namespace trefoil {
namespace {

// Retry-After value if this host may use none of the service's servers because of their limits, as
// other hosts may.
constexpr Milliseconds kRetryAfterNoPermit{ 500 };
// The servers are confirmed to be the registered ones at least this often by a host that is in
// touch with the store or with another host that is.
constexpr Milliseconds kMaxRegistryAge{ 8'000 };

} // namespace

ServerStatus&
Exchange::StatusOfServer(const BackendServerId& aServer)
{
  return mState.mServerStatuses[aServer];
}

// Returns those of the servers that accept requests and were not tried yet, of the versions that
// this request may use.
std::vector<ServerCandidate>
Exchange::CandidatesOf(const std::vector<const RegisteredServer*>& aServers, Instant aNow)
{
  const PrefillTimes* prefillTimes = FindCacheHints(mState.mCacheHints, mCacheKey);
  mLeftOutUnreachable = false;
  const EventTotals serviceEvents = ServiceEvents(aServers, aNow);
  mLeftOutEvacuated = false;
  const auto candidatesIf = [&](const auto& aHasVersion) {
    std::vector<ServerCandidate> candidates;
    for (const RegisteredServer* server : aServers) {
      if (!AcceptsRequests(*server, StatusOfServer(server->mId)) ||
          mTriedServers.contains(server->mId) || !aHasVersion(*server) ||
          !MayUseServersIn(mAllowedRegions, mState.mOptions.mRegions, server->mZone)) {
        continue;
      }
      // Whatever part of the servers that is: an evacuation is an order, not a suspicion.
      if (IsEvacuated(mState, *server)) {
        mLeftOutEvacuated = true;
        continue;
      }
      const ServerReach reach = ReachOfServer(mState, *server, aNow);
      if (reach == ServerReach::kUnreachable && !mIsDirectTrial) {
        mLeftOutUnreachable = true;
        continue;
      }
      const bool isWarmingUp = IsLimitedByWarmUp(mState, *server, aNow);
      candidates.push_back(
        { .mServer = server,
          .mServerStatus = &StatusOfServer(server->mId),
          // A server that warms up has lost its cache.
          .mHoldsCache = !isWarmingUp && IsLikelyCached(prefillTimes, server->mId, aNow),
          .mAvoided = server->mRemovalUnconfirmed || reach == ServerReach::kUnproven ||
                      (reach == ServerReach::kDirect &&
                       !HasPassed(mState.mZones[server->mZone].mAvoidUntil, aNow)),
          .mIsWarmingUp = isWarmingUp,
          .mSlowness = Slowness(StatusOfServer(server->mId).mSpeed, serviceEvents, aNow) });
    }
    return candidates;
  };
  const auto steering = mState.mView->mSteering.find(mService);
  if (steering == mState.mView->mSteering.end()) {
    return candidatesIf([](const RegisteredServer& /*aServer*/) { return true; });
  }
  const auto isTarget = [&steering](const RegisteredServer& aServer) {
    return aServer.mVersion == steering->second.mTarget;
  };
  const double share = steering->second.mTargetShare;
  // A host that cannot follow the registered servers is not told either that the other versions
  // were stopped.
  const bool isCutOff = aNow - mState.mView->mServersConfirmedAt > kMaxRegistryAge;
  const bool usesTarget = std::generate_canonical<double, 32>(mState.mRandom) < share ||
                          (share > 0 && mFoundUnreachable && isCutOff);
  std::vector<ServerCandidate> candidates =
    candidatesIf([&](const RegisteredServer& aServer) { return isTarget(aServer) == usesTarget; });
  if (!candidates.empty()) {
    return candidates;
  }
  // The other versions are known to be sound. The target may not be, so it never stands in for
  // them.
  if (usesTarget) {
    return candidatesIf([&](const RegisteredServer& aServer) { return !isTarget(aServer); });
  }
  return candidates;
}

// Returns the events that the service's servers have delivered lately; none for a request without a
// prompt, whose server is not chosen by speed.
EventTotals
Exchange::ServiceEvents(const std::vector<const RegisteredServer*>& aServers, Instant aNow)
{
  EventTotals sum;
  if (mCacheKey.empty()) {
    return sum;
  }
  for (const RegisteredServer* server : aServers) {
    const EventTotals events = Decayed(StatusOfServer(server->mId).mSpeed, aNow);
    sum.mEvents += events.mEvents;
    sum.mSeconds += events.mSeconds;
  }
  return sum;
}

std::optional<RegisteredServer>
Exchange::SelectServer()
{
  const auto found = mState.mServers.find(mService);
  if (found == mState.mServers.end()) {
    return std::nullopt;
  }
  const Instant now = SuspendAwareNow();
  std::vector<ServerCandidate> candidates = CandidatesOf(found->second, now);
  if (!UseLimits(candidates)) {
    return std::nullopt;
  }
  AvoidReportedBroken(candidates, now);
  KeepToZone(candidates, now);
  const auto chosen =
    ChooseServer(candidates,
                 { .mZone = mState.mOptions.mZone,
                   .mCacheKey = mCacheKey,
                   .mSharedTokens = mSharedTokens,
                   .mOwnTokens = std::max<std::int64_t>(0, mMetadata.mPromptTokens - mSharedTokens),
                   .mPrefillRate = TokensPerSecond(mState.mPrefillRates[mService]),
                   .mRandomValue = mState.mRandom() },
                 now);
  if (!chosen.has_value()) {
    return std::nullopt;
  }
  return *candidates[*chosen].mServer;
}

// Returns whether the service's servers are alike for this request (zone_choice.h). False if they
// are chosen without regard to zones.
bool
Exchange::IsServedAlikeEverywhere()
{
  return mState.mOptions.mZoneCrossingCost.has_value() &&
         (mCacheKey.empty() ||
          IsServedAlike(mSharedTokens,
                        TokensPerSecond(mState.mPrefillRates[mService]),
                        { .mCrossingCost = *mState.mOptions.mZoneCrossingCost }));
}

// Removes the candidates of other zones, or those of the own zone for the share of the requests
// that leaves it. Has no effect if none would be left that is not avoided.
void
Exchange::KeepToZone(std::vector<ServerCandidate>& aCandidates, Instant aNow)
{
  if (!IsServedAlikeEverywhere()) {
    return;
  }
  const double share = LeavingShare(
    mState.mZoneChoices[mService], { .mCrossingCost = *mState.mOptions.mZoneCrossingCost }, aNow);
  const bool leaves = std::generate_canonical<double, 32>(mState.mRandom) < share;
  const auto isLeftOut = [&](const ServerCandidate& aItem) {
    return (aItem.mServer->mZone == mState.mOptions.mZone) == leaves;
  };
  const bool hasOther = std::ranges::any_of(aCandidates, [&](const ServerCandidate& aItem) {
    return !isLeftOut(aItem) && !aItem.mAvoided &&
           HasPassed(aItem.mServerStatus->mAvoidUntil, aNow);
  });
  if (hasOther) {
    std::erase_if(aCandidates, isLeftOut);
  }
}

// Removes the candidates that may get no request of this host now, because of their limits, because
// they have asked for a pause or because they are brittle and this host's part of them is in use.
// Returns false if none is left because of that, or if all are limited and what they still accept
// is kept for more urgent requests.
bool
Exchange::UseLimits(std::vector<ServerCandidate>& aCandidates)
{
  const Instant now = SuspendAwareNow();
  PermitSum permits;
  bool hasLimited = false;
  bool hasUnlimited = false;
  std::optional<Instant> acceptsAt;
  std::erase_if(aCandidates, [&](const ServerCandidate& aItem) {
    ServerStatus& status = StatusOfServer(aItem.mServer->mId);
    if (IsPaused(*aItem.mServer, status, now)) {
      acceptsAt = std::min(acceptsAt.value_or(status.mPausedUntil), status.mPausedUntil);
      return true;
    }
    if (IsBrittle(status.mBrittle, now) &&
        !HasRoom(status.mBrittle, UseOfServer(mState, *aItem.mServer, status), now)) {
      const Instant roomAt = std::max(status.mBrittle.mPausedUntil, now + kRetryAfterFull);
      acceptsAt = std::min(acceptsAt.value_or(roomAt), roomAt);
      return true;
    }
    const std::optional<PermitSum> own = PermitsFor(aItem, now);
    if (!own.has_value()) {
      hasUnlimited = true;
      return false;
    }
    hasLimited = true;
    AddPermits(permits, *own);
    const bool hasPermit = CoversUrgency(*own, 0);
    if (aItem.mIsWarmingUp && !hasPermit) {
      mState.mMetrics.Add(Counter::kWarmUpPermitsRefused, 1);
    }
    return !hasPermit;
  });
  if (hasLimited) {
    const Instant permitAt = now + permits.mNextIn.value_or(kRetryAfterNoPermit);
    acceptsAt = std::min(acceptsAt.value_or(permitAt), permitAt);
  }
  // Work that has begun is finished before new requests are accepted.
  const bool isRejected =
    !hasUnlimited && acceptsAt.has_value() &&
    (aCandidates.empty() || !CoversUrgency(permits, mDispatches > 0 ? 0.0 : MoreUrgentShare()));
  mLimitedUntil = isRejected ? acceptsAt : std::nullopt;
  return !isRejected;
}

// Returns this host's permits for a server that is limited by its own statement, because it warms
// up or by both; std::nullopt if it is not.
std::optional<PermitSum>
Exchange::PermitsFor(const ServerCandidate& aCandidate, Instant aNow)
{
  ServerStatus& status = StatusOfServer(aCandidate.mServer->mId);
  std::optional<PermitSum> permits;
  if (IsLimited(status.mLimit, aNow)) {
    const RefillRate part = OwnPartOfLimit(mState, aCandidate.mServer->mId, status.mLimit);
    HasPermit(status.mLimit, part, aNow);
    permits = PermitsOf(status.mLimit.mBucket, part);
  }
  if (aCandidate.mIsWarmingUp) {
    const PermitSum warmUp = WarmUpPermits(mState, *aCandidate.mServer, aNow);
    permits = permits.has_value() ? LowerOf(*permits, warmUp) : warmUp;
  }
  return permits;
}

// Returns the share of the priorities of the service's routes that are more urgent than that of
// this request.
double
Exchange::MoreUrgentShare() const
{
  std::set<int> priorities;
  for (const Route& route : mCatalogue->mCatalogue.mRoutes) {
    if (std::ranges::any_of(route.mTargets, [this](const RouteTarget& aTarget) {
          return aTarget.mService == mService;
        })) {
      priorities.insert(route.mPriority);
    }
  }
  const auto moreUrgent = std::distance(priorities.begin(), priorities.lower_bound(Priority()));
  return static_cast<double>(moreUrgent) / static_cast<double>(priorities.size() + 1);
}

int
Exchange::Priority() const
{
  return mAccount != nullptr && mAccount->mPriority.has_value() ? *mAccount->mPriority
                                                                : mRoute->mPriority;
}

// Returns the server for the next attempt. The first attempt may find out whether direct
// connections are answered again, if the retry that follows otherwise is within the budget or there
// is no other way.
std::optional<RegisteredServer>
Exchange::SelectFirstOrNextServer()
{
  mIsDirectTrial = false;
  auto server = SelectServer();
  if (mDispatches > 0) {
    return server;
  }
  const Instant now = SuspendAwareNow();
  const bool hasOtherWay = server.has_value() || !mLeftOutUnreachable;
  if (MayRepeat()) {
    if (!TakeDirectTrial(mState.mPaths, mState.mRandom(), now)) {
      return server;
    }
    mHasPaidForRetry = ConsumeServiceRetry(mState.mRetries, mService, mState.mView->mHosts, now);
    mIsDirectTrial = mHasPaidForRetry || !hasOtherWay;
  } else {
    mIsDirectTrial = !hasOtherWay && TakeUnrepeatableTrial(mState.mPaths, mState.mRandom(), now);
  }
  return mIsDirectTrial ? SelectServer() : server;
}

void
Exchange::TryNextServer()
{
  const auto server = SelectFirstOrNextServer();
  if (!server.has_value() && mLimitedUntil.has_value()) {
    FailRequest(RefusalReason::kServersLimited);
    return;
  }
  if (!server.has_value() && mLeftOutUnreachable) {
    FailRequest(RefusalReason::kServerUnreachable);
    return;
  }
  if (!server.has_value() && mLeftOutEvacuated) {
    FailRequest(RefusalReason::kZonesEvacuated);
    return;
  }
  if (!server.has_value()) {
    FailRequest(mTriedServers.empty() ? RefusalReason::kNoServer : RefusalReason::kServersFull);
    return;
  }
  SendTo(*server);
}

void
Exchange::RecordBasis(const RegisteredServer& aServer, Instant aNow)
{
  const ServerStatus& status = StatusOfServer(aServer.mId);
  const double rate = TokensPerSecond(mState.mPrefillRates[mService]);
  const bool holdsCache =
    IsLikelyCached(FindCacheHints(mState.mCacheHints, mCacheKey), aServer.mId, aNow);
  mBasis = { .mServer = aServer.mId,
             .mZone = aServer.mZone,
             .mInFlight = status.mInFlight,
             .mWaitingTokens = WaitingTokens(status, rate, aNow),
             .mBacklogAge =
               status.mBacklog.mMeasuredAt == Instant{}
                 ? Milliseconds{ 0 }
                 : std::chrono::duration_cast<Milliseconds>(aNow - status.mBacklog.mMeasuredAt),
             .mPrefillRate = rate,
             .mUncachedTokens = static_cast<double>(mMetadata.mPromptTokens) -
                                (holdsCache ? static_cast<double>(mSharedTokens) : 0.0),
             .mHoldsCache = holdsCache };
}

std::string
Exchange::BasisText() const
{
  return fmt::format("server={} via={} server_zone={} in_flight={} waiting={:.0f} waiting_ms={} "
                     "cached={}",
                     mBasis.mServer.Value(),
                     mBasis.mVia.Value(),
                     mBasis.mZone.Value(),
                     mBasis.mInFlight,
                     mBasis.mWaitingTokens,
                     mBasis.mBacklogAge.count(),
                     mBasis.mHoldsCache);
}

} // namespace trefoil
