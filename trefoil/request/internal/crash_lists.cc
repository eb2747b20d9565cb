#include "trefoil/request/internal/crash_lists.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace trefoil {
namespace {

// The entries that the list of an old crash keeps when all lists together are too long.
constexpr std::size_t kKeptOfOldCrash = 64;

// Returns a number that is evenly distributed over the keys, and independent for each salt
// (the finalizer of SplitMix64).
std::uint64_t
Mix(SuspectKey aKey, std::uint64_t aSalt)
{
  std::uint64_t mixed = aKey ^ aSalt;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31U);
}

SuspectRank
RankOf(const CrashTracker& aTracker, SuspectKey aSuspect, SuspectStanding aStanding)
{
  const auto refusal = aTracker.mRefusals.find(aSuspect);
  if (refusal != aTracker.mRefusals.end() && !refusal->second.mAnswered) {
    return SuspectRank::kRefused;
  }
  const auto isIn = [aSuspect](const SuspectListings& aListings) {
    const auto listings = aListings.find(aSuspect);
    return listings != aListings.end() && listings->second > 1;
  };
  const bool isRepeated = isIn(aTracker.mPartListings) || isIn(aTracker.mRequestListings);
  switch (aStanding) {
    case SuspectStanding::kNeverAnswered:
      return isRepeated ? SuspectRank::kRepeatedNeverAnswered : SuspectRank::kNeverAnswered;
    case SuspectStanding::kAnsweredBefore:
      return isRepeated ? SuspectRank::kRepeatedAnsweredBefore : SuspectRank::kAnsweredBefore;
    case SuspectStanding::kAnsweredAfter:
      break;
  }
  return SuspectRank::kAnsweredAfter;
}

void
ForgetListing(SuspectListings& aListings, SuspectKey aSuspect)
{
  const auto listings = aListings.find(aSuspect);
  if (listings != aListings.end() && --listings->second == 0) {
    aListings.erase(listings);
  }
}

// Cuts the list to `aKept` suspects. The order of those of the same rank differs between crashes,
// and between the hosts that saw them.
void
CutList(CrashTracker& aTracker,
        ServerCrash& aCrash,
        SuspectMap ServerCrash::*aSuspects,
        std::size_t aKept,
        CrashList aList)
{
  SuspectMap& suspects = aCrash.*aSuspects;
  if (suspects.size() <= aKept) {
    return;
  }
  const std::uint64_t salt = aCrash.mIds.empty() ? 0 : *aCrash.mIds.begin();
  std::vector<std::tuple<SuspectRank, std::uint64_t, SuspectKey>> ordered;
  ordered.reserve(suspects.size());
  for (const auto& [suspect, standing] : suspects) {
    const auto [rank, order] = OrderOf(aTracker, suspect, standing, salt);
    ordered.emplace_back(rank, order, suspect);
  }
  const auto firstLeftOut = ordered.begin() + static_cast<std::ptrdiff_t>(aKept);
  std::ranges::nth_element(ordered, firstLeftOut);
  for (auto leftOut = firstLeftOut; leftOut != ordered.end(); ++leftOut) {
    const auto& [rank, order, suspect] = *leftOut;
    if (rank != SuspectRank::kAnsweredAfter) {
      (aList == CrashList::kParts ? aCrash.mPartsCut : aCrash.mRequestsCut) = true;
    }
    ForgetListing(aList == CrashList::kParts ? aTracker.mPartListings : aTracker.mRequestListings,
                  suspect);
    suspects.erase(suspect);
  }
  CountLeftOut(aTracker, aList, static_cast<std::size_t>(ordered.end() - firstLeftOut));
}

} // namespace

std::pair<SuspectRank, std::uint64_t>
OrderOf(const CrashTracker& aTracker,
        SuspectKey aSuspect,
        SuspectStanding aStanding,
        std::uint64_t aSalt)
{
  return { RankOf(aTracker, aSuspect, aStanding), Mix(aSuspect, aSalt) };
}

void
BoundLists(CrashTracker& aTracker,
           ServerCrash& aCrash,
           SuspectMap ServerCrash::*aSuspects,
           const SuspectListBounds& aBounds)
{
  if ((aCrash.*aSuspects).size() > aBounds.mMaxOfCrash) {
    CutList(aTracker, aCrash, aSuspects, aBounds.mKeptOfCrash, aBounds.mList);
  }
  std::size_t total = 0;
  for (const ServerCrash& crash : aTracker.mCrashes) {
    total += (crash.*aSuspects).size();
  }
  for (ServerCrash& crash : aTracker.mCrashes) {
    if (total <= aBounds.mMaxOfAll) {
      return;
    }
    const std::size_t before = (crash.*aSuspects).size();
    CutList(aTracker, crash, aSuspects, kKeptOfOldCrash, aBounds.mList);
    total -= before - (crash.*aSuspects).size();
  }
}

void
ForgetListings(CrashTracker& aTracker, const ServerCrash& aCrash)
{
  for (const auto& [part, standing] : aCrash.mParts) {
    ForgetListing(aTracker.mPartListings, part);
  }
  for (const auto& [request, standing] : aCrash.mRequests) {
    ForgetListing(aTracker.mRequestListings, request);
  }
}

void
CountLeftOut(CrashTracker& aTracker, CrashList aList, std::size_t aCount)
{
  aTracker.mLeftOut.at(static_cast<std::size_t>(aList)) += aCount;
}

} // namespace trefoil
