// Bounds the lists of suspects of crashes. Used by crash_tracker and crash_evidence alone.
//
//   BoundLists(tracker, crash, &ServerCrash::mParts, bounds);
//
// Pure functions on the state of a CrashTracker.
#pragma once

#include "trefoil/request/crash_tracker.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>

namespace trefoil {

using SuspectMap = std::map<SuspectKey, SuspectStanding>;
using SuspectListings = std::unordered_map<SuspectKey, std::uint32_t>;

struct SuspectListBounds
{
  CrashList mList = CrashList::kParts;
  // The list of a crash that exceeds the first number is cut to the second one, so that it is not
  // cut again with each suspect that is added.
  std::size_t mMaxOfCrash = 0;
  std::size_t mKeptOfCrash = 0;
  // The number of entries in the lists of all crashes.
  std::size_t mMaxOfAll = 0;
};

// How likely a suspect is the cause of a crash, and how much depends on other hosts' knowing of it.
// Where there is room for some of the suspects only, those of the first ranks stay.
enum class SuspectRank : std::uint8_t
{
  kRefused,
  // Listed in several crashes.
  kRepeatedNeverAnswered,
  kRepeatedAnsweredBefore,
  kNeverAnswered,
  kAnsweredBefore,
  kAnsweredAfter,
};

// Orders suspects by their rank, and suspects of the same rank randomly, as `aSalt` determines.
std::pair<SuspectRank, std::uint64_t>
OrderOf(const CrashTracker& aTracker,
        SuspectKey aSuspect,
        SuspectStanding aStanding,
        std::uint64_t aSalt);

// Cuts the list of a crash that has grown, and those of the oldest crashes if all lists together
// exceed their bound.
void
BoundLists(CrashTracker& aTracker,
           ServerCrash& aCrash,
           SuspectMap ServerCrash::*aSuspects,
           const SuspectListBounds& aBounds);

// Removes the suspects of a crash, which is about to be erased, from the listings.
void
ForgetListings(CrashTracker& aTracker, const ServerCrash& aCrash);

void
CountLeftOut(CrashTracker& aTracker, CrashList aList, std::size_t aCount);

} // namespace trefoil
