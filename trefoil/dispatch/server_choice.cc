#include "trefoil/dispatch/server_choice.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>
#include <utility>

namespace trefoil {
namespace {

// The weight of the newest outcome in the moving mean: the last ten or so count.
constexpr double kOutcomeWeight = 0.15;
// A server that was full takes requests again after about the time of one short request.
constexpr Milliseconds kFullPause{ 100 };
// The first pause after a broken connection; it doubles with each further failure in a row, up to
// the most. The first is about the time in which a crashed server's entry goes on; the most is
// that in which a restarted one is back.
constexpr Milliseconds kBrokenPause{ 250 };
constexpr int kMaxDoublings = 4;
// A silent server is left out for as long as it took to find out, about.
constexpr Milliseconds kSilentPause{ 1'000 };
// Others are told of a broken server for so long: twice the longest interval of the news.
constexpr Milliseconds kBrokenMemory{ 2'000 };
// A server that answered this host within this is not broken, whatever others say.
constexpr Milliseconds kServedLately{ 1'000 };
// From this share of failures on, a server is left out while others can serve.
constexpr double kPoorShare = 0.4;
// A poor server is tried again after this, with one request.
constexpr Milliseconds kPoorPause{ 2'000 };
// Servers of a zone that break off within kZoneMemory before the zone is avoided, and for how long.
constexpr std::size_t kBrokenInZone = 2;
constexpr Milliseconds kZoneMemory{ 1'000 };
constexpr Milliseconds kZonePause{ 700 };
// Requests at a server of the own zone that weigh as much as the way to another zone.
constexpr double kOtherZoneLoad = 1.0;
// Requests at a server that weigh as much as if all of its answers were failures.
constexpr double kFailureLoad = 4.0;
// What an unused server of a lower rank must save, in tokens, before a key is moved to it.
constexpr double kMoveTokens = 2'000;
// A key's servers: few read the same parts, and hosts that do not know of the latest requests do
// not all move to one that was idle.
constexpr std::size_t kRanks = 3;

bool
IsAvoided(const ServerCandidate& aCandidate, Instant aNow)
{
  return aCandidate.mAvoided || !HasPassed(aCandidate.mStanding->mAvoidUntil, aNow);
}

double
LoadCost(const ServerCandidate& aCandidate, const ChoiceTerms& aTerms)
{
  const double away = aCandidate.mServer->mZone == aTerms.mZone ? 0 : kOtherZoneLoad;
  return aCandidate.mStanding->mInFlight + away +
         kFailureLoad * aCandidate.mStanding->mFailureShare;
}

// Returns the tokens that are read before the request's own part if it goes to the candidate.
double
CacheCost(const ServerCandidate& aCandidate, const ChoiceTerms& aTerms, bool aIsFirst, Instant aNow)
{
  const double shared = static_cast<double>(aTerms.mSharedTokens);
  return WaitingAt(*aCandidate.mStanding, aTerms.mReadRate, aNow) + (aIsFirst ? 0 : kMoveTokens) +
         (aCandidate.mHoldsCache ? 0 : shared);
}

// Returns the candidates of the first ranks for the key among those that may be used, the first one
// first.
std::vector<std::size_t>
FirstRanks(const std::vector<ServerCandidate>& aCandidates,
           const ChoiceTerms& aTerms,
           bool aUseAvoided,
           Instant aNow)
{
  std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aUseAvoided || !IsAvoided(aCandidates[i], aNow)) {
      ranks.emplace_back(RendezvousScore(aCandidates[i].mServer->mId.Value(), aTerms.mCacheKey), i);
    }
  }
  const auto last = ranks.begin() + static_cast<std::ptrdiff_t>(std::min(kRanks, ranks.size()));
  std::partial_sort(ranks.begin(), last, ranks.end(), std::greater<>{});
  std::vector<std::size_t> first;
  std::transform(
    ranks.begin(), last, std::back_inserter(first), [](const auto& aRank) { return aRank.second; });
  return first;
}

std::size_t
ChooseByCache(const std::vector<ServerCandidate>& aCandidates,
              const ChoiceTerms& aTerms,
              bool aUseAvoided,
              Instant aNow)
{
  const std::vector<std::size_t> ranks = FirstRanks(aCandidates, aTerms, aUseAvoided, aNow);
  return *std::ranges::min_element(ranks, {}, [&](std::size_t aPosition) {
    return CacheCost(aCandidates[aPosition], aTerms, aPosition == ranks.front(), aNow);
  });
}

std::size_t
ChooseByLoad(const std::vector<ServerCandidate>& aCandidates,
             const ChoiceTerms& aTerms,
             bool aUseAvoided,
             Instant aNow)
{
  std::size_t best = 0;
  double least = std::numeric_limits<double>::max();
  const std::size_t start = aTerms.mDraw % aCandidates.size();
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const std::size_t position = (start + i) % aCandidates.size();
    const ServerCandidate& candidate = aCandidates[position];
    if (!aUseAvoided && IsAvoided(candidate, aNow)) {
      continue;
    }
    const double cost = LoadCost(candidate, aTerms);
    if (cost < least) {
      least = cost;
      best = position;
    }
  }
  return best;
}

} // namespace

double
WaitingAt(const ServerStanding& aStanding, double aReadRate, Instant aNow)
{
  // A server that is slower than others has not read this host's requests, whatever its backlog.
  return std::max(aStanding.mPendingTokens, Left(aStanding.mBacklog, aReadRate, aNow));
}

std::optional<std::size_t>
ChooseServer(const std::vector<ServerCandidate>& aCandidates,
             const ChoiceTerms& aTerms,
             Instant aNow)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  const bool useAvoided = std::ranges::all_of(
    aCandidates, [aNow](const ServerCandidate& aItem) { return IsAvoided(aItem, aNow); });
  return aTerms.mCacheKey.empty() ? ChooseByLoad(aCandidates, aTerms, useAvoided, aNow)
                                  : ChooseByCache(aCandidates, aTerms, useAvoided, aNow);
}

void
AvoidBrokenElsewhere(std::vector<ServerCandidate>& aCandidates, Instant aNow)
{
  const auto isBroken = [aNow](const ServerCandidate& aItem) {
    return aItem.mStanding->mBrokenElsewhere && aNow - aItem.mStanding->mServedAt > kServedLately;
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
NoteSilence(ServerStanding& aStanding, Instant aNow)
{
  aStanding.mBrokenAt = aNow;
  aStanding.mAvoidUntil = std::max(aStanding.mAvoidUntil, aNow + kSilentPause);
}

bool
IsBroken(const ServerStanding& aStanding, Instant aNow)
{
  return aStanding.mBrokenAt.has_value() && aNow - *aStanding.mBrokenAt < kBrokenMemory;
}

bool
NoteZoneOutcome(ZoneStanding& aZone,
                const BackendServerId& aServer,
                DispatchOutcome aOutcome,
                Instant aNow)
{
  if (aOutcome != DispatchOutcome::kBroken) {
    aZone.mBroken.clear();
    return false;
  }
  if (aNow - aZone.mBrokenAt > kZoneMemory) {
    aZone.mBroken.clear();
  }
  aZone.mBrokenAt = aNow;
  aZone.mBroken.insert(aServer);
  if (aZone.mBroken.size() < kBrokenInZone || !HasPassed(aZone.mAvoidUntil, aNow)) {
    return false;
  }
  aZone.mAvoidUntil = aNow + kZonePause;
  return true;
}

bool
NoteOutcome(ServerStanding& aStanding, DispatchOutcome aOutcome, Instant aNow)
{
  const bool good = aOutcome == DispatchOutcome::kServed;
  if (aOutcome == DispatchOutcome::kTurnedAway) {
    aStanding.mAvoidUntil = std::max(aStanding.mAvoidUntil, aNow + kFullPause);
    return false;
  }
  aStanding.mFailureShare += kOutcomeWeight * ((good ? 0.0 : 1.0) - aStanding.mFailureShare);
  if (aOutcome == DispatchOutcome::kBroken) {
    aStanding.mBrokenAt = aNow;
  } else {
    aStanding.mBrokenAt.reset();
  }
  if (good) {
    aStanding.mFailuresInRow = 0;
    aStanding.mServedAt = aNow;
    return false;
  }
  ++aStanding.mFailuresInRow;
  Milliseconds pause{ 0 };
  if (aOutcome == DispatchOutcome::kBroken) {
    pause = kBrokenPause * (1 << std::min(aStanding.mFailuresInRow - 1, kMaxDoublings));
  }
  if (aStanding.mFailureShare >= kPoorShare) {
    pause = std::max(pause, kPoorPause);
  }
  aStanding.mAvoidUntil = std::max(aStanding.mAvoidUntil, aNow + pause);
  return pause > Milliseconds{ 0 };
}

} // namespace trefoil
