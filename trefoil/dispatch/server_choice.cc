#include "trefoil/dispatch/server_choice.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>
#include <utility>

namespace trefoil {
namespace {

// Weight of the latest outcome in the moving average, in which about the last ten outcomes
// count.
constexpr double kOutcomeWeight = 0.15;
// A server that rejected a request because it was full is avoided for about the duration of one
// short request.
constexpr Milliseconds kRejectedAvoidance{ 100 };
// How long a server is avoided after a broken connection. The duration doubles with each
// consecutive failure, at most four times. The first value is about how long the registry entry
// of a crashed server persists; the last one, 4 s, is about how long a restarted server takes
// to return.
constexpr Milliseconds kBaseBrokenAvoidance{ 250 };
constexpr int kMaxDoublings = 4;
// A server that did not respond is avoided for about as long as the detection took.
constexpr Milliseconds kSilentAvoidance{ 1'000 };
// How long a broken server is reported to other hosts: twice the maximum interval between
// reports.
constexpr Milliseconds kBrokenReportDuration{ 2'000 };
// A server that served this host within this time is not considered broken, even if other hosts
// report it.
constexpr Milliseconds kRecentlyServed{ 1'000 };
// A server with at least this share of failures is avoided while other servers are available.
constexpr double kUnreliableFailureShare = 0.4;
// A server with a high share of failures is tried again after this time; one more failure makes it
// avoided again.
constexpr Milliseconds kUnreliableAvoidance{ 2'000 };
// If kMinBrokenInZone servers of a zone break, at most kZoneFailureInterval apart, the zone is
// avoided for kZoneAvoidance.
constexpr std::size_t kMinBrokenInZone = 2;
constexpr Milliseconds kZoneFailureInterval{ 1'000 };
constexpr Milliseconds kZoneAvoidance{ 700 };
// Cost of sending a request to another zone, in requests in flight at a server of this host's
// zone.
constexpr double kOtherZoneCost = 1.0;
// Cost of a server all of whose requests fail, in requests in flight.
constexpr double kFailureCost = 4.0;
// Cost of a server that warms up, in requests in flight and in tokens: it is slower, so that a
// request goes to a warm server with a similar wait.
constexpr double kWarmUpCost = 1.0;
constexpr double kWarmUpCostTokens = 2'000;
// Cost of a server that is not the first in rank for a key, in tokens: a request leaves the
// first server only if that saves more.
constexpr double kMoveCostTokens = 2'000;
// Number of servers considered for a key. A small number limits how many servers prefill the
// same shared parts, and keeps hosts with stale load estimates from all choosing the same idle
// server.
constexpr std::size_t kServersPerKey = 3;

bool
IsAvoided(const ServerCandidate& aCandidate, Instant aNow)
{
  return aCandidate.mAvoided || !HasPassed(aCandidate.mServerStatus->mAvoidUntil, aNow);
}

double
LoadCost(const ServerCandidate& aCandidate, const ChoiceParameters& aParameters)
{
  const double zoneCost = aCandidate.mServer->mZone == aParameters.mZone ? 0 : kOtherZoneCost;
  return aCandidate.mServerStatus->mInFlight + zoneCost +
         (aCandidate.mIsWarmingUp ? kWarmUpCost : 0) +
         kFailureCost * aCandidate.mServerStatus->mFailureShare;
}

// Returns the cost of choosing the candidate: the tokens that a server of mean speed would prefill
// until this one begins to answer, plus kMoveCostTokens if it is not the first in rank and
// kWarmUpCostTokens if it warms up. The request's own tokens make a difference between servers of
// different speed only.
double
CacheCost(const ServerCandidate& aCandidate,
          const ChoiceParameters& aParameters,
          bool aIsTopRanked,
          Instant aNow)
{
  const double shared = static_cast<double>(aParameters.mSharedTokens);
  const double prefilled =
    WaitingTokens(*aCandidate.mServerStatus, aParameters.mPrefillRate, aNow) +
    static_cast<double>(aParameters.mOwnTokens) + (aCandidate.mHoldsCache ? 0 : shared);
  return aCandidate.mSlowness * prefilled + (aIsTopRanked ? 0 : kMoveCostTokens) +
         (aCandidate.mIsWarmingUp ? kWarmUpCostTokens : 0);
}

// Returns the indexes of the kServersPerKey highest-ranked candidates for the key, in order of
// rank. Avoided candidates are included only if `aUseAvoided` is set.
std::vector<std::size_t>
TopRanked(const std::vector<ServerCandidate>& aCandidates,
          const ChoiceParameters& aParameters,
          bool aUseAvoided,
          Instant aNow)
{
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aUseAvoided || !IsAvoided(aCandidates[i], aNow)) {
      ranked.emplace_back(
        RendezvousScore(aCandidates[i].mServer->mId.Value(), aParameters.mCacheKey), i);
    }
  }
  const auto last =
    ranked.begin() + static_cast<std::ptrdiff_t>(std::min(kServersPerKey, ranked.size()));
  std::partial_sort(ranked.begin(), last, ranked.end(), std::greater<>{});
  std::vector<std::size_t> topRanked;
  std::transform(ranked.begin(), last, std::back_inserter(topRanked), [](const auto& aRank) {
    return aRank.second;
  });
  return topRanked;
}

std::size_t
ChooseByCache(const std::vector<ServerCandidate>& aCandidates,
              const ChoiceParameters& aParameters,
              bool aUseAvoided,
              Instant aNow)
{
  const std::vector<std::size_t> ranked = TopRanked(aCandidates, aParameters, aUseAvoided, aNow);
  return *std::ranges::min_element(ranked, {}, [&](std::size_t aPosition) {
    return CacheCost(aCandidates[aPosition], aParameters, aPosition == ranked.front(), aNow);
  });
}

std::size_t
ChooseByLoad(const std::vector<ServerCandidate>& aCandidates,
             const ChoiceParameters& aParameters,
             bool aUseAvoided,
             Instant aNow)
{
  std::size_t best = 0;
  double lowestCost = std::numeric_limits<double>::max();
  const std::size_t start = aParameters.mRandomValue % aCandidates.size();
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const std::size_t position = (start + i) % aCandidates.size();
    const ServerCandidate& candidate = aCandidates[position];
    if (!aUseAvoided && IsAvoided(candidate, aNow)) {
      continue;
    }
    const double cost = LoadCost(candidate, aParameters);
    if (cost < lowestCost) {
      lowestCost = cost;
      best = position;
    }
  }
  return best;
}

} // namespace

double
WaitingTokens(const ServerStatus& aStatus, double aPrefillRate, Instant aNow)
{
  // Requests of this host that still wait show that a server is slower than its estimated
  // backlog suggests.
  return std::max(aStatus.mPendingTokens, RemainingTokens(aStatus.mBacklog, aPrefillRate, aNow));
}

std::optional<std::size_t>
ChooseServer(const std::vector<ServerCandidate>& aCandidates,
             const ChoiceParameters& aParameters,
             Instant aNow)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  const bool useAvoided = std::ranges::all_of(
    aCandidates, [aNow](const ServerCandidate& aItem) { return IsAvoided(aItem, aNow); });
  return aParameters.mCacheKey.empty() ? ChooseByLoad(aCandidates, aParameters, useAvoided, aNow)
                                       : ChooseByCache(aCandidates, aParameters, useAvoided, aNow);
}

bool
AcceptsRequests(const RegisteredServer& aServer, const ServerStatus& aStatus)
{
  return aServer.mPhase == ServerPhase::kReady &&
         aStatus.mLeavingIncarnation != aServer.mIncarnation;
}

void
RecordPause(ServerStatus& aStatus, const RegisteredServer& aServer, Instant aUntil)
{
  if (aServer.mIncarnation > aStatus.mPausedIncarnation) {
    aStatus.mPausedIncarnation = aServer.mIncarnation;
    aStatus.mPausedUntil = aUntil;
  } else if (aServer.mIncarnation == aStatus.mPausedIncarnation) {
    aStatus.mPausedUntil = std::max(aStatus.mPausedUntil, aUntil);
  }
}

bool
IsPaused(const RegisteredServer& aServer, const ServerStatus& aStatus, Instant aNow)
{
  return aServer.mIncarnation == aStatus.mPausedIncarnation &&
         !HasPassed(aStatus.mPausedUntil, aNow);
}

void
AvoidReportedBroken(std::vector<ServerCandidate>& aCandidates, Instant aNow)
{
  const auto isBroken = [aNow](const ServerCandidate& aItem) {
    return aItem.mServerStatus->mReportedBroken &&
           aNow - aItem.mServerStatus->mLastServedAt > kRecentlyServed;
  };
  const auto broken = static_cast<std::size_t>(std::ranges::count_if(aCandidates, isBroken));
  if (broken > aCandidates.size() / 2) {
    return;
  }
  for (ServerCandidate& candidate : aCandidates) {
    candidate.mAvoided = candidate.mAvoided || isBroken(candidate);
  }
}

void
RecordSilence(ServerStatus& aStatus, Instant aNow)
{
  aStatus.mBrokenAt = aNow;
  aStatus.mAvoidUntil = std::max(aStatus.mAvoidUntil, aNow + kSilentAvoidance);
}

bool
IsBroken(const ServerStatus& aStatus, Instant aNow)
{
  return aStatus.mBrokenAt.has_value() && aNow - *aStatus.mBrokenAt < kBrokenReportDuration;
}

bool
RecordZoneOutcome(ZoneStatus& aZone,
                  const BackendServerId& aServer,
                  DispatchOutcome aOutcome,
                  Instant aNow)
{
  if (aOutcome != DispatchOutcome::kBroken) {
    aZone.mBrokenServers.clear();
    return false;
  }
  if (aNow - aZone.mBrokenAt > kZoneFailureInterval) {
    aZone.mBrokenServers.clear();
  }
  aZone.mBrokenAt = aNow;
  aZone.mBrokenServers.insert(aServer);
  if (aZone.mBrokenServers.size() < kMinBrokenInZone || !HasPassed(aZone.mAvoidUntil, aNow)) {
    return false;
  }
  aZone.mAvoidUntil = aNow + kZoneAvoidance;
  return true;
}

bool
RecordServerOutcome(ServerStatus& aStatus, DispatchOutcome aOutcome, Instant aNow)
{
  const bool good = aOutcome == DispatchOutcome::kServed;
  if (aOutcome == DispatchOutcome::kTurnedAway) {
    aStatus.mAvoidUntil = std::max(aStatus.mAvoidUntil, aNow + kRejectedAvoidance);
    return false;
  }
  aStatus.mFailureShare += kOutcomeWeight * ((good ? 0.0 : 1.0) - aStatus.mFailureShare);
  if (aOutcome == DispatchOutcome::kBroken) {
    aStatus.mBrokenAt = aNow;
  } else {
    aStatus.mBrokenAt.reset();
  }
  if (good) {
    aStatus.mConsecutiveFailures = 0;
    aStatus.mLastServedAt = aNow;
    return false;
  }
  ++aStatus.mConsecutiveFailures;
  Milliseconds avoidance{ 0 };
  if (aOutcome == DispatchOutcome::kBroken) {
    avoidance =
      kBaseBrokenAvoidance * (1 << std::min(aStatus.mConsecutiveFailures - 1, kMaxDoublings));
  }
  if (aStatus.mFailureShare >= kUnreliableFailureShare) {
    avoidance = std::max(avoidance, kUnreliableAvoidance);
  }
  aStatus.mAvoidUntil = std::max(aStatus.mAvoidUntil, aNow + avoidance);
  return avoidance > Milliseconds{ 0 };
}

} // namespace trefoil
