#include "trefoil/request/held_crashes.h"

namespace trefoil {
namespace {

// A server that has crashed may return after this time, so that an answer no longer tells its crash
// from a loss of links.
constexpr Milliseconds kMaxHold{ 1'000 };
// Bounds memory.
constexpr std::size_t kMaxHeldCrashes = 1'000;

bool
Record(CrashTracker& aTracker, const HeldCrash& aCrash, Instant aNow)
{
  return RecordEarlierCrash(
    aTracker, aCrash.mServer, aCrash.mSuspects, aCrash.mRandomId, aCrash.mAt, aNow);
}

} // namespace

bool
RecordOrHold(HeldCrashes& aHeld,
             CrashTracker& aTracker,
             const ServerLinks& aLinks,
             const HeldCrash& aCrash)
{
  if (MayBlameRequest(aLinks, aCrash.mSuspects.mRequest, aCrash.mAt)) {
    return Record(aTracker, aCrash, aCrash.mAt);
  }
  if (aHeld.mCrashes.size() < kMaxHeldCrashes) {
    aHeld.mCrashes.push_back(aCrash);
  }
  return false;
}

bool
SettleCrashes(HeldCrashes& aHeld, CrashTracker& aTracker, LinkFinding aFinding, Instant aNow)
{
  bool isNews = false;
  if (aFinding == LinkFinding::kSound) {
    for (const HeldCrash& crash : aHeld.mCrashes) {
      isNews = (!HasPassed(crash.mAt + kMaxHold, aNow) && Record(aTracker, crash, aNow)) || isNews;
    }
  }
  aHeld.mCrashes.clear();
  return isNews;
}

bool
DisproveCrashes(HeldCrashes& aHeld,
                CrashTracker& aTracker,
                const BackendServerId& aServer,
                Instant aReachedAt,
                Instant aNow)
{
  std::erase_if(aHeld.mCrashes, [&](const HeldCrash& aCrash) {
    return aCrash.mServer == aServer && aCrash.mAt < aReachedAt;
  });
  return RecordServerReached(aTracker, aServer, aReachedAt, aNow);
}

} // namespace trefoil
