// Crashes that are blamed on requests only if this host's links to the servers are sound.
//
//   RecordLoss(links, { .mServer = server, .mRequest = request }, now);
//   isNews = RecordOrHold(held, tracker, links, { server, suspects, aRandomId, now });
//   isNews = SettleCrashes(held, tracker, RecordAnswer(links, answeringServer), now);
//
// Plain data and pure functions.
#pragma once

#include "trefoil/request/crash_tracker.h"
#include "trefoil/request/server_links.h"

#include <vector>

namespace trefoil {

// The end of a connection, as passed to RecordCrash.
struct HeldCrash
{
  BackendServerId mServer;
  CrashSuspects mSuspects;
  std::uint64_t mRandomId = 0;
  Instant mAt;
};

struct HeldCrashes
{
  std::vector<HeldCrash> mCrashes;
};

// Records the crash if its request may be blamed, and holds it otherwise. The loss must have been
// recorded. Returns whether other hosts should be told soon.
bool
RecordOrHold(HeldCrashes& aHeld,
             CrashTracker& aTracker,
             const ServerLinks& aLinks,
             const HeldCrash& aCrash);

// Records what is held if an answer has shown that the links are sound, and drops it otherwise.
// Returns whether other hosts should be told soon.
bool
SettleCrashes(HeldCrashes& aHeld, CrashTracker& aTracker, LinkFinding aFinding, Instant aNow);

// Records that another host reached the server at `aReachedAt`, while this one could not, so that
// its crashes shortly before were none (RecordServerReached). Returns whether other hosts should be
// told soon.
bool
DisproveCrashes(HeldCrashes& aHeld,
                CrashTracker& aTracker,
                const BackendServerId& aServer,
                Instant aReachedAt,
                Instant aNow);

} // namespace trefoil
