// The records of crashes: merges reports of crashes into what is known. Used by crash_tracker and
// crash_evidence alone.
//
//   CrashChanges changes = AddCrash(tracker, crash, now);
//   bool isNews = JudgeRequests(tracker, changes, now);
//
// Pure functions on the state of a CrashTracker.
#pragma once

#include "trefoil/request/crash_tracker.h"

#include <vector>

namespace trefoil {

// The suspects whose standing a report has changed, and those of them that this host knows to be
// less likely causes than the report says.
struct SuspectChanges
{
  std::vector<SuspectKey> mChanged;
  std::vector<SuspectKey> mKnownBetter;
};

// What a report has changed.
struct CrashChanges
{
  // Whether parts of a crash or the crash itself are news for other hosts.
  bool mParts = false;
  // Whether parts were added that are in enough crashes to be refused.
  bool mRepeatsParts = false;
  SuspectChanges mRequests;
  // Whether this host knows that the server has not crashed, which the report does not say.
  bool mDisprovedHere = false;
};

void
RememberAnswer(CrashTracker& aTracker, SuspectKey aSuspect, Instant aNow);

// Adds a crash or merges it with the known one.
CrashChanges
AddCrash(CrashTracker& aTracker, const ServerCrash& aAdded, Instant aNow);

// Refuses the requests that are blamed for enough crashes after a change. Returns whether other
// hosts should be told soon.
bool
JudgeRequests(CrashTracker& aTracker, const CrashChanges& aChanges, Instant aNow);

} // namespace trefoil
